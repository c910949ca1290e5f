package cell

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Segment maps a span of a service's hash space to the cell that assigns its
// owners.
type Segment struct {
	keyspace.Span
	Cell string `json:"cell"`
	// Epoch is the highest epoch in use before the cell took over the span.
	// The cell's own grants use higher epochs.
	Epoch uint64 `json:"epoch"`
}

// Directory maps the whole hash space of one service to cells.
type Directory struct {
	Service string `json:"service"`
	// Version increases by one with each write.
	Version  uint64    `json:"version"`
	WriteID  string    `json:"write_id"`
	Segments []Segment `json:"segments"`
}

// Clone returns a deep copy.
func (d *Directory) Clone() *Directory {
	out := *d
	out.Segments = append([]Segment(nil), d.Segments...)
	return &out
}

// Find returns the segment that contains h, or nil if there is none.
func (d *Directory) Find(h keyspace.Hash) *Segment {
	i := sort.Search(len(d.Segments), func(i int) bool { return d.Segments[i].Last >= h })
	if i == len(d.Segments) || !d.Segments[i].Contains(h) {
		return nil
	}
	return &d.Segments[i]
}

// Assign assigns span to a cell and splits segments where needed. An assigned
// segment keeps its epoch if that is higher than the given one.
func (d *Directory) Assign(span keyspace.Span, to string, epoch uint64) {
	var out []Segment
	for _, s := range d.Segments {
		for _, part := range s.SplitAround(span) {
			piece := s
			piece.Span = part
			if span.Covers(part) {
				piece.Cell = to
				piece.Epoch = max(epoch, s.Epoch)
			}
			out = append(out, piece)
		}
	}
	d.Segments = mergeSegments(out)
}

// mergeSegments joins adjacent segments that have the same cell and epoch.
func mergeSegments(in []Segment) []Segment {
	var out []Segment
	for _, s := range in {
		n := len(out)
		if n > 0 && out[n-1].Cell == s.Cell && out[n-1].Epoch == s.Epoch && out[n-1].Last+1 == s.First {
			out[n-1].Last = s.Last
			continue
		}
		out = append(out, s)
	}
	return out
}

// Validate checks that the segments are sorted and cover the whole hash space
// without gaps or overlaps.
func (d *Directory) Validate() error {
	if d.Service == "" || d.Version == 0 {
		return fmt.Errorf("directory %q: invalid service name or version %d", d.Service, d.Version)
	}
	next := keyspace.Hash(0)
	for i, s := range d.Segments {
		if s.First != next || !s.Valid() || s.Cell == "" {
			return fmt.Errorf("directory %s: segment %d (%s) is empty, out of sequence or has no cell", d.Service, i, s.Span)
		}
		next = s.Last + 1
	}
	if len(d.Segments) == 0 || next != 0 {
		return fmt.Errorf("directory %s: segments do not cover the whole hash space", d.Service)
	}
	return nil
}

// DecodeDirectory parses and validates a directory document.
func DecodeDirectory(data []byte) (*Directory, error) {
	var d Directory
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode directory document: %w", err)
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}
