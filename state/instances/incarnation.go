package instances

import "time"

// Incarnation tells the starts of one upstream apart; zero when it is not known which
// start is meant. It is short because each report and each span carries one.
type Incarnation uint32

const (
	// incarnationBits of the millisecond of a start are told. Two starts of one upstream
	// look alike only if they are a multiple of 35 minutes apart to the millisecond.
	incarnationBits = 21
	// clockTolerance is how far in the future an upstream's start may seem: clocks of
	// machines are stepped by seconds, in rare faults by hours. What is beyond is not a
	// start.
	maxClockSkew = 24 * time.Hour
)

// Incarnation returns which start of the upstream this is.
func (i *Instance) Incarnation() Incarnation {
	if i.StartedMs == 0 {
		return 0
	}
	// Zero is kept for those that do not say.
	return Incarnation(i.StartedMs&(1<<incarnationBits-1)) + 1
}

// Other reports whether both are known and tell different starts.
func (a Incarnation) DiffersFrom(b Incarnation) bool { return a != 0 && b != 0 && a != b }

// Believable reports whether a start may have been at that Unix millisecond; zero is an
// upstream that does not say.
func PlausibleStart(bornMs uint64, now time.Time) bool {
	return bornMs <= uint64(max(0, now.Add(maxClockSkew).UnixMilli()))
}
