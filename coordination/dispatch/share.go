package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

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

const (
	// drainGain is the fraction of a surplus that odds correct in one report interval. Reports are up
	// to two intervals old, and an owner has finished much of a surplus by then. A lack is corrected
	// by correctionGain, or by freeSlotGain while the report shows a free slot or nearly one: by the
	// time that the correction shows, as much again has been finished. With a lower
	// freeSlotGain, requests are refused while slots are free.
	drainGain    = 0.25
	freeSlotGain = 2.0
	// An owner with less than minInFlight requests per slot gets at least twice the former odds, and
	// minIdleOdds: the demand is then overstated, by a false report or because keys have moved away.
	minInFlight = 0.25
	minIdleOdds = 0.02
	// minOddsRate is the least admitted rate, relative to the throughput.
	minOddsRate = 0.3
)

// fairShare is one gateway's share of an upstream's capacity, as a credit of requests. The shares
// of all gateways add up to the upstream's throughput: each accrues its fraction of the throughput
// over time, and each report adds or deducts its fraction of the remaining or overdrawn capacity.
//
// A gateway whose fraction amounts to less than minOwnSlots slots has no use for credit: it sends
// less than one request between two reports, and what hundreds of gateways have saved up fills an
// owner at once. At a contended owner it admits its requests by odds instead, which are the same at
// all gateways. The credit is then the requests admitted since the last report; it ends with the
// next one.
type fairShare struct {
	// fraction is this gateway's fraction of the demand, 0 to 1. One means that no other gateway
	// sends, so that the number of requests in flight is known exactly.
	fraction float64
	// credit is the number of requests that may be sent now. Each report bounds it; between
	// reports the estimate of requests in flight bounds the requests.
	credit   float64
	creditAt time.Time
	// byOdds is set while requests are admitted by odds. odds is the probability of admission of
	// each request in one report interval.
	byOdds bool
	// even is set after odds ended for want of reports, until the next report.
	even bool
	odds float64
	// phase is a random number from 0 to 1 of the last report.
	phase    float64
	interval time.Duration
}

// shareReport is what a share is computed from.
type shareReport struct {
	// rate is the upstream's throughput in requests per second, slots what it can run at once.
	rate  float64
	slots int
	// fraction is this gateway's fraction of the demand, and demand that of all gateways for this
	// upstream in requests per second; zero if unknown.
	fraction, demand float64
	// inFlight is the number of requests of all gateways at the upstream, target the number that
	// they aim to have there if they admit by odds.
	inFlight, target float64
	// interval is the time between reports, waiting the number of this gateway's requests that wait
	// for the upstream, phase a random number from 0 to 1.
	interval time.Duration
	waiting  int
	phase    float64
}

func newFairShare(now time.Time) fairShare {
	return fairShare{fraction: 1.0 / assumedGateways, credit: burst, creditAt: now}
}

// maxCredit returns the maximum credit at an upstream with the given number of slots.
func (s *fairShare) maxCredit(slots int) float64 { return burst + s.fraction*targetLoad*float64(slots) }

// refill adds the credit accrued at the given rate, in requests per second.
func (s *fairShare) refill(now time.Time, rate float64) {
	if !s.byOdds {
		s.credit += s.fraction * rate * max(now.Sub(s.creditAt), 0).Seconds()
	}
	if s.even {
		s.credit = min(s.credit, burst)
	}
	s.creditAt = now
}

// ownsSlots reports whether this gateway's fraction amounts to enough slots for credit.
func (s *fairShare) ownsSlots(slots int) bool { return s.fraction*float64(slots) >= minOwnSlots }

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
	if s.byOdds || s.even {
		return s.credit >= 1
	}
	return s.credit >= 1 || inFlight+1 <= targetLoad*float64(slots) && s.credit >= 1-s.overdraft(slots)
}

// endOdds replaces odds by an even share when no report has arrived for long. Without reports there is
// no overdraft: it is per gateway, and that of hundreds would overrun an owner. The credit of the gateways
// starts at random, because each of hundreds accrues one request in many seconds.
func (s *fairShare) endOdds(since time.Time, gateways int) {
	if s.byOdds {
		s.byOdds, s.even = false, true
		s.fraction, s.credit, s.creditAt = 1/float64(gateways), s.phase, since
	}
}

// arrive admits a new request by odds.
func (s *fairShare) arrive(rng *rand.Rand) {
	if s.byOdds && (s.odds >= 1 || rng.Float64() < s.odds) {
		s.credit++
	}
}

// take deducts one request from the credit.
func (s *fairShare) take(now time.Time, rate float64) {
	s.refill(now, rate)
	s.credit--
}

// applyReport updates this gateway's fraction. It corrects the credit by the number of requests
// that all gateways have at the upstream, or sets the odds.
func (s *fairShare) applyReport(now time.Time, r shareReport) {
	s.refill(now, r.rate)
	s.fraction, s.even = r.fraction, false
	if r.demand > 0 && !s.ownsSlots(r.slots) {
		s.applyOdds(r)
		return
	}
	if s.byOdds {
		s.byOdds, s.credit = false, 0
	}
	s.credit += correctionGain * r.fraction * (targetLoad*float64(r.slots) - r.inFlight)
	maxCredit := s.maxCredit(r.slots)
	s.credit = min(max(s.credit, -maxCredit), maxCredit)
}

// applyOdds sets the odds at which all gateways together fill the room, and what the upstream
// finishes in the meantime, until the next report. The requests that wait get a new chance.
func (s *fairShare) applyOdds(r shareReport) {
	s.byOdds, s.interval, s.phase = true, r.interval, r.phase
	room := r.target - r.inFlight
	gain := correctionGain
	switch {
	case r.inFlight <= float64(r.slots):
		gain = freeSlotGain
	case room < 0:
		gain = drainGain
	}
	admitted := max(r.rate+gain*room/r.interval.Seconds(), minOddsRate*r.rate)
	former := s.odds
	s.odds = min(admitted/r.demand, 1)
	if r.inFlight < minInFlight*float64(r.slots) {
		s.odds = min(max(s.odds, 2*former, minIdleOdds), 1)
	}
	s.credit = math.Floor(s.odds*float64(r.waiting) + r.phase)
}

// waitTime returns how long it takes until the given number of requests may be sent.
func (s *fairShare) waitTime(requests, rate float64) time.Duration {
	if s.fraction >= 1 || s.credit >= requests {
		return 0
	}
	if s.byOdds {
		return time.Duration(float64(s.interval) / max(s.odds, minRate))
	}
	return time.Duration((requests - s.credit) / max(s.fraction*rate, minRate) * float64(time.Second))
}

// minRate keeps wait times finite, in requests per second.
const minRate = 0.01
