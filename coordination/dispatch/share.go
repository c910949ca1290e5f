package dispatch

import "time"

const (
	// roomTarget is the number of requests at an upstream, in multiples of its slots,
	// that all gateways together aim at while more want it than it can run: half of them
	// wait there, so that no slot idles between two reports.
	roomTarget = 2.0
	// roomGain is the part of the difference to the target that a report gives out.
	// Reports are means over a quarter of a second and arrive as late again: a sum that is
	// corrected whole by what is one and a half reports old swings ever more, and one that
	// is corrected by half settles.
	roomGain = 0.5
	// idleLoan is how many slots an upstream's parts must add up to, at one gateway, so
	// that it borrows nothing; see loan.
	idleLoan = 0.5
	// roomSaved is how many requests a share may save up beyond its part of the target.
	roomSaved = 1.0
)

// share is one gateway's part of an upstream's room, such that the parts of all
// gateways add up to what the upstream ends: each gains its part of the upstream's
// rate as time passes, and with each report its part of the room that is left or
// overdrawn.
type share struct {
	// part is this gateway's part of the demand, 0 to 1. One means that nobody else
	// sends, and what is in flight is known exactly.
	part float64
	// saved is how many requests may be sent now. It is bounded with each report; while
	// none comes the estimate of what is in flight bounds the requests.
	saved float64
	at    time.Time
}

func newShare(now time.Time) share {
	return share{part: 1.0 / firstGateways, saved: roomSaved, at: now}
}

// most is the most that can be saved at an upstream of so many slots.
func (s *share) most(slots int) float64 { return roomSaved + s.part*roomTarget*float64(slots) }

// refill gains the part of the rate, in requests a second.
func (s *share) refill(now time.Time, rate float64) {
	s.saved += s.part * rate * max(now.Sub(s.at), 0).Seconds()
	s.at = now
}

// loan is how many requests may be sent beyond the share up to the target. Among a
// dozen gateways it is none: what a few of them send at once between two reports fills an
// upstream. Among a hundred a part is a small fraction of one slot, and what the others
// do meanwhile evens out, so the report tells enough.
func (s *share) loan(slots int) float64 {
	return max(0, idleLoan/(s.part*float64(slots))-1)
}

// allows reports whether one more request may be sent to an upstream of so many slots
// that has so many requests by the last report.
func (s *share) allows(now time.Time, rate float64, slots int, inflight float64) bool {
	if s.part >= 1 {
		return true
	}
	s.refill(now, rate)
	return s.saved >= 1 || inflight+1 <= roomTarget*float64(slots) && s.saved >= 1-s.loan(slots)
}

// take spends one request.
func (s *share) take(now time.Time, rate float64) {
	s.refill(now, rate)
	s.saved--
}

// report takes over this gateway's part and how many requests all gateways have at
// the upstream.
func (s *share) report(now time.Time, rate, part, inflight float64, slots int) {
	s.refill(now, rate)
	s.part = part
	s.saved += roomGain * part * (roomTarget*float64(slots) - inflight)
	most := s.most(slots)
	s.saved = min(max(s.saved, -most), most)
}

// wait is how long it takes until so many more requests may be sent.
func (s *share) wait(requests, rate float64) time.Duration {
	if s.part >= 1 || s.saved >= requests {
		return 0
	}
	return time.Duration((requests - s.saved) / max(s.part*rate, leastRate) * float64(time.Second))
}

// leastRate keeps waits finite, in requests a second.
const leastRate = 0.01
