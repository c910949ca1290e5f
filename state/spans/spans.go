// Package spans holds the assignment of one service's keys to upstreams: consecutive spans of keys,
// each with its owner and the fence of the owner's grant.
package spans

import (
	"fmt"
	"slices"
	"sort"

	"github.com/rockcroft/rockcroft/state/instances"
)

// MaxKey is the largest key.
const MaxKey = 65535

// KeyRange is a range of keys, both ends inclusive.
type KeyRange struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Count returns the number of keys in the range.
func (k KeyRange) Count() int { return int(k.Last) - int(k.First) + 1 }

// Contains reports whether the key lies in the range.
func (k KeyRange) Contains(key uint16) bool { return key >= k.First && key <= k.Last }

// Overlaps reports whether the ranges have a key in common.
func (k KeyRange) Overlaps(other KeyRange) bool {
	return k.First <= other.Last && other.First <= k.Last
}

// Span is a range of keys with its owner.
type Span struct {
	KeyRange
	// Owner is the ID of the upstream that holds or may hold the keys; empty if no upstream does.
	Owner string `json:"owner,omitempty"`
	// Fence is the fencing token of the owner's grant.
	Fence uint64 `json:"fence,omitempty"`
	// Incarnation identifies the start of the owner that was granted the keys; after a restart the
	// owner no longer holds them. Zero if it is not known.
	Incarnation instances.Incarnation `json:"incarnation,omitempty"`
	// Next is set while the keys are moving: it is the upstream that will get them. NextFence is
	// the fence of its grant and is greater than Fence.
	Next      string `json:"next,omitempty"`
	NextFence uint64 `json:"next_fence,omitempty"`
	// Cold is set if the owner recently got the keys without a handover: requests for them then
	// take several times as long.
	Cold bool `json:"cold,omitempty"`
}

// Moving reports whether the keys are moving to another owner.
func (s Span) Moving() bool { return s.Next != "" }

// GrantedToOtherStart reports whether the keys may have been granted to another start of the owner than the
// listed one. Where upstreams tell no starts, each start has an ID of its own.
func (s Span) GrantedToOtherStart(listed instances.Incarnation) bool {
	return listed != 0 && listed != s.Incarnation
}

// Table is the key assignment of one service. It must not be modified once it is shared.
type Table struct {
	Service string `json:"service"`
	// LastFence is the highest fence reserved so far.
	LastFence uint64 `json:"last_fence"`
	// Spans cover all keys, in ascending order.
	Spans []Span `json:"spans"`
	// Writer identifies the write that created this version, so that the writer recognizes its own
	// write if the response was lost.
	Writer string `json:"writer,omitempty"`
	// Version counts changes, including those that are not yet stored.
	Version uint64 `json:"version"`
}

// Index returns the index of the span that contains the key.
func (t *Table) Index(key uint16) int {
	return sort.Search(len(t.Spans), func(i int) bool { return t.Spans[i].Last >= key })
}

// Find returns the span that contains the key.
func (t *Table) Find(key uint16) Span { return t.Spans[t.Index(key)] }

// UnownedKeys returns the number of keys that have no settled owner.
func (t *Table) UnownedKeys() int {
	n := 0
	for _, s := range t.Spans {
		if s.Moving() || s.Owner == "" {
			n += s.Count()
		}
	}
	return n
}

// Clone returns a copy that may be modified.
func (t *Table) Clone() *Table {
	c := *t
	c.Spans = append([]Span(nil), t.Spans...)
	return &c
}

// Validate returns an error if the table is inconsistent.
func (t *Table) Validate() error {
	next := 0
	for _, s := range t.Spans {
		switch {
		case int(s.First) != next || s.Last < s.First:
			return fmt.Errorf("spans of %s: span %d-%d found where key %d was expected", t.Service, s.First, s.Last, next)
		case s.Fence > t.LastFence || s.NextFence > t.LastFence:
			return fmt.Errorf("spans of %s: span %d-%d has a fence above the last reserved one", t.Service, s.First, s.Last)
		case s.Moving() && s.NextFence <= s.Fence:
			return fmt.Errorf("spans of %s: span %d-%d moves without raising its fence", t.Service, s.First, s.Last)
		}
		next = int(s.Last) + 1
	}
	if next != MaxKey+1 {
		return fmt.Errorf("spans of %s: only the first %d keys are covered", t.Service, next)
	}
	return nil
}

// Split divides the span at index i so that a new span begins at the key first. Both parts keep the
// owner and the fence.
func (t *Table) Split(i int, first uint16) {
	s := t.Spans[i]
	if first <= s.First || first > s.Last {
		return
	}
	high := s
	high.First = first
	t.Spans[i].Last = first - 1
	t.Spans = slices.Insert(t.Spans, i+1, high)
}

// Diff returns the spans of the next table that are not identical in the old one.
func Diff(old, next *Table) []Span {
	var out []Span
	for _, s := range next.Spans {
		if old.Find(s.First) != s {
			out = append(out, s)
		}
	}
	return out
}

// Overlay returns a copy of the table in which the listed spans replace those they overlap.
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

// overlapsAny reports whether one of the spans, which must be sorted, overlaps k.
func overlapsAny(list []Span, k KeyRange) bool {
	i := sort.Search(len(list), func(i int) bool { return list[i].Last >= k.First })
	return i < len(list) && list[i].First <= k.Last
}
