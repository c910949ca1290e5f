package dispatch

import "time"

const (
	// targetLoad is the number of requests per slot that all gateways together aim to have at an
	// overloaded upstream. Half of them queue there, so that no slot idles between two reports.
	targetLoad = 2.0
	// correctionGain is the fraction of the difference to the target that each report corrects.
	// Reports are means over a quarter of a second and arrive another quarter of a second later.
	// Correcting the whole difference with data that is one and a half reports old makes the sum
	// oscillate with growing amplitude; correcting half of it converges.
	correctionGain = 0.5
	// minOwnSlots is the number of an upstream's slots that this gateway's fraction must amount to
	// for the overdraft to be zero.
	minOwnSlots = 0.5
	// burst is the number of requests that a gateway may save up beyond its fraction of the
	// target.
	burst = 1.0
)

// fairShare is one gateway's share of an upstream's capacity, as a credit of requests. The shares
// of all gateways add up to the upstream's throughput: each accrues its fraction of the throughput
// over time, and each report adds or deducts its fraction of the remaining or overdrawn capacity.
type fairShare struct {
	// fraction is this gateway's fraction of the demand, 0 to 1. One means that no other gateway
	// sends, so that the number of requests in flight is known exactly.
	fraction float64
	// credit is the number of requests that may be sent now. Each report bounds it; between
	// reports the estimate of requests in flight bounds the requests.
	credit   float64
	creditAt time.Time
}

func newFairShare(now time.Time) fairShare {
	return fairShare{fraction: 1.0 / assumedGateways, credit: burst, creditAt: now}
}

// maxCredit returns the maximum credit at an upstream with the given number of slots.
func (s *fairShare) maxCredit(slots int) float64 { return burst + s.fraction*targetLoad*float64(slots) }

// refill adds the credit accrued at the given rate, in requests per second.
func (s *fairShare) refill(now time.Time, rate float64) {
	s.credit += s.fraction * rate * max(now.Sub(s.creditAt), 0).Seconds()
	s.creditAt = now
}

// overdraft returns how many requests beyond the credit may be sent while the upstream is below
// the target. With a dozen gateways it is zero: what a few of them send at once between two
// reports fills an upstream. With a hundred, each fraction is a small part of one slot and the
// activity of the others averages out, so the last report is accurate enough.
func (s *fairShare) overdraft(slots int) float64 {
	return max(0, minOwnSlots/(s.fraction*float64(slots))-1)
}

// allows reports whether one more request may be sent to an upstream with the given number of
// slots and the given estimate of requests in flight.
func (s *fairShare) allows(now time.Time, rate float64, slots int, inFlight float64) bool {
	if s.fraction >= 1 {
		return true
	}
	s.refill(now, rate)
	return s.credit >= 1 || inFlight+1 <= targetLoad*float64(slots) && s.credit >= 1-s.overdraft(slots)
}

// take deducts one request from the credit.
func (s *fairShare) take(now time.Time, rate float64) {
	s.refill(now, rate)
	s.credit--
}

// applyReport updates this gateway's fraction and corrects the credit by the number of requests
// that all gateways have at the upstream.
func (s *fairShare) applyReport(now time.Time, rate, fraction, inFlight float64, slots int) {
	s.refill(now, rate)
	s.fraction = fraction
	s.credit += correctionGain * fraction * (targetLoad*float64(slots) - inFlight)
	maxCredit := s.maxCredit(slots)
	s.credit = min(max(s.credit, -maxCredit), maxCredit)
}

// waitTime returns how long it takes until the given number of requests may be sent.
func (s *fairShare) waitTime(requests, rate float64) time.Duration {
	if s.fraction >= 1 || s.credit >= requests {
		return 0
	}
	return time.Duration((requests - s.credit) / max(s.fraction*rate, minRate) * float64(time.Second))
}

// minRate keeps wait times finite, in requests per second.
const minRate = 0.01
