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
	sumMaxAge = 50 * time.Millisecond
	// fleetPause is the least time between two tellings to one gateway, for each upstream: a
	// gateway is told at most 17 KB a second of requests in flight, whatever other news it has.
	fleetIntervalPerUpstream = 60 * time.Microsecond
	// worksPause is the least time between two tellings of work times: they change slowly.
	workTimesInterval = 2 * time.Second
	// workBytes is the size of a work time.
	workTimeSize = 2
)

// fleetSum is what all gateways together have in flight, as of a moment.
type fleetSum struct {
	at time.Time
	// loads are the sums by upstream, parts what each child's report contributed. Neither is
	// changed any more.
	loads   map[string]*syncpb.Load
	byChild map[string][]*syncpb.Load
}

// sum returns what this gateway, its children and all others have in flight. own is the load
// of this process.
func (c *cluster) sum(own []*syncpb.Load) *fleetSum {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.cachedSum != nil && now.Sub(c.cachedSum.at) < sumMaxAge {
		return c.cachedSum
	}
	s := &fleetSum{at: now, loads: make(map[string]*syncpb.Load), byChild: make(map[string][]*syncpb.Load, len(c.children))}
	addLoads(s.loads, own)
	for node, child := range c.children {
		if now.Sub(child.lastReport) < reportExpiry {
			addLoads(s.loads, child.loads)
			s.byChild[node] = child.loads
		}
	}
	if !c.leading {
		addLoads(s.loads, c.parentLoads)
	}
	c.cachedSum = s
	return s
}

// tellFleet reports whether the child is to be told what others have at so many upstreams,
// and work times as well, and notes that it was.
func (c *cluster) claimFleetUpdate(node string, upstreams int) (due, withWorkTimes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	child := c.children[node]
	if child == nil {
		return true, true
	}
	now := c.now()
	if now.Sub(child.fleetSent) < time.Duration(upstreams)*fleetIntervalPerUpstream {
		return false, false
	}
	child.fleetSent = now
	if now.Sub(child.workTimesSent) < workTimesInterval {
		return true, false
	}
	child.workTimesSent = now
	return true, true
}

// fleetPacker packs sums for one version of the view after the other. It is safe for
// concurrent use.
type fleetEncoder struct {
	mu sync.Mutex
	// sum and version are those that inFlight, packed and work were made from.
	sum      *fleetSum
	version  uint64
	inFlight []float64
	encoded  []byte
	work     []byte
	slowness []byte
}

// pack returns what all but one child have in flight at the upstreams of the view, and work
// times if they are wanted.
func (e *fleetEncoder) encode(sum *fleetSum, except string, v *instances.View, version uint64, workTimes map[string]worktime.Estimate, withWorkTimes bool) *syncpb.Fleet {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum != sum || e.version != version {
		e.prepare(sum, v, workTimes)
		e.sum, e.version = sum, version
	}
	out := &syncpb.Fleet{InstancesVersion: version, InFlight: append([]byte(nil), e.encoded...)}
	if withWorkTimes {
		out.Work, out.Slowness = e.work, e.slowness
	}
	for _, l := range sum.byChild[except] {
		if i, ok := v.Position(l.Instance); ok {
			out.InFlight[i] = smallfloat.Byte(e.inFlight[i] - float64(l.Inflight))
		}
	}
	return out
}

// prepare makes what is the same for all children. The lock is held.
func (e *fleetEncoder) prepare(sum *fleetSum, v *instances.View, workTimes map[string]worktime.Estimate) {
	ids := v.IDs()
	e.inFlight, e.encoded, e.work = make([]float64, len(ids)), make([]byte, len(ids)), make([]byte, workTimeSize*len(ids))
	e.slowness = nil
	for i, id := range ids {
		if l := sum.loads[id]; l != nil {
			e.inFlight[i] = float64(l.Inflight)
			e.encoded[i] = smallfloat.Byte(e.inFlight[i])
		}
		binary.BigEndian.PutUint16(e.work[workTimeSize*i:], smallfloat.Word(workTimes[id].Work.Seconds()))
		e.setSlowness(i, len(ids), workTimes[id])
	}
}

// setSlowness notes the slowness of one of so many upstreams, if it is known.
func (e *fleetEncoder) setSlowness(i, of int, estimate worktime.Estimate) {
	if estimate.Work == 0 || estimate.Slowness == 1 {
		return
	}
	if e.slowness == nil {
		e.slowness = make([]byte, of)
	}
	e.slowness[i] = smallfloat.Byte(estimate.Slowness)
}

// takeFleet returns what a message tells, or false when it is about a version of the view
// that is not known, or is not of its size. Without work times these are nil.
func (v *view) decodeFleet(m *syncpb.Fleet) ([]*syncpb.Load, map[string]worktime.Estimate, bool) {
	known := v.previousInstances(m.InstancesVersion)
	if known == nil {
		return nil, nil, false
	}
	ids := known.IDs()
	if !hasLen(m.InFlight, len(ids)) || len(m.Work) > 0 && !hasLen(m.Work, workTimeSize*len(ids)) || len(m.Slowness) > 0 && !hasLen(m.Slowness, len(ids)) {
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
	return loads, workTimesFromMessage(m, ids), true
}

func hasLen(b []byte, size int) bool { return len(b) == size }

// worksOf returns the work times that a message tells, or nil.
func workTimesFromMessage(m *syncpb.Fleet, ids []string) map[string]worktime.Estimate {
	if len(m.Work) == 0 {
		return nil
	}
	workTimes := make(map[string]worktime.Estimate)
	for i, id := range ids {
		work := smallfloat.FromWord(binary.BigEndian.Uint16(m.Work[workTimeSize*i:]))
		if work == 0 {
			continue
		}
		one := worktime.Estimate{Work: time.Duration(work * float64(time.Second)), Slowness: 1}
		if len(m.Slowness) > 0 && m.Slowness[i] > 0 {
			one.Slowness = smallfloat.FromByte(m.Slowness[i])
		}
		workTimes[id] = one
	}
	return workTimes
}
