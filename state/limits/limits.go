// Package limits is what is known of the limits that upstreams in need name: how many
// requests a second one takes from all gateways together, for as long as its answers say so.
package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// mostKnown bounds the upstreams of which a limit is known, ended ones among them.
	maxEntries = 4096
	// endedFor is how long the end of a limit is remembered, so that no other gateway's older
	// word brings it back: several times what news take to all gateways.
	endedRetention = 5 * time.Second
	// change is the part by which a limit must change to count as another one. Upstreams may
	// name theirs anew with each answer.
	minRelativeChange = 0.1
)

// Limit is what an upstream has said of itself with an answer.
type Limit struct {
	Upstream string
	// Incarnation tells which start of the upstream said so.
	Incarnation instances.Incarnation
	// PerSecond is how many requests a second it takes from all gateways together; zero for
	// none at all.
	PerSecond float64
	// Ended says that it named a limit and does not any more.
	Ended bool
	// At is when the answer came, here or at the gateway that tells.
	ReceivedAt time.Time
}

// sound reports whether the limit can be.
func (l Limit) valid() bool {
	return l.Upstream != "" && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0)
}

// same reports whether both say the same but for the time.
func (l Limit) equivalent(other Limit) bool {
	if l.Ended != other.Ended || l.Incarnation.DiffersFrom(other.Incarnation) {
		return false
	}
	return l.Ended || math.Abs(l.PerSecond-other.PerSecond) <= minRelativeChange*other.PerSecond
}

// Book keeps the newest word of each upstream, from whomever. It is not safe for concurrent
// use.
type Registry struct{ byUpstream map[string]Limit }

// NewBook returns a book that knows of no limit.
func NewRegistry() *Registry { return &Registry{byUpstream: make(map[string]Limit)} }

// Empty reports whether nothing is known of any upstream.
func (b *Registry) Empty() bool { return len(b.byUpstream) == 0 }

// Note takes over what an upstream has said if it is newer than what is known, and reports
// whether that changes anything.
func (b *Registry) Update(l Limit) (changed bool) {
	known, ok := b.byUpstream[l.Upstream]
	if !l.valid() || ok && !l.ReceivedAt.After(known.ReceivedAt) || !ok && len(b.byUpstream) >= maxEntries {
		return false
	}
	if ok && known.equivalent(l) && !l.Ended {
		// The former figure stands until it has changed by enough, the time is the new one.
		l.PerSecond = known.PerSecond
		b.byUpstream[l.Upstream] = l
		return false
	}
	b.byUpstream[l.Upstream] = l
	return !ok && !l.Ended || ok && !known.equivalent(l)
}

// Unnamed notes that an upstream has answered without a limit to a request that was sent at
// a time, and reports whether that ends one. Answers to requests that were sent before the
// limit was last named say nothing: they may have been made before it was.
func (b *Registry) RecordAbsent(upstream string, incarnation instances.Incarnation, sent, now time.Time) (ended bool) {
	known, ok := b.byUpstream[upstream]
	if !ok || known.Ended || !sent.After(known.ReceivedAt) {
		return false
	}
	return b.Update(Limit{Upstream: upstream, Incarnation: incarnation, Ended: true, ReceivedAt: now})
}

// Of returns the limit of an upstream's start; ok is false when it names none.
func (b *Registry) Get(upstream string, incarnation instances.Incarnation) (perSecond float64, ok bool) {
	l, ok := b.byUpstream[upstream]
	if !ok || l.Ended || l.Incarnation.DiffersFrom(incarnation) {
		return 0, false
	}
	return l.PerSecond, true
}

// List returns all that is known, ends of limits among them, in the order of the upstreams.
func (b *Registry) List() []Limit {
	out := make([]Limit, 0, len(b.byUpstream))
	for _, l := range b.byUpstream {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// Forget drops ends that all have heard of, and upstreams that are not there any more.
func (b *Registry) Prune(now time.Time, there func(upstream string) bool) {
	for id, l := range b.byUpstream {
		if !there(id) || l.Ended && now.Sub(l.ReceivedAt) > endedRetention {
			delete(b.byUpstream, id)
		}
	}
}
