// Package limits holds the rate limits that overloaded upstreams announce: how many requests per
// second an upstream accepts from all gateways together, for as long as its responses carry the
// limit.
package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// maxEntries bounds the number of upstreams with a known limit, including limits that have
	// ended.
	maxEntries = 4096
	// endedRetention is how long the end of a limit is remembered, so that no older report from
	// another gateway restores the limit. It is several times as long as a change takes to reach all
	// gateways.
	endedRetention = 5 * time.Second
	// minRelativeChange is the fraction by which a limit must change to count as changed. Upstreams
	// may announce a slightly different limit with every response.
	minRelativeChange = 0.1
)

// Limit is the limit that an upstream announced in a response.
type Limit struct {
	Upstream string
	// Incarnation identifies the start of the upstream that announced the limit.
	Incarnation instances.Incarnation
	// PerSecond is the number of requests per second that the upstream accepts from all gateways
	// together; zero means none.
	PerSecond float64
	// Ended is set if the upstream announced a limit before and no longer does.
	Ended bool
	// ReceivedAt is when the response was received, by this gateway or by the one that reported it.
	ReceivedAt time.Time
}

// valid reports whether the limit has an upstream and a finite, non-negative rate.
func (l Limit) valid() bool {
	return l.Upstream != "" && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0)
}

// equivalent reports whether both limits are the same, apart from the time and from rate
// differences below minRelativeChange.
func (l Limit) equivalent(other Limit) bool {
	if l.Ended != other.Ended || l.Incarnation.DiffersFrom(other.Incarnation) {
		return false
	}
	return l.Ended || math.Abs(l.PerSecond-other.PerSecond) <= minRelativeChange*other.PerSecond
}

// Registry holds the newest limit of each upstream, from any source. It is not safe for concurrent
// use.
type Registry struct{ byUpstream map[string]Limit }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{byUpstream: make(map[string]Limit)} }

// Empty reports whether no limit is known, not even an ended one.
func (r *Registry) Empty() bool { return len(r.byUpstream) == 0 }

// Update records a limit if it is newer than the known one, and reports whether anything changed.
func (r *Registry) Update(l Limit) (changed bool) {
	known, ok := r.byUpstream[l.Upstream]
	if !l.valid() || ok && !l.ReceivedAt.After(known.ReceivedAt) || !ok && len(r.byUpstream) >= maxEntries {
		return false
	}
	if ok && known.equivalent(l) && !l.Ended {
		// Keep the former rate until it has changed enough, but record the new time.
		l.PerSecond = known.PerSecond
		r.byUpstream[l.Upstream] = l
		return false
	}
	r.byUpstream[l.Upstream] = l
	return !ok && !l.Ended || ok && !known.equivalent(l)
}

// RecordAbsent records that an upstream's response carried no limit, and reports whether that ends
// a limit. sent is when the request was sent. Responses to requests that were sent before the limit
// was last announced are ignored, because the upstream may have produced them before announcing it.
func (r *Registry) RecordAbsent(upstream string, incarnation instances.Incarnation, sent, now time.Time) (ended bool) {
	known, ok := r.byUpstream[upstream]
	if !ok || known.Ended || !sent.After(known.ReceivedAt) {
		return false
	}
	return r.Update(Limit{Upstream: upstream, Incarnation: incarnation, Ended: true, ReceivedAt: now})
}

// Get returns the limit of the given start of an upstream; ok is false if there is none.
func (r *Registry) Get(upstream string, incarnation instances.Incarnation) (perSecond float64, ok bool) {
	l, ok := r.byUpstream[upstream]
	if !ok || l.Ended || l.Incarnation.DiffersFrom(incarnation) {
		return 0, false
	}
	return l.PerSecond, true
}

// List returns all entries, including ended limits, ordered by upstream.
func (r *Registry) List() []Limit {
	out := make([]Limit, 0, len(r.byUpstream))
	for _, l := range r.byUpstream {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// Prune removes ended limits that all gateways have learned of, and upstreams that no longer exist.
func (r *Registry) Prune(now time.Time, exists func(upstream string) bool) {
	for id, l := range r.byUpstream {
		if !exists(id) || l.Ended && now.Sub(l.ReceivedAt) > endedRetention {
			delete(r.byUpstream, id)
		}
	}
}
