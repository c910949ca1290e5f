package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/limits"
)

// This file models upstreams that name a rate limit in their responses: the requests per second
// that they accept from all gateways together.

const (
	// limitWindow is the time over which arrivals are compared with the limit. The comparison
	// starts limitSettleTime after the limit was first named. Up to limitTolerance times the limit
	// plus limitExtraRequests may arrive.
	limitWindow        = 4 * time.Second
	limitSettleTime    = 3 * time.Second
	limitTolerance     = 1.5
	limitExtraRequests = 5
	// limitRateWindow is the time over which an upstream measures its request rate when it names a
	// limit.
	limitRateWindow = time.Second
)

// namedLimit is the rate limit that an upstream names.
type namedLimit struct {
	perSecond float64
	since     time.Duration
}

// nameLimit makes the upstream name a share of its current request rate as its limit for a while.
func (u *upstream) nameLimit(share float64, length time.Duration) {
	received := 0
	for _, at := range u.arrivals {
		if u.sim.elapsed-at < limitRateWindow {
			received++
		}
	}
	u.limit = &namedLimit{perSecond: max(1, share*float64(received)/limitRateWindow.Seconds()), since: u.sim.elapsed}
	u.sim.after(length, func() { u.limit = nil })
}

// recordArrival records a request and updates the peak load relative to the limit. Requests that
// arrived shortly before the limit was named count, because they are still queued.
func (u *upstream) recordArrival() {
	u.arrivals = append(slices.DeleteFunc(u.arrivals, func(at time.Duration) bool { return u.sim.elapsed-at >= limitWindow }), u.sim.elapsed)
	if u.limit == nil || u.sim.elapsed-u.limit.since < limitSettleTime {
		return
	}
	allowed := limitTolerance*u.limit.perSecond*limitWindow.Seconds() + limitExtraRequests
	if over := float64(len(u.arrivals)) / allowed; over > u.sim.tally.peakOverLimit {
		u.sim.tally.peakOverLimit = over
	}
}

// currentLimit returns the limit that the upstream names now, if any.
func (u *upstream) currentLimit() (perSecond float64, ok bool) {
	if u.limit == nil {
		return 0, false
	}
	return u.limit.perSecond, true
}

// recordLimit records the limit that an upstream named, or did not name, in its response to a request
// sent at the given time.
func (g *gateway) recordLimit(u *upstream, sent time.Time, perSecond float64, named bool) {
	changed := false
	if named {
		changed = g.limits.Update(limits.Limit{Upstream: u.instance.ID, PerSecond: perSecond, ReceivedAt: g.sim.now()})
	} else {
		changed = g.limits.RecordAbsent(u.instance.ID, 0, sent, g.sim.now())
	}
	if changed {
		g.applyLimits()
		g.sim.controller.updateLimits(g.index, g.limits.List())
	}
}

// updateLimits merges the limits known to one gateway and forwards them to all others if anything
// changed.
func (c *controller) updateLimits(from int, list []limits.Limit) {
	c.sim.after(c.sim.hopDelay(), func() {
		changed := false
		for _, l := range list {
			changed = c.limits.Update(l) || changed
		}
		if changed {
			c.sim.after(c.sim.hopDelay(), func() { c.sim.policy.limitsChanged(c.limits.List(), from) })
		}
	})
}

// limitsChanged passes changed limits to all gateways except the one that reported them.
func (p *product) limitsChanged(list []limits.Limit, from int) {
	for i, g := range p.gateways {
		if i == from {
			continue
		}
		for _, l := range list {
			g.limits.Update(l)
		}
		g.applyLimits()
	}
}

// applyLimits applies the known limits to the dispatchers of the gateway.
func (g *gateway) applyLimits() {
	for _, name := range g.serviceNames {
		g.dispatch[name].SetLimits(g.sim.now(), g.activeLimits())
	}
}

// activeLimits returns the limits in force, each with the last known demand of the other gateways;
// -1 if that is unknown.
func (g *gateway) activeLimits() map[string]dispatch.Limit {
	out := make(map[string]dispatch.Limit)
	for _, l := range g.limits.List() {
		if l.Ended {
			continue
		}
		demand, known := g.otherLimitedDemand[l.Upstream]
		if !known {
			demand = -1
		}
		out[l.Upstream] = dispatch.Limit{PerSecond: l.PerSecond, OthersDemand: demand}
	}
	return out
}

// otherLimitedDemand returns the request rate that all gateways except one would send to each
// upstream with a limit.
func (c *controller) otherLimitedDemand(g int) map[string]float64 {
	out := make(map[string]float64)
	for _, l := range c.limits.List() {
		out[l.Upstream] = 0
	}
	for other, demand := range c.limitedDemand {
		if other == g {
			continue
		}
		for id, rate := range demand {
			out[id] += rate
		}
	}
	return out
}

// startNamedLimits makes the given share of the upstreams of a service name a limit.
func (sim *simulation) startNamedLimits(d *Disturbance) {
	rng := rand.New(rand.NewPCG(uint64(d.Start), uint64(len(sim.allUpstreams))))
	all := sim.upstreams[d.Service]
	for _, i := range rng.Perm(len(all))[:int(d.Share*float64(len(all)))] {
		all[i].nameLimit(d.Factor, d.Duration.D())
	}
}
