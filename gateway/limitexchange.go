package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/limits"
)

// This file exchanges between gateways the limits that upstreams announce, and sums the demand for
// these upstreams over all gateways. With hundreds of gateways, one may see a response of an
// upstream only every few seconds.

// maxLimits bounds the limits accepted from one message.
const maxLimits = 4096

// encode returns the known limits as messages. demand returns how many requests a second would go
// to an upstream.
func (n *namedLimits) encode(demand func(upstream string) float64) []*syncpb.NamedLimit {
	list := n.list()
	out := make([]*syncpb.NamedLimit, 0, len(list))
	for _, l := range list {
		out = append(out, &syncpb.NamedLimit{
			Upstream: l.Upstream, Incarnation: uint32(l.Incarnation), PerSecond: float32(l.PerSecond), Ended: l.Ended,
			AgeMs: milliseconds(n.now().Sub(l.ReceivedAt)), Wanted: float32(demand(l.Upstream)),
		})
	}
	return out
}

// recordFromGateway records the limits that another gateway reports.
func (n *namedLimits) recordFromGateway(list []*syncpb.NamedLimit) {
	if len(list) > 0 {
		n.record(limitFromGateway, n.decode(list)...)
	}
}

func (n *namedLimits) decode(list []*syncpb.NamedLimit) []limits.Limit {
	now := n.now()
	out := make([]limits.Limit, 0, len(list))
	for _, m := range list {
		out = append(out, limits.Limit{
			Upstream: m.Upstream, Incarnation: instances.Incarnation(m.Incarnation), PerSecond: float64(m.PerSecond), Ended: m.Ended,
			ReceivedAt: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		})
	}
	return out
}

// hasNewerThan reports whether this gateway knows of limits, or of ends of limits, that are newer
// than those in list.
func (n *namedLimits) hasNewerThan(list []*syncpb.NamedLimit) bool {
	known := n.list()
	if len(known) == 0 {
		return false
	}
	theirs := limits.NewRegistry()
	for _, l := range n.decode(list) {
		theirs.Update(l)
	}
	for _, l := range known {
		if theirs.Update(l) {
			return true
		}
	}
	return false
}

// inForce returns the limits in force, each with the demand at the other gateways. A demand that
// is not known is -1.
func (n *namedLimits) inForce(elsewhere func(upstream string) (demand float64, known bool)) map[string]dispatch.Limit {
	v := n.view.inst.Load()
	if v == nil {
		return nil
	}
	out := make(map[string]dispatch.Limit)
	for _, l := range n.list() {
		inst := v.Get(l.Upstream)
		if inst == nil || l.Ended || l.Incarnation.DiffersFrom(inst.Incarnation()) {
			continue
		}
		demand, known := elsewhere(l.Upstream)
		if !known {
			demand = -1
		}
		out[l.Upstream] = dispatch.Limit{PerSecond: l.PerSecond, OthersDemand: demand}
	}
	return out
}

// validLimits returns the limits of another gateway's message without the invalid ones, which it
// counts and logs.
func (v *peerValidator) validLimits(source string, list []*syncpb.NamedLimit) []*syncpb.NamedLimit {
	out := make([]*syncpb.NamedLimit, 0, min(len(list), maxLimits))
	for _, m := range list[:min(len(list), maxLimits)] {
		if m.Upstream == "" || !validRate(m.PerSecond) || !validRate(m.Wanted) {
			v.recordInvalid(source, m.Upstream, errInvalidNumber)
			continue
		}
		out = append(out, m)
	}
	return out
}

// maxRate is the highest rate accepted from other gateways, in requests a second.
const maxRate = 1 << 20

func validRate(n float32) bool { return n >= 0 && n <= maxRate }

// limitedDemandExcept returns how many requests a second would go to the upstream from all gateways
// except the given one and those that report through it. own is the demand of this process by
// upstream. known is false while the parent has not reported its part.
func (c *cluster) limitedDemandExcept(except string, own map[string]float64, upstream string) (demand float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if except != c.self.Node {
		demand += own[upstream]
	}
	for node, reporter := range c.children {
		if node != except && c.now().Sub(reporter.lastReport) < reportExpiry {
			demand += reporter.limitedDemand[upstream]
		}
	}
	if c.leading {
		return demand, true
	}
	above, known := c.parentLimitedDemand[upstream]
	return demand + above, known
}

// limitedDemandElsewhere returns limitedDemandExcept for this gateway.
func (c *cluster) limitedDemandElsewhere(upstream string) (demand float64, known bool) {
	return c.limitedDemandExcept(c.self.Node, nil, upstream)
}

// subtreeLimitedDemand returns how many requests a second would go to the upstream from this
// gateway and those that report to it.
func (c *cluster) subtreeLimitedDemand(own map[string]float64, upstream string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := own[upstream]
	for _, reporter := range c.children {
		if c.now().Sub(reporter.lastReport) < reportExpiry {
			demand += reporter.limitedDemand[upstream]
		}
	}
	return demand
}

// setParentLimitedDemand stores the demand at the other gateways as received from the parent. The last
// values are kept while none arrive, so that a gateway that is cut off goes on with its former
// share of a limit.
func (c *cluster) setParentLimitedDemand(list []*syncpb.NamedLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentLimitedDemand = decodeLimitedDemand(list)
}

func decodeLimitedDemand(list []*syncpb.NamedLimit) map[string]float64 {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]float64, len(list))
	for _, m := range list {
		out[m.Upstream] = float64(m.Wanted)
	}
	return out
}
