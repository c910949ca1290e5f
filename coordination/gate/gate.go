// Package gate enforces key ownership in an entry: it routes keys, counts the requests in flight
// for each range, and admits a request to an upstream only while the entry has the right to send
// and the range is owned.
//
// Safety depends on the order of operations. Enter counts the request first and then checks that
// its table is still current. Apply replaces the table first and then waits for the counters of the
// old one. So either Enter sees the new table or Apply sees the request.
package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Gate routes and admits the requests of one entry. It is safe for concurrent use.
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
	// draining holds slots that were removed from the table with requests in flight.
	draining []*Slot
}

// New returns a gate without documents. The clock must be monotonic.
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
	g.table.Store(newTable(nil, nil, nil))
	return g
}

// Destination is the place where requests for a key are sent.
type Destination int

// The destinations of a key.
const (
	// NoDestination: the service is unknown, or no cell has authority over the key.
	NoDestination Destination = iota
	// Local: an upstream of this cell owns the key.
	Local
	// Remote: another cell has authority over the key.
	Remote
	// Pending: the key is changing its owner within this cell.
	Pending
)

// Route is the routing decision for one key.
type Route struct {
	Destination Destination
	// Slot is set if Destination is Local.
	Slot *Slot
	// Cell is set if Destination is Remote.
	Cell string

	table *table
}

// Changed returns a channel that is closed when the routing table is replaced.
func (r Route) Changed() <-chan struct{} { return r.table.changed }

// Route decides where requests for the key with hash h are sent. It does not block or allocate.
func (g *Gate) Route(service string, h keyspace.Hash) Route {
	t := g.table.Load()
	st := t.services[service]
	if st == nil {
		return Route{table: t}
	}
	if slot := st.slotAt(h); slot != nil {
		if slot.Phase == cell.Owned {
			return Route{Destination: Local, Slot: slot, table: t}
		}
		return Route{Destination: Pending, table: t}
	}
	name := st.cellAt(h)
	switch name {
	case "":
		return Route{table: t}
	case g.self.Cell:
		return Route{Destination: Pending, table: t}
	}
	return Route{Destination: Remote, Cell: name, table: t}
}

// HasService reports whether any document contains the service.
func (g *Gate) HasService(service string) bool {
	return g.table.Load().services[service] != nil
}

// EnterResult is the result of Enter.
type EnterResult int

// The results of Enter.
const (
	// Admitted: the request may be sent; Leave must be called when it has ended.
	Admitted EnterResult = iota
	// RouteChanged: the slot of the route is no longer in the current table.
	RouteChanged
	// NoRight: the entry currently has no right to send.
	NoRight
)

// Enter admits one request with a Local route. It must be called after the last blocking step
// before the request is sent.
func (g *Gate) Enter(r Route) EnterResult {
	r.Slot.inflight.Add(1)
	if g.table.Load() != r.table && !g.isCurrent(r) {
		r.Slot.inflight.Add(-1)
		return RouteChanged
	}
	if !g.MaySend() {
		r.Slot.inflight.Add(-1)
		return NoRight
	}
	return Admitted
}

// isCurrent reports whether the current table contains the slot of the route.
func (g *Gate) isCurrent(r Route) bool {
	return g.table.Load().contains(r.Slot)
}

// Leave marks the end of an admitted request.
func (g *Gate) Leave(s *Slot) { s.inflight.Add(-1) }

// MaySend reports whether the entry currently has the right to send.
func (g *Gate) MaySend() bool {
	return int64(g.clock().Sub(g.base)) < g.rightUntil.Load()
}

// RightUntil returns the time at which the right to send expires.
func (g *Gate) RightUntil() time.Time {
	return g.base.Add(time.Duration(g.rightUntil.Load()))
}

// Version returns the version of the cell document in use, or zero if there is none.
func (g *Gate) Version() uint64 { return g.table.Load().version }

// Doc returns the cell document in use, or nil. The caller must not modify it.
func (g *Gate) Doc() *cell.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.doc
}

// refresh recomputes the right to send. The caller must hold mu.
func (g *Gate) refresh(now time.Time) {
	if g.doc == nil || g.doc.Version < g.voter.Floor(g.self.Cell) {
		g.rightUntil.Store(0)
		return
	}
	g.rightUntil.Store(int64(g.holder.ValidUntil(now).Sub(g.base)))
}

// Apply installs a cell document. Documents that are not newer than the current one are ignored.
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
	g.replaceTable()
	g.refresh(now)
}

// ApplyDirectory installs a directory. Directories that are not newer than the current one are
// ignored.
func (g *Gate) ApplyDirectory(d *cell.Directory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.directories[d.Service]; known != nil && known.Version >= d.Version {
		return
	}
	g.directories[d.Service] = d
	g.replaceTable()
}

// replaceTable rebuilds the routing table and keeps track of removed slots that still have requests
// in flight.
func (g *Gate) replaceTable() {
	prev := g.table.Load()
	next := newTable(prev, g.doc, g.directories)
	g.table.Store(next)
	close(prev.changed)
	kept := g.draining[:0]
	for _, s := range g.draining {
		if s.Inflight() > 0 {
			kept = append(kept, s)
		}
	}
	g.draining = kept
	for _, st := range prev.services {
		for _, s := range st.slots {
			if s.Phase == cell.Owned && !next.contains(s) {
				g.draining = append(g.draining, s)
			}
		}
	}
}

// BusyRange is a range that the entry no longer routes to and that still has requests in flight.
type BusyRange struct {
	Service string
	keyspace.Span
}

// BusyRanges returns the ranges that this entry no longer routes to and that still have requests in
// flight. The range of a grant that was only split is not included.
func (g *Gate) BusyRanges() []BusyRange {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []BusyRange
	for _, s := range g.draining {
		if s.Inflight() > 0 && !g.stillOwned(s) {
			out = append(out, BusyRange{s.Service, s.Span})
		}
	}
	return out
}

// stillOwned reports whether the whole span of s is still owned under the same grant, in one or
// more parts.
func (g *Gate) stillOwned(s *Slot) bool {
	st := g.table.Load().services[s.Service]
	if st == nil {
		return false
	}
	for h := s.First; ; {
		part := st.slotAt(h)
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

// RaiseFence raises the fence of the named cell. If this is the cell of the gate and its document
// is older than the fence, the entry stops sending until it has a newer document.
func (g *Gate) RaiseFence(name string, floor uint64) fence.Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	ack := g.voter.Raise(now, name, floor)
	if name == g.self.Cell {
		g.refresh(now)
	}
	return ack
}

// RecordPromise records the promise of a voter in reply to a request sent at askedAt.
func (g *Gate) RecordPromise(voter string, askedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Record(voter, askedAt)
	g.refresh(g.clock())
}

// Refresh recomputes the right to send. An entry that is the only voter must call it regularly.
func (g *Gate) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(g.clock())
}

// Slots returns the document version in use and its slots, ordered by service and span.
func (g *Gate) Slots() (version uint64, slots []*Slot) {
	t := g.table.Load()
	return t.version, t.sortedSlots()
}
