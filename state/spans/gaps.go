package spans

import "time"

// Gaps follows how long keys are without an owner, over the versions of one table. It
// is not safe for concurrent use.
type UnownedTracker struct {
	// open are the spans without an owner at the moment, by first key.
	unowned map[uint16]unownedRange
}

type unownedRange struct {
	KeyRange
	since time.Time
}

// Note takes a table over and returns how long each span was without an owner that
// has one now. Parts of a span that was split go on from when the whole lost its
// owner.
func (g *UnownedTracker) Update(now time.Time, t *Table) []time.Duration {
	next := make(map[uint16]unownedRange)
	for _, s := range t.Spans {
		if s.hasSettledOwner() {
			continue
		}
		next[s.First] = unownedRange{KeyRange: s.KeyRange, since: g.unownedSince(s.First, now)}
	}
	var ended []time.Duration
	for first, old := range g.unowned {
		if t.Find(first).hasSettledOwner() {
			ended = append(ended, now.Sub(old.since))
		}
	}
	g.unowned = next
	return ended
}

// held reports whether the span's owner holds it and is not about to lose it.
func (s Span) hasSettledOwner() bool { return s.Owner != "" && !s.Moving() }

// since returns when the key lost its owner, at the latest now.
func (g *UnownedTracker) unownedSince(key uint16, now time.Time) time.Time {
	for _, old := range g.unowned {
		if old.Contains(key) {
			return old.since
		}
	}
	return now
}

// Without returns how long the key has been without an owner; zero when it has one.
func (g *UnownedTracker) UnownedFor(now time.Time, key uint16) time.Duration {
	return now.Sub(g.unownedSince(key, now))
}

// Longest returns how long the keys that have been without an owner for longest are
// so; zero when all have one.
func (g *UnownedTracker) LongestUnowned(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, one := range g.unowned {
		longest = max(longest, now.Sub(one.since))
	}
	return longest
}
