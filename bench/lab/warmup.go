package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/warmup"
)

// This file models upstreams that warm up: they are slow, and break under more than a few
// requests a second.

// fallenFor is how long an upstream that broke is away before it starts again.
const fallenFor = 2 * time.Second

func (u *upstream) warming() bool { return u.sim.elapsed < u.warmUntil }

// start lets the upstream serve again, as another start of it that warms up.
func (u *upstream) start() {
	u.back()
	u.one.BornMs++
	u.warmUntil = u.sim.elapsed + u.service.WarmUp.D()
	u.lately = nil
	u.enter(u.service.WarmUp.D())
	u.sim.after(u.service.WarmUp.D(), func() {
		if !u.warming() && !u.gone {
			u.enter(0)
		}
	})
}

// enter writes the upstream's entry, which says how much longer it warms up.
func (u *upstream) enter(left time.Duration) {
	u.one.Revision++
	u.one.WarmUp = left
	u.sim.after(u.sim.hopDelay(), func() { u.sim.policy.changed(u.service) })
}

// breaks notes a request to an upstream that warms up, and reports whether it is one too
// many: then the upstream falls, and starts again later.
func (u *upstream) breaks() bool {
	if !u.warming() || u.service.MaxWarmUpRate == 0 {
		return false
	}
	u.lately = append(slices.DeleteFunc(u.lately, func(at time.Duration) bool { return u.sim.elapsed-at >= time.Second }), u.sim.elapsed)
	if len(u.lately) <= u.service.MaxWarmUpRate {
		return false
	}
	u.sim.tally.fell++
	u.lose(true)
	u.sim.after(fallenFor, u.start)
	return true
}

// coldReturn lets the upstreams of a failure domain end, and start again together.
func (sim *simulation) coldRestart(t *Disturbance) {
	for _, u := range sim.upstreams[t.Service] {
		if u.one.Domain != domainName(t.Count) {
			continue
		}
		u.lose(true)
		sim.after(lapse, func() { sim.policy.changed(u.service) })
		sim.after(t.Duration.D(), u.start)
	}
}

func gatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// rights names the gateways that may send to upstreams that warm up, and returns until when
// the one of the number may.
func (c *controller) rights(gateway int) map[string]time.Time {
	var warming []warmup.Upstream
	for _, u := range c.sim.allUpstreams {
		if u.warming() && !u.gone && u.service.WarmUpRateLimit > 0 && !u.service.Keyed {
			warming = append(warming, warmup.Upstream{
				ID: u.one.ID, Incarnation: u.one.Incarnation(), Service: u.service.Name, Domain: u.one.Domain,
			})
		}
	}
	if len(warming) == 0 {
		return nil
	}
	var gateways []warmup.Gateway
	for i := range c.sim.sc.Gateways {
		if !c.sim.gatewayDown[i] {
			gateways = append(gateways, warmup.Gateway{Node: gatewayName(i), Domain: domainName(i % failureDomains)})
		}
	}
	out := make(map[string]time.Time)
	for _, r := range c.book.Assign(c.sim.now(), warming, gateways) {
		if r.Gateway == gatewayName(gateway) {
			out[r.Upstream] = c.sim.now().Add(warmup.RightDuration)
		}
	}
	return out
}
