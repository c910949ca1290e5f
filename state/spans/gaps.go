package spans

import "time"

// Gaps follows how long keys are without an owner, over the versions of one table. It
// is not safe for concurrent use.
type Gaps struct {
	// open are the spans without an owner at the moment, by first key.
	open map[uint16]gap
}

type gap struct {
	Keys
	since time.Time
}

// Note takes a table over and returns how long each span was without an owner that
// has one now. Parts of a span that was split go on from when the whole lost its
// owner.
func (g *Gaps) Note(now time.Time, t *Table) []time.Duration {
	next := make(map[uint16]gap)
	for _, s := range t.Spans {
		if s.held() {
			continue
		}
		next[s.First] = gap{Keys: s.Keys, since: g.since(s.First, now)}
	}
	var ended []time.Duration
	for first, old := range g.open {
		if t.Find(first).held() {
			ended = append(ended, now.Sub(old.since))
		}
	}
	g.open = next
	return ended
}

// held reports whether the span's owner holds it and is not about to lose it.
func (s Span) held() bool { return s.Owner != "" && !s.Moving() }

// since returns when the key lost its owner, at the latest now.
func (g *Gaps) since(key uint16, now time.Time) time.Time {
	for _, old := range g.open {
		if old.Has(key) {
			return old.since
		}
	}
	return now
}

// Without returns how long the key has been without an owner; zero when it has one.
func (g *Gaps) Without(now time.Time, key uint16) time.Duration {
	return now.Sub(g.since(key, now))
}

// Longest returns how long the keys that have been without an owner for longest are
// so; zero when all have one.
func (g *Gaps) Longest(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, one := range g.open {
		longest = max(longest, now.Sub(one.since))
	}
	return longest
}
