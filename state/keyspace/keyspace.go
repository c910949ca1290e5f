// Package keyspace hashes keys to points in a 64-bit hash space and defines
// contiguous spans of that space.
package keyspace

import (
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Max is the last point of the hash space.
const Max Hash = math.MaxUint64

// Hash is a point in the hash space of a service.
type Hash uint64

// HashKey returns the point that key hashes to.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// MarshalText encodes the point as sixteen hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(h)), nil
}

// UnmarshalText decodes a point from hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("hash point %q: %w", text, err)
	}
	*h = Hash(v)
	return nil
}

// String returns the point as sixteen hexadecimal digits.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// Span is a contiguous, non-wrapping part of the hash space. Both ends are
// inclusive.
type Span struct {
	First Hash `json:"first"`
	Last  Hash `json:"last"`
}

// FullSpan returns the span of the entire hash space.
func FullSpan() Span { return Span{First: 0, Last: Max} }

// Contains reports whether h is in the span.
func (s Span) Contains(h Hash) bool { return s.First <= h && h <= s.Last }

// Covers reports whether every point of o is in the span.
func (s Span) Covers(o Span) bool { return s.First <= o.First && o.Last <= s.Last }

// Overlaps reports whether the spans have a point in common.
func (s Span) Overlaps(o Span) bool { return s.First <= o.Last && o.First <= s.Last }

// Valid reports whether the span contains at least one point.
func (s Span) Valid() bool { return s.First <= s.Last }

// Fraction returns the fraction of the entire hash space that the span covers,
// between 0 and 1.
func (s Span) Fraction() float64 {
	return (float64(s.Last-s.First) + 1) / math.Exp2(64)
}

// String returns "first-last" in hexadecimal digits.
func (s Span) String() string { return s.First.String() + "-" + s.Last.String() }

// Split divides the span into n consecutive parts of nearly equal size. It
// returns fewer parts if the span has fewer than n points.
func (s Span) Split(n int) []Span {
	if n < 1 {
		n = 1
	}
	points := uint64(s.Last - s.First)
	if points < uint64(n)-1 {
		n = int(points) + 1
	}
	step := points/uint64(n) + 1
	parts := make([]Span, 0, n)
	first := s.First
	for i := 1; i < n; i++ {
		last := first + Hash(step) - 1
		if last >= s.Last || last < first {
			break
		}
		parts = append(parts, Span{First: first, Last: last})
		first = last + 1
	}
	return append(parts, Span{First: first, Last: s.Last})
}

// SplitAround returns the parts of s before, inside and after o, in order. Empty
// parts are omitted.
func (s Span) SplitAround(o Span) []Span {
	if !s.Overlaps(o) {
		return []Span{s}
	}
	var parts []Span
	first, last := max(s.First, o.First), min(s.Last, o.Last)
	if s.First < first {
		parts = append(parts, Span{First: s.First, Last: first - 1})
	}
	parts = append(parts, Span{First: first, Last: last})
	if last < s.Last {
		parts = append(parts, Span{First: last + 1, Last: s.Last})
	}
	return parts
}
