package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/limits"
)

// This file models upstreams in need, which name with their answers how many requests a second
// they take from all gateways together.

const (
	// limitWindow is the time over which arrivals are counted against the limit, limitSettles the
	// time after it was first named from which they are; limitSlack and limitExtra are how many
	// times the limit, and how many requests more, may come.
	limitWindow        = 4 * time.Second
	limitSettleTime    = 3 * time.Second
	limitTolerance     = 1.5
	limitExtraRequests = 5
	// limitedFrom is the time over which an upstream counts what it gets when it names a limit.
	limitRateWindow = time.Second
)

// need is what an upstream in need names.
type namedLimit struct {
	perSecond float64
	since     time.Duration
}

// inNeed lets the upstream name a part of what it gets as its limit for a while.
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

// noteArrival counts a request, and whether it is one too many for the limit. What came just
// before the limit was named counts: it is in the queue.
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

// named is the limit that the upstream names now.
func (u *upstream) currentLimit() (perSecond float64, ok bool) {
	if u.limit == nil {
		return 0, false
	}
	return u.limit.perSecond, true
}

// hears lets a gateway hear from an answer to a request that was sent at a time what the
// upstream's limit is.
func (g *gateway) recordLimit(u *upstream, sent time.Time, perSecond float64, named bool) {
	changed := false
	if named {
		changed = g.limits.Note(limits.Limit{Upstream: u.instance.ID, PerSecond: perSecond, At: g.sim.now()})
	} else {
		changed = g.limits.Unnamed(u.instance.ID, 0, sent, g.sim.now())
	}
	if changed {
		g.applyLimits()
		g.sim.controller.updateLimits(g.index, g.limits.List())
	}
}

// hears takes what one gateway knows of limits over, and tells all others if it is news.
func (c *controller) updateLimits(from int, list []limits.Limit) {
	c.sim.after(c.sim.hopDelay(), func() {
		changed := false
		for _, l := range list {
			changed = c.limits.Note(l) || changed
		}
		if changed {
			c.sim.after(c.sim.hopDelay(), func() { c.sim.policy.limitsChanged(c.limits.List(), from) })
		}
	})
}

// limited brings news of limits to all gateways but the one that they are from.
func (p *product) limitsChanged(list []limits.Limit, from int) {
	for i, g := range p.gateways {
		if i == from {
			continue
		}
		for _, l := range list {
			g.limits.Note(l)
		}
		g.applyLimits()
	}
}

// setLimits lets what the gateway knows of limits take effect.
func (g *gateway) applyLimits() {
	for _, name := range g.serviceNames {
		g.dispatch[name].SetLimits(g.sim.now(), g.activeLimits())
	}
}

// limitNews returns the limits in force, and what the other gateways are asked for as it was told
// last.
func (g *gateway) activeLimits() map[string]dispatch.Limit {
	out := make(map[string]dispatch.Limit)
	for _, l := range g.limits.List() {
		if l.Ended {
			continue
		}
		wanted, known := g.otherLimitedDemand[l.Upstream]
		if !known {
			wanted = -1
		}
		out[l.Upstream] = dispatch.Limit{PerSecond: l.PerSecond, OthersDemand: wanted}
	}
	return out
}

// wantedBut returns what all gateways but one are asked for that upstreams with a limit would
// get.
func (c *controller) otherLimitedDemand(g int) map[string]float64 {
	out := make(map[string]float64)
	for _, l := range c.limits.List() {
		out[l.Upstream] = 0
	}
	for other, wanted := range c.limitedDemand {
		if other == g {
			continue
		}
		for id, rate := range wanted {
			out[id] += rate
		}
	}
	return out
}

// limitedShare names Share of the upstreams of the trouble's service as in need.
func (sim *simulation) startNamedLimits(t *Disturbance) {
	rng := rand.New(rand.NewPCG(uint64(t.Start), uint64(len(sim.allUpstreams))))
	all := sim.upstreams[t.Service]
	for _, i := range rng.Perm(len(all))[:int(t.Share*float64(len(all)))] {
		all[i].nameLimit(t.Factor, t.Duration.D())
	}
}
