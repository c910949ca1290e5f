package leadership

import "time"

// FormerHolds is until when upstreams may hold keys by grants that a successor cannot bound by the end of
// the holder's right: those of earlier leaders, and those that the holder made by promises. The holder
// states it in the lease, because a successor knows only this lease and the voters that it names.
type FormerHolds struct{ until time.Time }

// Extend records that upstreams may hold keys until the given time.
func (f *FormerHolds) Extend(until time.Time) {
	if until.After(f.until) {
		f.until = until
	}
}

// Milliseconds returns Lease.FormerHoldsMs for a write that is sent at the given time. It is zero if
// grants that the holder makes at that time, which last for hold, end later.
func (f *FormerHolds) Milliseconds(sent time.Time, hold time.Duration) int64 {
	left := f.until.Sub(sent)
	if f.until.IsZero() || left <= hold {
		return 0
	}
	return (left + time.Millisecond - 1).Milliseconds()
}
