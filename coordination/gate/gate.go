// Package gate is the entry's side of ownership: it routes keys, counts the
// requests in flight for each range, and lets a request pass to an upstream
// only while the entry has the right to send and the range is owned.
//
// The order of operations carries the proof. Enter counts the request first
// and then checks that its table is still the current one; Apply replaces the
// table first and then waits for the counters of the old one. So either Enter
// sees the new table or Apply sees the request.
package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Gate routes and guards the requests of one entry. It is safe for concurrent
// use.
type Gate struct {
	self   cell.Member
	clock  func() time.Time
	base   time.Time
	limits fence.Limits

	table      atomic.Pointer[table]
	rightUntil atomic.Int64

	mu          sync.Mutex
	doc         *cell.Cell
	directories map[string]*cell.Directory
	voter       *fence.Voter
	holder      *fence.Holder
	// old are slots that left the table with requests in flight.
	old []*Slot
}

// New returns a gate without documents. Clock must be monotonic.
func New(self cell.Member, limits fence.Limits, clock func() time.Time) *Gate {
	g := &Gate{
		self:        self,
		clock:       clock,
		base:        clock(),
		limits:      limits,
		directories: make(map[string]*cell.Directory),
		voter:       fence.NewVoter(self.ID, limits),
		holder:      fence.NewHolder(self.ID, limits),
	}
	g.table.Store(build(nil, nil, nil))
	return g
}

// Where says how a key is reached.
type Where int

// The ways to reach a key.
const (
	// Nowhere: no such service, or nobody is named for the key.
	Nowhere Where = iota
	// Local: an upstream of this cell owns the key.
	Local
	// Remote: another cell has authority over the key.
	Remote
	// Pending: the key is changing owner in this cell.
	Pending
)

// Route is the decision for one key.
type Route struct {
	Where Where
	// Slot is set when Where is Local.
	Slot *Slot
	// Cell is set when Where is Remote.
	Cell string

	table *table
}

// Changed returns a channel that is closed when the decision may have changed.
func (r Route) Changed() <-chan struct{} { return r.table.changed }

// Route decides how the key at h is reached. It does not block or allocate.
func (g *Gate) Route(service string, h keyspace.Hash) Route {
	t := g.table.Load()
	st := t.services[service]
	if st == nil {
		return Route{table: t}
	}
	if slot := st.slot(h); slot != nil {
		if slot.Phase == cell.Owned {
			return Route{Where: Local, Slot: slot, table: t}
		}
		return Route{Where: Pending, table: t}
	}
	name := st.cell(h)
	switch name {
	case "":
		return Route{table: t}
	case g.self.Cell:
		return Route{Where: Pending, table: t}
	}
	return Route{Where: Remote, Cell: name, table: t}
}

// Knows reports whether any document names the service.
func (g *Gate) Knows(service string) bool {
	return g.table.Load().services[service] != nil
}

// Refusal says why Enter did not let a request pass.
type Refusal int

// The refusals.
const (
	// Passed: the request may be sent; call Leave when it has ended.
	Passed Refusal = iota
	// Moved: the table changed since the route was decided.
	Moved
	// NoRight: the entry may not send at the moment.
	NoRight
)

// Enter lets one request to a Local route pass. It must be called after the
// last blocking step before the send.
func (g *Gate) Enter(r Route) Refusal {
	r.Slot.inflight.Add(1)
	if g.table.Load() != r.table && !g.stillCurrent(r) {
		r.Slot.inflight.Add(-1)
		return Moved
	}
	if !g.MaySend() {
		r.Slot.inflight.Add(-1)
		return NoRight
	}
	return Passed
}

// stillCurrent reports whether the current table has the same slot.
func (g *Gate) stillCurrent(r Route) bool {
	return g.table.Load().has(r.Slot)
}

// Leave ends a request that passed.
func (g *Gate) Leave(s *Slot) { s.inflight.Add(-1) }

// MaySend reports whether the entry has the right to send now.
func (g *Gate) MaySend() bool {
	return int64(g.clock().Sub(g.base)) < g.rightUntil.Load()
}

// RightUntil returns the time up to which the entry may send.
func (g *Gate) RightUntil() time.Time {
	return g.base.Add(time.Duration(g.rightUntil.Load()))
}

// Version returns the cell version in use, zero when none is known.
func (g *Gate) Version() uint64 { return g.table.Load().version }

// Doc returns the cell document in use, or nil. It must not be changed.
func (g *Gate) Doc() *cell.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.doc
}

// refresh recomputes the right to send. Callers hold mu.
func (g *Gate) refresh(now time.Time) {
	if g.doc == nil || g.doc.Version < g.voter.Floor(g.self.Cell) {
		g.rightUntil.Store(0)
		return
	}
	g.rightUntil.Store(int64(g.holder.ValidUntil(now).Sub(g.base)))
}

// Apply takes a cell document into use. Older documents are ignored.
func (g *Gate) Apply(doc *cell.Cell) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.doc != nil && doc.Version <= g.doc.Version {
		return
	}
	g.doc = doc
	now := g.clock()
	g.voter.Raise(now, g.self.Cell, doc.Fence)
	g.holder.SetQuorum(doc.Quorum)
	g.swap()
	g.refresh(now)
}

// Direct takes a directory into use. Older directories are ignored.
func (g *Gate) Direct(d *cell.Directory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.directories[d.Service]; known != nil && known.Version >= d.Version {
		return
	}
	g.directories[d.Service] = d
	g.swap()
}

// swap replaces the table and remembers slots that still have requests.
func (g *Gate) swap() {
	before := g.table.Load()
	next := build(before, g.doc, g.directories)
	g.table.Store(next)
	close(before.changed)
	kept := g.old[:0]
	for _, s := range g.old {
		if s.Inflight() > 0 {
			kept = append(kept, s)
		}
	}
	g.old = kept
	for _, st := range before.services {
		for _, s := range st.slots {
			if s.Phase == cell.Owned && !next.has(s) {
				g.old = append(g.old, s)
			}
		}
	}
}

// BusyRange is a range that was taken away and still has requests in flight.
type BusyRange struct {
	Service string
	keyspace.Span
}

// Busy returns the ranges that this entry no longer routes to and that still
// have requests in flight. A grant that was only split is not busy.
func (g *Gate) Busy() []BusyRange {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []BusyRange
	for _, s := range g.old {
		if s.Inflight() > 0 && !g.continues(s) {
			out = append(out, BusyRange{s.Service, s.Span})
		}
	}
	return out
}

// continues reports whether the whole span of s is still owned by the same
// grant, in one or more parts.
func (g *Gate) continues(s *Slot) bool {
	st := g.table.Load().services[s.Service]
	if st == nil {
		return false
	}
	for h := s.First; ; {
		part := st.slot(h)
		if part == nil || part.Phase != cell.Owned || part.Owner != s.Owner || part.Epoch != s.Epoch {
			return false
		}
		if part.Last >= s.Last {
			return true
		}
		h = part.Last + 1
	}
}

// Promise answers a Beat from an entry of the named cell.
func (g *Gate) Promise(name string, version uint64, guest bool) fence.Promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.voter.Promise(g.clock(), name, version, guest)
}

// Raise follows a fence of the named cell. When it is the gate's own cell and
// the document is older, the entry stops sending until it has a newer one.
func (g *Gate) Raise(name string, floor uint64) fence.Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	ack := g.voter.Raise(now, name, floor)
	if name == g.self.Cell {
		g.refresh(now)
	}
	return ack
}

// Promised notes the promise of a voter to a question asked at askedAt.
func (g *Gate) Promised(voter string, askedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Record(voter, askedAt)
	g.refresh(g.clock())
}

// Refresh recomputes the right to send; a sole voter needs it regularly.
func (g *Gate) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(g.clock())
}

// Slots returns the version in use and its ranges, in order.
func (g *Gate) Slots() (version uint64, slots []*Slot) {
	t := g.table.Load()
	return t.version, t.slotsSorted()
}
