package ownership

import (
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// firstPublicationLimit bounds how long a new leader withholds the assignment while it grants the keys.
// Grants of all keys usually take less. Requests may wait no longer than that, and they would be answered
// without the grants if their owners still hold the keys.
const firstPublicationLimit = 400 * time.Millisecond

// FirstGrants records a new leader's first grant of each span. After all gateways were off, the owners
// may hold their keys no more, and requests sent to them before they are granted the keys again are
// refused and use up their attempts. A leader whose gateways know no owners yet therefore grants the keys
// before it publishes the assignment. It is not safe for concurrent use.
type FirstGrants struct {
	began time.Time
	// waiting are the owners of the spans that were not granted yet, by first key: "" if the span has
	// none.
	waiting map[uint16]string
	total   int
	// first and all are when the first span was granted and when all were, counted from began; zero
	// before.
	first, all time.Duration
}

// NewFirstGrants returns the record of a leader that takes over the table now.
func NewFirstGrants(now time.Time, t *spans.Table) *FirstGrants {
	g := &FirstGrants{began: now, waiting: make(map[uint16]string, len(t.Spans)), total: len(t.Spans)}
	for _, s := range t.Spans {
		g.waiting[s.First] = s.Owner
		if s.Moving() {
			g.waiting[s.First] = ""
		}
	}
	return g
}

// Granted records that the span with that first key was granted. It reports whether that was the last one.
func (g *FirstGrants) Granted(now time.Time, first uint16) (completed bool) {
	if _, ok := g.waiting[first]; !ok {
		return false
	}
	delete(g.waiting, first)
	since := max(now.Sub(g.began), 1)
	if g.first == 0 {
		g.first = since
	}
	if len(g.waiting) == 0 {
		g.all = since
	}
	return g.all > 0
}

// Failed records that a call to the owner failed: the publication does not wait for its spans any longer.
func (g *FirstGrants) Failed(owner string) {
	for first, o := range g.waiting {
		if o == owner {
			g.waiting[first] = ""
		}
	}
}

// MayPublish reports whether the assignment may be published: all owners that answer have been granted
// their keys, or the limit has passed.
func (g *FirstGrants) MayPublish(now time.Time) bool {
	if now.Sub(g.began) >= firstPublicationLimit {
		return true
	}
	for _, owner := range g.waiting {
		if owner != "" {
			return false
		}
	}
	return true
}

// First returns how long after the takeover the first span was granted; zero if none was.
func (g *FirstGrants) First() time.Duration { return g.first }

// All returns how long after the takeover the last span was granted; zero while one was not.
func (g *FirstGrants) All() time.Duration { return g.all }

// Total returns the number of spans at the takeover.
func (g *FirstGrants) Total() int { return g.total }
