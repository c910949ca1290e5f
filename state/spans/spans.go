// Package spans holds who owns which keys of one service: consecutive spans of
// keys, each with an owner and the fence of its grant.
package spans

import (
	"fmt"
	"sort"

	"github.com/rockcroft/rockcroft/state/instances"
)

// MaxKey is the largest key.
const MaxKey = 65535

// Keys is a span of keys, both ends inclusive.
type KeyRange struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Count returns the number of keys.
func (k KeyRange) Count() int { return int(k.Last) - int(k.First) + 1 }

// Has reports whether the key lies in the span.
func (k KeyRange) Contains(key uint16) bool { return key >= k.First && key <= k.Last }

// Span is a span of keys with its owner.
type Span struct {
	KeyRange
	// Owner is the upstream that holds the keys, or may hold them; empty when
	// none does.
	Owner string `json:"owner,omitempty"`
	// Fence is the fence of the owner's grant.
	Fence uint64 `json:"fence,omitempty"`
	// Incarnation tells which start of the owner was granted the keys: one that has
	// started again since holds nothing. Zero when it is not known.
	Incarnation instances.Incarnation `json:"incarnation,omitempty"`
	// Next is set while the keys move: the upstream that gets them, with the
	// fence NextFence, which is above Fence.
	Next      string `json:"next,omitempty"`
	NextFence uint64 `json:"next_fence,omitempty"`
	// Cold says that the owner got the keys without a handover a short time ago: it
	// runs requests for them several times as long.
	Cold bool `json:"cold,omitempty"`
}

// Moving reports whether the keys are on their way to another owner.
func (s Span) Moving() bool { return s.Next != "" }

// Table is the assignment of one service. It is immutable once shared.
type Table struct {
	Service string `json:"service"`
	// LastFence is the highest fence that was ever reserved.
	LastFence uint64 `json:"last_fence"`
	// Spans cover all keys in order.
	Spans []Span `json:"spans"`
	// Writer names the write that made this version, so that its writer
	// recognizes it when the answer was lost.
	Writer string `json:"writer,omitempty"`
	// Version counts changes, those not yet stored too.
	Version uint64 `json:"version"`
}

// At returns the index of the span that has the key.
func (t *Table) Index(key uint16) int {
	return sort.Search(len(t.Spans), func(i int) bool { return t.Spans[i].Last >= key })
}

// Find returns the span that has the key.
func (t *Table) Find(key uint16) Span { return t.Spans[t.Index(key)] }

// Unowned returns the number of keys that nobody holds at the moment.
func (t *Table) UnownedKeys() int {
	n := 0
	for _, s := range t.Spans {
		if s.Moving() || s.Owner == "" {
			n += s.Count()
		}
	}
	return n
}

// Clone returns a copy that can be changed.
func (t *Table) Clone() *Table {
	c := *t
	c.Spans = append([]Span(nil), t.Spans...)
	return &c
}

// Check reports what is wrong with a table, or nil.
func (t *Table) Validate() error {
	next := 0
	for _, s := range t.Spans {
		switch {
		case int(s.First) != next || s.Last < s.First:
			return fmt.Errorf("spans of %s: span %d-%d where %d is due", t.Service, s.First, s.Last, next)
		case s.Fence > t.LastFence || s.NextFence > t.LastFence:
			return fmt.Errorf("spans of %s: span %d-%d has a fence that was not reserved", t.Service, s.First, s.Last)
		case s.Moving() && s.NextFence <= s.Fence:
			return fmt.Errorf("spans of %s: span %d-%d does not raise its fence", t.Service, s.First, s.Last)
		}
		next = int(s.Last) + 1
	}
	if next != MaxKey+1 {
		return fmt.Errorf("spans of %s: %d keys are covered", t.Service, next)
	}
	return nil
}

// Split cuts the span at index i so that a new span begins at the key. Both
// parts keep owner and fence.
func (t *Table) Split(i int, first uint16) {
	s := t.Spans[i]
	if first <= s.First || first > s.Last {
		return
	}
	low, high := s, s
	low.Last = first - 1
	high.First = first
	t.Spans = append(t.Spans[:i], append([]Span{low, high}, t.Spans[i+1:]...)...)
}

// Diff returns the spans of the next table that are not in the old one as they
// are.
func Diff(old, next *Table) []Span {
	var out []Span
	for _, s := range next.Spans {
		if old.Find(s.First) != s {
			out = append(out, s)
		}
	}
	return out
}

// Overlay returns the table with the spans that the list overlaps replaced by
// the list.
func (t *Table) Overlay(list []Span) *Table {
	next := *t
	next.Spans = make([]Span, 0, len(t.Spans)+len(list))
	for _, s := range t.Spans {
		if !overlapsAny(list, s.KeyRange) {
			next.Spans = append(next.Spans, s)
		}
	}
	next.Spans = append(next.Spans, list...)
	sort.Slice(next.Spans, func(i, j int) bool { return next.Spans[i].First < next.Spans[j].First })
	return &next
}

// overlapsAny reports whether one of the spans, which are in order, has keys of k.
func overlapsAny(list []Span, k KeyRange) bool {
	i := sort.Search(len(list), func(i int) bool { return list[i].Last >= k.First })
	return i < len(list) && list[i].First <= k.Last
}
