package gate

import (
	"sort"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Slot is one range as the entry routes to it, with its traffic counters.
type Slot struct {
	keyspace.Span
	Service string
	Epoch   uint64
	Phase   cell.Phase
	Owner   string

	inflight atomic.Int64
	requests atomic.Uint64
	busy     atomic.Uint64
}

// RecordRequest adds one finished request of the given duration in microseconds.
func (s *Slot) RecordRequest(micros uint64) {
	s.requests.Add(1)
	s.busy.Add(micros)
}

// TakeTraffic returns and clears the counters of finished requests.
func (s *Slot) TakeTraffic() (requests, busyMicros uint64) {
	return s.requests.Swap(0), s.busy.Swap(0)
}

// Inflight returns the number of requests being sent to the owner.
func (s *Slot) Inflight() int64 { return s.inflight.Load() }

// sameGrant reports whether r is the grant that the slot stands for.
func (s *Slot) sameGrant(r cell.Range) bool {
	return s.Span == r.Span && s.Epoch == r.Epoch && s.Owner == r.Owner
}

// serviceTable finds ranges of one service by binary search over their ends.
type serviceTable struct {
	lasts     []keyspace.Hash
	slots     []*Slot
	segLasts  []keyspace.Hash
	segCells  []string
	directory uint64
}

func (t *serviceTable) slot(h keyspace.Hash) *Slot {
	i := search(t.lasts, h)
	if i == len(t.lasts) || t.slots[i].First > h {
		return nil
	}
	return t.slots[i]
}

func (t *serviceTable) cell(h keyspace.Hash) string {
	i := search(t.segLasts, h)
	if i == len(t.segLasts) {
		return ""
	}
	return t.segCells[i]
}

// search returns the first index whose value is at least h.
func search(list []keyspace.Hash, h keyspace.Hash) int {
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

// table is the immutable routing state of one document set.
type table struct {
	version  uint64
	services map[string]*serviceTable
	// changed is closed when a newer table has replaced this one.
	changed chan struct{}
}

// build makes a table from documents and reuses the slots of unchanged grants.
func build(old *table, doc *cell.Cell, directories map[string]*cell.Directory) *table {
	t := &table{services: make(map[string]*serviceTable), changed: make(chan struct{})}
	for name, d := range directories {
		st := t.service(name)
		st.directory = d.Version
		for _, seg := range d.Segments {
			st.segLasts = append(st.segLasts, seg.Last)
			st.segCells = append(st.segCells, seg.Cell)
		}
	}
	if doc == nil {
		return t
	}
	t.version = doc.Version
	for _, s := range doc.Services {
		var before *serviceTable
		if old != nil {
			before = old.services[s.Name]
		}
		t.service(s.Name).fill(s, before)
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

func (t *serviceTable) fill(s cell.Service, before *serviceTable) {
	t.lasts = make([]keyspace.Hash, 0, len(s.Ranges))
	t.slots = make([]*Slot, 0, len(s.Ranges))
	for _, r := range s.Ranges {
		if r.Phase == cell.Exported {
			continue
		}
		t.lasts = append(t.lasts, r.Last)
		t.slots = append(t.slots, slotFor(s.Name, r, before))
	}
}

func slotFor(service string, r cell.Range, before *serviceTable) *Slot {
	if before != nil {
		if old := before.slot(r.First); old != nil && old.sameGrant(r) && old.Phase == r.Phase {
			return old
		}
	}
	return &Slot{Span: r.Span, Service: service, Epoch: r.Epoch, Phase: r.Phase, Owner: r.Owner}
}

// has reports whether the table routes to just this slot.
func (t *table) has(s *Slot) bool {
	st := t.services[s.Service]
	return st != nil && st.slot(s.First) == s
}

// slotsSorted returns all slots in order of service and span.
func (t *table) slotsSorted() []*Slot {
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
