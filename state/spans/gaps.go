package spans

import (
	"sort"
	"time"
)

// UnownedTracker tracks how long keys have been without an owner, over successive versions of one
// table. It is not safe for concurrent use.
type UnownedTracker struct {
	// unowned holds the key ranges that currently have no owner, in ascending order.
	unowned []unownedRange
}

type unownedRange struct {
	KeyRange
	since time.Time
}

// Update records a new version of the table. It returns how long each range that now has an owner
// again was without one. The parts of a span that was split keep the time at which the whole span
// lost its owner.
func (u *UnownedTracker) Update(now time.Time, t *Table) []time.Duration {
	var next []unownedRange
	for _, s := range t.Spans {
		if s.hasSettledOwner() {
			continue
		}
		next = append(next, unownedRange{KeyRange: s.KeyRange, since: u.unownedSince(s.First, now)})
	}
	var ended []time.Duration
	for _, old := range u.unowned {
		if t.Find(old.First).hasSettledOwner() {
			ended = append(ended, now.Sub(old.since))
		}
	}
	u.unowned = next
	return ended
}

// hasSettledOwner reports whether the span has an owner that is not about to lose it.
func (s Span) hasSettledOwner() bool { return s.Owner != "" && !s.Moving() }

// unownedSince returns when the key lost its owner, or now if it has one.
func (u *UnownedTracker) unownedSince(key uint16, now time.Time) time.Time {
	i := sort.Search(len(u.unowned), func(i int) bool { return u.unowned[i].Last >= key })
	if i < len(u.unowned) && u.unowned[i].Contains(key) {
		return u.unowned[i].since
	}
	return now
}

// UnownedFor returns how long the key has been without an owner; zero if it has one.
func (u *UnownedTracker) UnownedFor(now time.Time, key uint16) time.Duration {
	return now.Sub(u.unownedSince(key, now))
}

// LongestUnowned returns the longest time that any key has been without an owner; zero if all keys
// have one.
func (u *UnownedTracker) LongestUnowned(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, current := range u.unowned {
		longest = max(longest, now.Sub(current.since))
	}
	return longest
}
