// Package cell defines the versioned documents that record ownership: the cell
// document with the ranges, upstreams and voters of one cell, the directory
// that maps the hash space of a service to cells, and the roster of a cell's
// entries. A cell is a group of entries and upstreams whose ownership is decided
// by one elected controller.
//
// Documents are immutable once published: a writer clones a document, modifies
// the clone and stores it with a conditional update.
package cell

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Phase is the ownership state of a range within its cell.
type Phase string

// Phases of a range.
const (
	// Owned: Owner holds the grant for Epoch and receives requests.
	Owned Phase = "owned"
	// Releasing: Owner is giving up the range and no upstream receives
	// requests for it. Next, if set, becomes the owner at Epoch+1.
	Releasing Phase = "releasing"
	// Vacant: no upstream owns the range.
	Vacant Phase = "vacant"
	// Exported: the range was handed over to NextCell at Epoch.
	Exported Phase = "exported"
)

// Range is a span of the hash space that has at most one owner.
type Range struct {
	keyspace.Span
	// Epoch is the fencing token of the current grant. It never decreases.
	Epoch uint64 `json:"epoch"`
	Phase Phase  `json:"phase"`
	// Owner is the upstream that owns the range, or owned it last.
	Owner string `json:"owner,omitempty"`
	// Next is the upstream that becomes the owner once the range is released.
	Next string `json:"next,omitempty"`
	// NextCell is the cell that takes over the range once it is released.
	NextCell string `json:"next_cell,omitempty"`
	// Intent is the ID of the intent that caused the handover, if any.
	Intent string `json:"intent,omitempty"`
}

// UpstreamState is the administrative state of an upstream.
type UpstreamState string

// States of an upstream.
const (
	// Active upstreams may own ranges.
	Active UpstreamState = "active"
	// Draining upstreams give up their ranges and are assigned no new ones.
	Draining UpstreamState = "draining"
	// Lost upstreams stopped responding and were declared failed.
	Lost UpstreamState = "lost"
)

// Upstream is a server instance that can own ranges.
type Upstream struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	State   UpstreamState `json:"state"`
	// Boot is the boot ID of the upstream process that holds the grants. If it
	// changes, the process has restarted and its earlier grants are void.
	Boot string `json:"boot,omitempty"`
}

// Member is an entry process of the cell, or an entry of another cell that acts
// as a witness. The ID includes the incarnation, so a restarted process is a new
// member.
type Member struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Cell   string `json:"cell"`
	// Peer is the address on which the entry accepts messages and forwarded
	// requests from other entries.
	Peer string `json:"peer"`
}

// Quorum lists the voters whose promises allow an entry to send requests to
// upstreams. Promises from a strict majority of Local or from a strict majority
// of Wide suffice. Wide holds the local voters and witnesses from other cells.
type Quorum struct {
	Local []Member `json:"local"`
	Wide  []Member `json:"wide,omitempty"`
}

// Service lists the ranges of one service in the cell. They are sorted and do
// not overlap.
type Service struct {
	Name   string  `json:"name"`
	Ranges []Range `json:"ranges"`
}

// Cell is the document that holds the ownership state of one cell.
type Cell struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Version increases by one with each write.
	Version uint64 `json:"version"`
	// Fence is the version of the last write that revoked a range or removed a
	// voter. Entries that know only older versions must not send requests.
	Fence uint64 `json:"fence"`
	// WriteID identifies the write, so that a writer that received no response
	// can tell whether its write succeeded.
	WriteID string `json:"write_id"`
	Quorum  Quorum `json:"quorum"`
	// Previous lists the quorums of earlier versions that entries may still
	// rely on, because a later fence is not known to be settled.
	Previous  []Quorum   `json:"previous,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
	Services  []Service  `json:"services"`
}

// Clone returns a deep copy.
func (c *Cell) Clone() *Cell {
	out := *c
	out.Quorum = c.Quorum.clone()
	out.Previous = make([]Quorum, len(c.Previous))
	for i, q := range c.Previous {
		out.Previous[i] = q.clone()
	}
	out.Upstreams = slices.Clone(c.Upstreams)
	out.Services = make([]Service, len(c.Services))
	for i, s := range c.Services {
		out.Services[i] = Service{Name: s.Name, Ranges: slices.Clone(s.Ranges)}
	}
	return &out
}

func (q Quorum) clone() Quorum {
	return Quorum{Local: slices.Clone(q.Local), Wide: slices.Clone(q.Wide)}
}

// HasLocal reports whether id is a local voter.
func (q Quorum) HasLocal(id string) bool { return hasMember(q.Local, id) }

// HasWide reports whether id is a wide voter.
func (q Quorum) HasWide(id string) bool { return hasMember(q.Wide, id) }

// Has reports whether id is a local or a wide voter.
func (q Quorum) Has(id string) bool { return q.HasLocal(id) || q.HasWide(id) }

// Voters returns the local and wide voters without duplicates.
func (q Quorum) Voters() []Member {
	out := slices.Clone(q.Local)
	for _, m := range q.Wide {
		if !hasMember(q.Local, m.ID) {
			out = append(out, m)
		}
	}
	return out
}

func hasMember(list []Member, id string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
}

// Service returns the named service, or nil if there is none.
func (c *Cell) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// EnsureService returns the named service and adds it if it is missing.
func (c *Cell) EnsureService(name string) *Service {
	if s := c.Service(name); s != nil {
		return s
	}
	c.Services = append(c.Services, Service{Name: name})
	return &c.Services[len(c.Services)-1]
}

// Upstream returns the upstream with the given ID, or nil if there is none.
func (c *Cell) Upstream(id string) *Upstream {
	for i := range c.Upstreams {
		if c.Upstreams[i].ID == id {
			return &c.Upstreams[i]
		}
	}
	return nil
}

// UpstreamsOf returns the upstreams of a service in the given state.
func (c *Cell) UpstreamsOf(service string, state UpstreamState) []Upstream {
	var out []Upstream
	for _, u := range c.Upstreams {
		if u.Service == service && u.State == state {
			out = append(out, u)
		}
	}
	return out
}

// Find returns the index of the range that contains h, or -1 if there is none.
func (s *Service) Find(h keyspace.Hash) int {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= h })
	if i == len(s.Ranges) || !s.Ranges[i].Contains(h) {
		return -1
	}
	return i
}

// SplitAround splits the ranges that cross an end of span, so that every range
// lies entirely inside or entirely outside of it. The parts keep the owner, phase
// and epoch of the original range.
func (s *Service) SplitAround(span keyspace.Span) {
	out := make([]Range, 0, len(s.Ranges)+2)
	for _, r := range s.Ranges {
		for _, part := range r.SplitAround(span) {
			piece := r
			piece.Span = part
			out = append(out, piece)
		}
	}
	s.Ranges = out
}

// Insert adds a range and keeps the ranges sorted.
func (s *Service) Insert(r Range) {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].First > r.First })
	s.Ranges = slices.Insert(s.Ranges, i, r)
}

// Validate returns an error for the first problem in the document, such as
// unsorted or overlapping ranges, an unknown phase, or an owner that is not an
// upstream of the service.
func (c *Cell) Validate() error {
	if c.Name == "" || c.Version == 0 || c.Fence > c.Version {
		return fmt.Errorf("cell %q: invalid name, version %d or fence %d", c.Name, c.Version, c.Fence)
	}
	for _, s := range c.Services {
		if err := c.validateService(s); err != nil {
			return fmt.Errorf("cell %s, service %s: %w", c.Name, s.Name, err)
		}
	}
	return nil
}

func (c *Cell) validateService(s Service) error {
	for i, r := range s.Ranges {
		if !r.Valid() {
			return fmt.Errorf("range %s is empty", r.Span)
		}
		if i > 0 && s.Ranges[i-1].Last >= r.First {
			return fmt.Errorf("range %s overlaps or precedes %s", r.Span, s.Ranges[i-1].Span)
		}
		switch r.Phase {
		case Owned, Releasing:
			u := c.Upstream(r.Owner)
			if u == nil || u.Service != s.Name {
				return fmt.Errorf("range %s: owner %q is not an upstream of the service", r.Span, r.Owner)
			}
		case Vacant, Exported:
		default:
			return fmt.Errorf("range %s: unknown phase %q", r.Span, r.Phase)
		}
	}
	return nil
}

// Decode parses and validates a cell document.
func Decode(data []byte) (*Cell, error) {
	var c Cell
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("decode cell document: %w", err)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &c, nil
}
