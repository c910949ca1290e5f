// Package cell holds the versioned documents that say who owns what: the cell
// document with the ranges, upstreams and voters of one unit of authority, and
// the directory that maps the hash space of a service to cells.
//
// Documents are immutable once published: a writer clones, changes the clone
// and stores it by a conditional update.
package cell

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Phase is the state of one range within its cell.
type Phase string

// The phases of a range.
const (
	// Owned: Owner holds the grant of Epoch and receives requests.
	Owned Phase = "owned"
	// Releasing: Owner is giving the range up; nobody receives requests.
	// Next, when set, takes it at Epoch+1.
	Releasing Phase = "releasing"
	// Vacant: nobody holds the range.
	Vacant Phase = "vacant"
	// Exported: the range was given up in favour of NextCell at Epoch.
	Exported Phase = "exported"
)

// Range is a span of the hash space with one owner.
type Range struct {
	keyspace.Span
	// Epoch is the fencing token of the current grant. It only rises.
	Epoch uint64 `json:"epoch"`
	Phase Phase  `json:"phase"`
	// Owner is the upstream that holds or last held the range.
	Owner string `json:"owner,omitempty"`
	// Next is the upstream that takes the range once it is released.
	Next string `json:"next,omitempty"`
	// NextCell is the cell that takes the range once it is released.
	NextCell string `json:"next_cell,omitempty"`
	// Intent names the intent that caused the hand-over, if any.
	Intent string `json:"intent,omitempty"`
}

// UpstreamState is the administrative state of an upstream.
type UpstreamState string

// The states of an upstream.
const (
	// Active upstreams may own ranges.
	Active UpstreamState = "active"
	// Draining upstreams give up their ranges and get no new ones.
	Draining UpstreamState = "draining"
	// Lost upstreams were given up after they stopped answering.
	Lost UpstreamState = "lost"
)

// Upstream is a server that owns keys.
type Upstream struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	State   UpstreamState `json:"state"`
	// Boot identifies the process that holds the grants. A changed boot
	// means that earlier grants are gone.
	Boot string `json:"boot,omitempty"`
}

// Member is an entry process of the cell or a witness in another cell. ID
// contains the incarnation, so a restarted process is a new member.
type Member struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Cell   string `json:"cell"`
	// Peer is the address for messages and forwarded requests between entries.
	Peer string `json:"peer"`
}

// Quorum names the voters whose promises let an entry send: a strict majority
// of Local or a strict majority of Wide suffices.
type Quorum struct {
	Local []Member `json:"local"`
	Wide  []Member `json:"wide,omitempty"`
}

// Service lists the ranges of one service in the cell, ordered and disjoint.
type Service struct {
	Name   string  `json:"name"`
	Ranges []Range `json:"ranges"`
}

// Cell is the document of one unit of authority.
type Cell struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Version rises by one with each write.
	Version uint64 `json:"version"`
	// Fence is the version of the last write that took a range or a vote
	// away. Entries that know only older versions must not send.
	Fence uint64 `json:"fence"`
	// WriteID identifies the write, so that a writer whose answer was lost
	// recognizes it.
	WriteID string `json:"write_id"`
	Quorum  Quorum `json:"quorum"`
	// Previous lists the quorums of versions that may still be in use because
	// a fence after them is not known to be settled.
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

// HasLocal reports whether id is a voter of the cell itself.
func (q Quorum) HasLocal(id string) bool { return hasMember(q.Local, id) }

// HasWide reports whether id is one of the voters of the wide set.
func (q Quorum) HasWide(id string) bool { return hasMember(q.Wide, id) }

// Has reports whether id is a voter of either set.
func (q Quorum) Has(id string) bool { return q.HasLocal(id) || q.HasWide(id) }

// Voters returns the members of both sets, each once.
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

// Service returns the named service, or nil.
func (c *Cell) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// EnsureService returns the named service, added when it is missing.
func (c *Cell) EnsureService(name string) *Service {
	if s := c.Service(name); s != nil {
		return s
	}
	c.Services = append(c.Services, Service{Name: name})
	return &c.Services[len(c.Services)-1]
}

// Upstream returns the named upstream, or nil.
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

// Find returns the index of the range that holds h, or -1.
func (s *Service) Find(h keyspace.Hash) int {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= h })
	if i == len(s.Ranges) || !s.Ranges[i].Contains(h) {
		return -1
	}
	return i
}

// SplitAround splits ranges at the ends of span, so that every range lies either
// inside or outside of it. Parts keep owner, phase and epoch.
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

// Insert adds a range and keeps the order.
func (s *Service) Insert(r Range) {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].First > r.First })
	s.Ranges = slices.Insert(s.Ranges, i, r)
}

// Validate reports the first fault of the document: wrong order, overlap,
// unknown phase, an owner that is not an upstream of the service.
func (c *Cell) Validate() error {
	if c.Name == "" || c.Version == 0 || c.Fence > c.Version {
		return fmt.Errorf("cell %q: version %d, fence %d", c.Name, c.Version, c.Fence)
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
			return fmt.Errorf("range %s overlaps %s", r.Span, s.Ranges[i-1].Span)
		}
		switch r.Phase {
		case Owned, Releasing:
			u := c.Upstream(r.Owner)
			if u == nil || u.Service != s.Name {
				return fmt.Errorf("range %s: owner %q is no upstream of the service", r.Span, r.Owner)
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
		return nil, fmt.Errorf("cell document: %w", err)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &c, nil
}
