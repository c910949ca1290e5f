// Package currency tracks until when a gateway's view of the store is known to have been complete, so
// that the time of a change can be bounded that arrives later than it was made.
package currency

import (
	"sync"
	"time"
)

const (
	// minGap is the time between two confirmations from which on there was a gap. It is longer than
	// gateways wait between two reports.
	minGap = 400 * time.Millisecond
	// gapHold is how long after a gap changes from it may still arrive: the first confirmation can come
	// before them, and a list is fetched in pieces.
	gapHold = 500 * time.Millisecond
)

// Tracker tracks until when a view is known to have been complete. The zero value knows nothing. It is
// safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	confirmed time.Time
	// gapFrom and gapEnd are the last time in which the view was not known to be complete.
	gapFrom, gapEnd time.Time
}

// Confirm records that the view is known to have been complete at the given time. What was changed since
// the last confirmation may still be on its way.
func (t *Tracker) Confirm(now, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmed) {
		return
	}
	if !t.confirmed.IsZero() && at.Sub(t.confirmed) >= minGap {
		t.recordGap(now, t.confirmed)
	}
	t.confirmed = at
}

// Extend records that the view was complete all the time since the last confirmation.
func (t *Tracker) Extend(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed.IsZero() && at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Doubt records that the source of the view states only now that it may lack what was changed since the
// given time.
func (t *Tracker) Doubt(now, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.Sub(since) >= minGap {
		t.recordGap(now, since)
	}
}

// Lapse records that what arrives now may have been changed at any time since the last confirmation.
func (t *Tracker) Lapse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed.IsZero() {
		t.recordGap(now, t.confirmed)
	}
}

// recordGap records a gap that ends now. It joins a gap that has just ended. The lock is held.
func (t *Tracker) recordGap(now, from time.Time) {
	if now.Sub(t.gapEnd) >= gapHold || from.Before(t.gapFrom) {
		t.gapFrom = from
	}
	t.gapEnd = now
}

// EarliestChange returns the earliest time at which a change that arrives now may have been made. It
// returns the current time while nothing is known.
func (t *Tracker) EarliestChange(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.confirmed.IsZero():
		return now
	case now.Sub(t.gapEnd) < gapHold && t.gapFrom.Before(t.confirmed):
		return t.gapFrom
	case t.confirmed.After(now):
		return now
	}
	return t.confirmed
}

// Age returns how long ago the view may have begun to lack changes, for a source that confirms it at most
// the given interval apart. It returns zero while nothing is known or the next confirmation is not overdue.
func (t *Tracker) Age(now time.Time, interval time.Duration) time.Duration {
	age := now.Sub(t.EarliestChange(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.gapEnd) >= gapHold && age <= interval {
		return 0
	}
	return age
}
