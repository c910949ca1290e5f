package gate

import (
	"sort"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Slot is one range as the entry routes it, with its traffic counters.
type Slot struct {
	keyspace.Span
	Service string
	Epoch   uint64
	Phase   cell.Phase
	Owner   string

	inflight   atomic.Int64
	requests   atomic.Uint64
	busyMicros atomic.Uint64
}

// RecordRequest counts a finished request that took the given time.
func (s *Slot) RecordRequest(micros uint64) {
	s.requests.Add(1)
	s.busyMicros.Add(micros)
}

// TakeTraffic returns and resets the counters of finished requests.
func (s *Slot) TakeTraffic() (requests, busyMicros uint64) {
	return s.requests.Swap(0), s.busyMicros.Swap(0)
}

// Inflight returns the number of requests in flight to the owner.
func (s *Slot) Inflight() int64 { return s.inflight.Load() }

// sameGrant reports whether the slot was created for the grant r.
func (s *Slot) sameGrant(r cell.Range) bool {
	return s.Span == r.Span && s.Epoch == r.Epoch && s.Owner == r.Owner
}

// serviceTable finds the ranges and segments of one service by binary search over their last
// hashes.
type serviceTable struct {
	rangeEnds    []keyspace.Hash
	slots        []*Slot
	segmentEnds  []keyspace.Hash
	segmentCells []string
	directory    uint64
}

func (t *serviceTable) slotAt(h keyspace.Hash) *Slot {
	i := lowerBound(t.rangeEnds, h)
	if i == len(t.rangeEnds) || t.slots[i].First > h {
		return nil
	}
	return t.slots[i]
}

func (t *serviceTable) cellAt(h keyspace.Hash) string {
	i := lowerBound(t.segmentEnds, h)
	if i == len(t.segmentEnds) {
		return ""
	}
	return t.segmentCells[i]
}

// lowerBound returns the first index whose value is at least h.
func lowerBound(list []keyspace.Hash, h keyspace.Hash) int {
	lo, hi := 0, len(list)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if list[mid] < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// table is the immutable routing state built from one set of documents.
type table struct {
	version  uint64
	services map[string]*serviceTable
	// changed is closed when a newer table has replaced this one.
	changed chan struct{}
}

// newTable builds a table from documents and reuses the slots of unchanged grants.
func newTable(old *table, doc *cell.Cell, directories map[string]*cell.Directory) *table {
	t := &table{services: make(map[string]*serviceTable), changed: make(chan struct{})}
	for name, d := range directories {
		st := t.service(name)
		st.directory = d.Version
		for _, seg := range d.Segments {
			st.segmentEnds = append(st.segmentEnds, seg.Last)
			st.segmentCells = append(st.segmentCells, seg.Cell)
		}
	}
	if doc == nil {
		return t
	}
	t.version = doc.Version
	for _, s := range doc.Services {
		var prev *serviceTable
		if old != nil {
			prev = old.services[s.Name]
		}
		t.service(s.Name).fill(s, prev)
	}
	return t
}

func (t *table) service(name string) *serviceTable {
	st := t.services[name]
	if st == nil {
		st = &serviceTable{}
		t.services[name] = st
	}
	return st
}

func (t *serviceTable) fill(s cell.Service, prev *serviceTable) {
	t.rangeEnds = make([]keyspace.Hash, 0, len(s.Ranges))
	t.slots = make([]*Slot, 0, len(s.Ranges))
	for _, r := range s.Ranges {
		if r.Phase == cell.Exported {
			continue
		}
		t.rangeEnds = append(t.rangeEnds, r.Last)
		t.slots = append(t.slots, slotFor(s.Name, r, prev))
	}
}

func slotFor(service string, r cell.Range, prev *serviceTable) *Slot {
	if prev != nil {
		if old := prev.slotAt(r.First); old != nil && old.sameGrant(r) && old.Phase == r.Phase {
			return old
		}
	}
	return &Slot{Span: r.Span, Service: service, Epoch: r.Epoch, Phase: r.Phase, Owner: r.Owner}
}

// contains reports whether the table routes to this very slot.
func (t *table) contains(s *Slot) bool {
	st := t.services[s.Service]
	return st != nil && st.slotAt(s.First) == s
}

// sortedSlots returns all slots, ordered by service and span.
func (t *table) sortedSlots() []*Slot {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	var out []*Slot
	for _, name := range names {
		out = append(out, t.services[name].slots...)
	}
	return out
}
