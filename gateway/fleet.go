package gateway

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/smallfloat"
)

// This file sends each gateway the number of requests that the other gateways have in flight at
// each upstream, in two bytes for each upstream with requests, and the work times, in two bytes for
// every upstream. A leader answers some hundred reports a second, each about thousands of upstreams.

const (
	// sumMaxAge is how long a sum over all reports is reused. Each gateway reports every 100 ms
	// or less often, so a new sum would hardly be more current.
	sumMaxAge = 50 * time.Millisecond
	// fleetIntervalPerUpstream, times the number of upstreams, is the minimum time between two
	// messages of this kind to one gateway. It limits the data about requests in flight to 17 KB
	// a second per gateway, however many other updates the gateway receives.
	fleetIntervalPerUpstream = 60 * time.Microsecond
	// workTimesInterval is the minimum time between two messages with work times to one gateway;
	// they change slowly. workTimesIntervalPerUpstream, times the number of upstreams, is the
	// minimum if that is longer. It limits the data about work times to 2 KB a second per gateway.
	workTimesInterval            = 2 * time.Second
	workTimesIntervalPerUpstream = time.Millisecond
	// workTimeSize is the size of an encoded work time in bytes.
	workTimeSize = 2
	// rejectionUnit is the unit in which the time since a rejection is sent, in one byte.
	rejectionUnit = 10 * time.Millisecond
)

// fleetSum is the load from all gateways together at one time.
type fleetSum struct {
	at time.Time
	// loads are the sums by upstream, byChild the loads in each child's report. Neither is
	// modified after it was built.
	loads   map[string]*syncpb.Load
	byChild map[string][]*syncpb.Load
}

// sum returns the load from this gateway, its children and all others. own is the load from this
// process.
func (c *cluster) sum(own []*syncpb.Load) *fleetSum {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.cachedSum != nil && now.Sub(c.cachedSum.at) < sumMaxAge {
		return c.cachedSum
	}
	s := &fleetSum{at: now, loads: make(map[string]*syncpb.Load), byChild: make(map[string][]*syncpb.Load, len(c.children))}
	addLoads(s.loads, own, 0)
	for node, child := range c.children {
		if now.Sub(child.lastReport) < reportExpiry {
			addLoads(s.loads, child.loads, now.Sub(child.lastReport))
			s.byChild[node] = child.loads
		}
	}
	if !c.leading {
		addLoads(s.loads, c.parentLoads, now.Sub(c.parentLoadsAt))
	}
	c.cachedSum = s
	return s
}

// claimFleetUpdate reports whether the child is due to be sent the load from other gateways,
// which is about so many upstreams, and whether work times are due as well. It records what is
// due as sent now.
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
	if now.Sub(child.workTimesSent) < max(workTimesInterval, time.Duration(upstreams)*workTimesIntervalPerUpstream) {
		return true, false
	}
	child.workTimesSent = now
	return true, true
}

// fleetEncoder encodes sums and caches the results for the latest sum and version of the
// upstreams. It is safe for concurrent use.
type fleetEncoder struct {
	mu sync.Mutex
	// sum and version are what the cached results were computed from.
	sum     *fleetSum
	version uint64
	// loaded are the upstreams with requests, in ascending order.
	loaded []loadedUpstream
	// rejected and rejectedGaps are the upstreams that lately had no room for a request, as sent.
	rejected     []byte
	rejectedGaps []uint32
	// work and slowness are nil until a message needs them.
	work, slowness []byte
}

// loadedUpstream is an upstream with requests in flight.
type loadedUpstream struct {
	// position is its index in the view.
	position int
	inFlight float64
}

// encode returns the requests in flight at the upstreams of the view, summed over all gateways
// except those covered by one child's report, with work times if wanted.
func (e *fleetEncoder) encode(sum *fleetSum, except string, v *instances.View, version uint64, workTimes map[string]worktime.Estimate, withWorkTimes bool) *syncpb.Fleet {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum != sum || e.version != version {
		e.sum, e.version = sum, version
		e.loaded = loadedUpstreams(sum, v)
		e.rejected, e.rejectedGaps = encodeRejections(sum, v)
		e.work, e.slowness = nil, nil
	}
	out := &syncpb.Fleet{InstancesVersion: version, Rejected: e.rejected, RejectedGaps: e.rejectedGaps}
	if withWorkTimes {
		e.prepareWorkTimes(v, workTimes)
		out.Work, out.Slowness = e.work, e.slowness
	}
	own := make(map[int]float64)
	for _, l := range sum.byChild[except] {
		if i, ok := v.Position(l.Instance); ok {
			own[i] += float64(l.Inflight)
		}
	}
	next := 0
	for _, u := range e.loaded {
		code := smallfloat.EncodeByte(u.inFlight - own[u.position])
		if code == 0 {
			continue
		}
		out.InFlight = append(out.InFlight, code)
		out.Gaps = append(out.Gaps, uint32(u.position-next))
		next = u.position + 1
	}
	return out
}

// loadedUpstreams returns the upstreams of the view with requests, in ascending order.
func loadedUpstreams(sum *fleetSum, v *instances.View) []loadedUpstream {
	var out []loadedUpstream
	for id, l := range sum.loads {
		if i, ok := v.Position(id); ok && l.Inflight > 0 {
			out = append(out, loadedUpstream{i, float64(l.Inflight)})
		}
	}
	slices.SortFunc(out, func(a, b loadedUpstream) int { return cmp.Compare(a.position, b.position) })
	return out
}

// encodeRejections encodes the time since rejections at the upstreams of the view. A receiver may find its
// own among them; it knows of those already.
func encodeRejections(sum *fleetSum, v *instances.View) (ages []byte, gaps []uint32) {
	var positions []int
	for id, l := range sum.loads {
		if i, ok := v.Position(id); ok && l.RejectedMs > 0 {
			positions = append(positions, i)
		}
	}
	slices.Sort(positions)
	next := 0
	for _, i := range positions {
		age := time.Duration(sum.loads[v.At(i).ID].RejectedMs) * time.Millisecond
		ages = append(ages, byte(min(age/rejectionUnit, math.MaxUint8)))
		gaps = append(gaps, uint32(i-next))
		next = i + 1
	}
	return ages, gaps
}

// addRejections adds the rejections in a message to the loads in it, and returns false if they do not
// fit the view.
func addRejections(loads []*syncpb.Load, m *syncpb.Fleet, known *instances.View) ([]*syncpb.Load, bool) {
	if len(m.Rejected) != len(m.RejectedGaps) {
		return nil, false
	}
	next := 0
	for i, code := range m.Rejected {
		if m.RejectedGaps[i] > uint32(known.Len()) {
			return nil, false
		}
		next += int(m.RejectedGaps[i])
		if next >= known.Len() {
			return nil, false
		}
		inst := known.At(next)
		loads = append(loads, &syncpb.Load{
			Instance: inst.ID, Incarnation: uint32(inst.Incarnation()),
			RejectedMs: max(milliseconds(time.Duration(code)*rejectionUnit), 1),
		})
		next++
	}
	return loads, true
}

// prepareWorkTimes encodes the work times of all upstreams of the view. The lock is held.
func (e *fleetEncoder) prepareWorkTimes(v *instances.View, workTimes map[string]worktime.Estimate) {
	if e.work != nil {
		return
	}
	n := v.Len()
	e.work = make([]byte, workTimeSize*n)
	for i := range n {
		estimate, known := workTimes[v.At(i).ID]
		if !known {
			continue
		}
		binary.BigEndian.PutUint16(e.work[workTimeSize*i:], smallfloat.EncodeWord(estimate.Work.Seconds()))
		e.setSlowness(i, n, estimate)
	}
}

// setSlowness stores the slowness of the upstream at index i if it is known and differs from 1;
// of is the number of upstreams.
func (e *fleetEncoder) setSlowness(i, of int, estimate worktime.Estimate) {
	if estimate.Work == 0 || estimate.Slowness == 1 {
		return
	}
	if e.slowness == nil {
		e.slowness = make([]byte, of)
	}
	e.slowness[i] = smallfloat.EncodeByte(estimate.Slowness)
}

// decodeFleet returns the loads and work times in a message. It returns false if the message is
// for a version of the upstreams that is not kept, or does not have the right size. The work
// times are nil if the message has none.
func (v *view) decodeFleet(m *syncpb.Fleet) ([]*syncpb.Load, map[string]worktime.Estimate, bool) {
	known := v.previousInstances(m.InstancesVersion)
	if known == nil {
		return nil, nil, false
	}
	n := known.Len()
	if len(m.Work) > 0 && !hasLen(m.Work, workTimeSize*n) || len(m.Slowness) > 0 && !hasLen(m.Slowness, n) {
		return nil, nil, false
	}
	loads, ok := loadsFromMessage(m, known)
	if !ok {
		return nil, nil, false
	}
	if loads, ok = addRejections(loads, m, known); !ok {
		return nil, nil, false
	}
	return loads, workTimesFromMessage(m, known), true
}

// loadsFromMessage returns the loads in a message; ok is false if it does not fit the view.
func loadsFromMessage(m *syncpb.Fleet, known *instances.View) (loads []*syncpb.Load, ok bool) {
	dense := len(m.Gaps) == 0 && hasLen(m.InFlight, known.Len())
	if !dense && len(m.Gaps) != len(m.InFlight) {
		return nil, false
	}
	next := 0
	for i, code := range m.InFlight {
		if !dense {
			if m.Gaps[i] > uint32(known.Len()) {
				return nil, false
			}
			next += int(m.Gaps[i])
		}
		if next >= known.Len() {
			return nil, false
		}
		if code > 0 {
			inst := known.At(next)
			loads = append(loads, &syncpb.Load{
				Instance: inst.ID, Incarnation: uint32(inst.Incarnation()), Inflight: float32(smallfloat.DecodeByte(code)),
			})
		}
		next++
	}
	return loads, true
}

func hasLen(b []byte, size int) bool { return len(b) == size }

// workTimesFromMessage returns the work times in a message, or nil if it has none.
func workTimesFromMessage(m *syncpb.Fleet, known *instances.View) map[string]worktime.Estimate {
	if len(m.Work) == 0 {
		return nil
	}
	workTimes := make(map[string]worktime.Estimate)
	for i := range known.Len() {
		work := smallfloat.DecodeWord(binary.BigEndian.Uint16(m.Work[workTimeSize*i:]))
		if work == 0 {
			continue
		}
		estimate := worktime.Estimate{Work: time.Duration(work * float64(time.Second)), Slowness: 1}
		if len(m.Slowness) > 0 && m.Slowness[i] > 0 {
			estimate.Slowness = smallfloat.DecodeByte(m.Slowness[i])
		}
		workTimes[known.At(i).ID] = estimate
	}
	return workTimes
}
