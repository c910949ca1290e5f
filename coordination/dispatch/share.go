package dispatch

import "time"

const (
	// roomTarget is the number of requests at an upstream, in multiples of its slots,
	// that all gateways together aim at while more want it than it can run: half of them
	// wait there, so that no slot idles between two reports.
	targetLoad = 2.0
	// roomGain is the part of the difference to the target that a report gives out.
	// Reports are means over a quarter of a second and arrive as late again: a sum that is
	// corrected whole by what is one and a half reports old swings ever more, and one that
	// is corrected by half settles.
	correctionGain = 0.5
	// idleLoan is how many slots an upstream's parts must add up to, at one gateway, so
	// that it borrows nothing; see loan.
	minOwnSlots = 0.5
	// roomSaved is how many requests a share may save up beyond its part of the target.
	burst = 1.0
)

// share is one gateway's part of an upstream's room, such that the parts of all
// gateways add up to what the upstream ends: each gains its part of the upstream's
// rate as time passes, and with each report its part of the room that is left or
// overdrawn.
type fairShare struct {
	// part is this gateway's part of the demand, 0 to 1. One means that nobody else
	// sends, and what is in flight is known exactly.
	fraction float64
	// saved is how many requests may be sent now. It is bounded with each report; while
	// none comes the estimate of what is in flight bounds the requests.
	credit   float64
	creditAt time.Time
}

func newFairShare(now time.Time) fairShare {
	return fairShare{fraction: 1.0 / assumedGateways, credit: burst, creditAt: now}
}

// most is the most that can be saved at an upstream of so many slots.
func (s *fairShare) maxCredit(slots int) float64 { return burst + s.fraction*targetLoad*float64(slots) }

// refill gains the part of the rate, in requests a second.
func (s *fairShare) refill(now time.Time, rate float64) {
	s.credit += s.fraction * rate * max(now.Sub(s.creditAt), 0).Seconds()
	s.creditAt = now
}

// loan is how many requests may be sent beyond the share up to the target. Among a
// dozen gateways it is none: what a few of them send at once between two reports fills an
// upstream. Among a hundred a part is a small fraction of one slot, and what the others
// do meanwhile evens out, so the report tells enough.
func (s *fairShare) overdraft(slots int) float64 {
	return max(0, minOwnSlots/(s.fraction*float64(slots))-1)
}

// allows reports whether one more request may be sent to an upstream of so many slots
// that has so many requests by the last report.
func (s *fairShare) allows(now time.Time, rate float64, slots int, inFlight float64) bool {
	if s.fraction >= 1 {
		return true
	}
	s.refill(now, rate)
	return s.credit >= 1 || inFlight+1 <= targetLoad*float64(slots) && s.credit >= 1-s.overdraft(slots)
}

// take spends one request.
func (s *fairShare) take(now time.Time, rate float64) {
	s.refill(now, rate)
	s.credit--
}

// report takes over this gateway's part and how many requests all gateways have at
// the upstream.
func (s *fairShare) applyReport(now time.Time, rate, fraction, inFlight float64, slots int) {
	s.refill(now, rate)
	s.fraction = fraction
	s.credit += correctionGain * fraction * (targetLoad*float64(slots) - inFlight)
	maxCredit := s.maxCredit(slots)
	s.credit = min(max(s.credit, -maxCredit), maxCredit)
}

// wait is how long it takes until so many more requests may be sent.
func (s *fairShare) waitTime(requests, rate float64) time.Duration {
	if s.fraction >= 1 || s.credit >= requests {
		return 0
	}
	return time.Duration((requests - s.credit) / max(s.fraction*rate, minRate) * float64(time.Second))
}

// leastRate keeps waits finite, in requests a second.
const minRate = 0.01
