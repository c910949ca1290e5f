package gateway

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/smallfloat"
)

// This file tells gateways what the others have in flight, in three bytes for each upstream.
// A leader answers some hundred reports a second, each about thousands of upstreams.

const (
	// sumInterval is how long sums over all reports are used again: reports come every
	// 100 ms or more from each, so sums are hardly younger anyway.
	sumInterval = 50 * time.Millisecond
	// fleetPause is the least time between two tellings to one gateway, for each upstream: a
	// gateway is told at most 17 KB a second of requests in flight, whatever other news it has.
	fleetPause = 60 * time.Microsecond
	// worksPause is the least time between two tellings of work times: they change slowly.
	worksPause = 2 * time.Second
	// workBytes is the size of a work time.
	workBytes = 2
)

// fleetSum is what all gateways together have in flight, as of a moment.
type fleetSum struct {
	at time.Time
	// loads are the sums by upstream, parts what each child's report contributed. Neither is
	// changed any more.
	loads map[string]*syncpb.Load
	parts map[string][]*syncpb.Load
}

// sum returns what this gateway, its children and all others have in flight. own is the load
// of this process.
func (c *cluster) sum(own []*syncpb.Load) *fleetSum {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.summed != nil && now.Sub(c.summed.at) < sumInterval {
		return c.summed
	}
	s := &fleetSum{at: now, loads: make(map[string]*syncpb.Load), parts: make(map[string][]*syncpb.Load, len(c.children))}
	addLoads(s.loads, own)
	for node, one := range c.children {
		if now.Sub(one.seen) < reportExpiry {
			addLoads(s.loads, one.loads)
			s.parts[node] = one.loads
		}
	}
	if !c.leading {
		addLoads(s.loads, c.above)
	}
	c.summed = s
	return s
}

// tellFleet reports whether the child is to be told what others have at so many upstreams,
// and work times as well, and notes that it was.
func (c *cluster) tellFleet(node string, upstreams int) (fleet, works bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.children[node]
	if one == nil {
		return true, true
	}
	now := c.now()
	if now.Sub(one.told) < time.Duration(upstreams)*fleetPause {
		return false, false
	}
	one.told = now
	if now.Sub(one.toldWorks) < worksPause {
		return true, false
	}
	one.toldWorks = now
	return true, true
}

// fleetPacker packs sums for one version of the view after the other. It is safe for
// concurrent use.
type fleetPacker struct {
	mu sync.Mutex
	// sum and version are those that inFlight, packed and work were made from.
	sum      *fleetSum
	version  uint64
	inFlight []float64
	packed   []byte
	work     []byte
	slowness []byte
}

// pack returns what all but one child have in flight at the upstreams of the view, and work
// times if they are wanted.
func (f *fleetPacker) pack(sum *fleetSum, except string, v *instances.View, version uint64, works map[string]worktime.Estimate, withWorks bool) *syncpb.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sum != sum || f.version != version {
		f.prepare(sum, v, works)
		f.sum, f.version = sum, version
	}
	out := &syncpb.Fleet{InstancesVersion: version, InFlight: append([]byte(nil), f.packed...)}
	if withWorks {
		out.Work, out.Slowness = f.work, f.slowness
	}
	for _, l := range sum.parts[except] {
		if i, ok := v.Position(l.Instance); ok {
			out.InFlight[i] = smallfloat.Byte(f.inFlight[i] - float64(l.Inflight))
		}
	}
	return out
}

// prepare makes what is the same for all children. The lock is held.
func (f *fleetPacker) prepare(sum *fleetSum, v *instances.View, works map[string]worktime.Estimate) {
	ids := v.IDs()
	f.inFlight, f.packed, f.work = make([]float64, len(ids)), make([]byte, len(ids)), make([]byte, workBytes*len(ids))
	f.slowness = nil
	for i, id := range ids {
		if l := sum.loads[id]; l != nil {
			f.inFlight[i] = float64(l.Inflight)
			f.packed[i] = smallfloat.Byte(f.inFlight[i])
		}
		binary.BigEndian.PutUint16(f.work[workBytes*i:], smallfloat.Word(works[id].Work.Seconds()))
		f.setSlowness(i, len(ids), works[id])
	}
}

// setSlowness notes the slowness of one of so many upstreams, if it is known.
func (f *fleetPacker) setSlowness(i, of int, e worktime.Estimate) {
	if e.Work == 0 || e.Slowness == 1 {
		return
	}
	if f.slowness == nil {
		f.slowness = make([]byte, of)
	}
	f.slowness[i] = smallfloat.Byte(e.Slowness)
}

// takeFleet returns what a message tells, or false when it is about a version of the view
// that is not known, or is not of its size. Without work times these are nil.
func (v *view) takeFleet(m *syncpb.Fleet) ([]*syncpb.Load, map[string]worktime.Estimate, bool) {
	known := v.formerInstances(m.InstancesVersion)
	if known == nil {
		return nil, nil, false
	}
	ids := known.IDs()
	if !isOf(m.InFlight, len(ids)) || len(m.Work) > 0 && !isOf(m.Work, workBytes*len(ids)) || len(m.Slowness) > 0 && !isOf(m.Slowness, len(ids)) {
		return nil, nil, false
	}
	var loads []*syncpb.Load
	for i, id := range ids {
		if m.InFlight[i] > 0 {
			loads = append(loads, &syncpb.Load{
				Instance: id, Incarnation: uint32(known.Get(id).Incarnation()), Inflight: float32(smallfloat.FromByte(m.InFlight[i])),
			})
		}
	}
	return loads, worksOf(m, ids), true
}

func isOf(b []byte, size int) bool { return len(b) == size }

// worksOf returns the work times that a message tells, or nil.
func worksOf(m *syncpb.Fleet, ids []string) map[string]worktime.Estimate {
	if len(m.Work) == 0 {
		return nil
	}
	works := make(map[string]worktime.Estimate)
	for i, id := range ids {
		work := smallfloat.FromWord(binary.BigEndian.Uint16(m.Work[workBytes*i:]))
		if work == 0 {
			continue
		}
		one := worktime.Estimate{Work: time.Duration(work * float64(time.Second)), Slowness: 1}
		if len(m.Slowness) > 0 && m.Slowness[i] > 0 {
			one.Slowness = smallfloat.FromByte(m.Slowness[i])
		}
		works[id] = one
	}
	return works
}
