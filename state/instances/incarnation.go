package instances

import "time"

// Incarnation identifies one start of an upstream; zero means unknown. It is only 32 bits wide
// because every report and every span carries one.
type Incarnation uint32

const (
	// incarnationBits is the number of low bits of the start time in milliseconds that are kept.
	// Two starts of one upstream get the same incarnation only if they are an exact multiple of 35
	// minutes apart, to the millisecond.
	incarnationBits = 21
	// maxClockSkew is how far in the future the start of an upstream may appear to lie. Machine
	// clocks are stepped by seconds, in rare faults by hours; a later start time is invalid.
	maxClockSkew = 24 * time.Hour
)

// Incarnation returns the incarnation of this start of the upstream.
func (i *Instance) Incarnation() Incarnation {
	if i.StartedMs == 0 {
		return 0
	}
	// Zero is reserved for upstreams that do not report their start time.
	return Incarnation(i.StartedMs&(1<<incarnationBits-1)) + 1
}

// DiffersFrom reports whether both incarnations are known and different.
func (a Incarnation) DiffersFrom(b Incarnation) bool { return a != 0 && b != 0 && a != b }

// PlausibleStart reports whether an upstream can have started at the given Unix time in
// milliseconds. Zero, which means that the upstream does not report its start, is accepted.
func PlausibleStart(startedMs uint64, now time.Time) bool {
	return startedMs <= uint64(max(0, now.Add(maxClockSkew).UnixMilli()))
}
