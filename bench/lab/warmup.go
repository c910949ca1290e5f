package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/warmup"
)

// This file models the warm-up of upstreams, during which they are slow and fail under more than a
// few requests per second.

// warmUpFailureDowntime is how long an upstream that failed during warm-up stays down before it
// restarts.
const warmUpFailureDowntime = 2 * time.Second

func (u *upstream) isWarmingUp() bool { return u.sim.elapsed < u.warmUntil }

// restart makes the upstream serve again as a new incarnation that is warming up.
func (u *upstream) restart() {
	u.recover()
	u.instance.StartedMs++
	u.warmUntil = u.sim.elapsed + u.service.WarmUp.D()
	u.warmUpArrivals = nil
	u.publishEntry(u.service.WarmUp.D())
	u.sim.after(u.service.WarmUp.D(), func() {
		if !u.isWarmingUp() && !u.refusing {
			u.publishEntry(0)
		}
	})
}

// publishEntry updates the upstream's entry with the remaining warm-up time.
func (u *upstream) publishEntry(left time.Duration) {
	u.instance.Revision++
	u.instance.WarmUp = left
	u.sim.after(u.sim.hopDelay(), func() { u.sim.policy.upstreamsChanged(u.service) })
}

// failIfOverloaded records a request to an upstream that is warming up. If the rate is too high, it
// makes the upstream fail, schedules its restart and returns true.
func (u *upstream) failIfOverloaded() bool {
	if !u.isWarmingUp() || u.service.MaxWarmUpRate == 0 {
		return false
	}
	u.warmUpArrivals = append(slices.DeleteFunc(u.warmUpArrivals, func(at time.Duration) bool { return u.sim.elapsed-at >= time.Second }), u.sim.elapsed)
	if len(u.warmUpArrivals) <= u.service.MaxWarmUpRate {
		return false
	}
	u.sim.tally.warmUpFailures++
	u.fail(true)
	u.sim.after(warmUpFailureDowntime, u.restart)
	return true
}

// coldRestart stops the upstreams of a failure domain and restarts them at the same time.
func (sim *simulation) coldRestart(d *Disturbance) {
	for _, u := range sim.upstreams[d.Service] {
		if u.instance.Domain != domainName(d.Count) {
			continue
		}
		u.fail(true)
		sim.after(entryExpiry, func() { sim.policy.upstreamsChanged(u.service) })
		sim.after(d.Duration.D(), u.restart)
	}
}

func gatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// warmUpRights assigns gateways to the upstreams that are warming up. It returns, for each upstream
// that the given gateway may send to, the time until which it may.
func (c *controller) warmUpRights(gateway int) map[string]time.Time {
	var warming []warmup.Upstream
	for _, u := range c.sim.allUpstreams {
		if u.isWarmingUp() && !u.refusing && u.service.WarmUpRateLimit > 0 && !u.service.Keyed {
			warming = append(warming, warmup.Upstream{
				ID: u.instance.ID, Incarnation: u.instance.Incarnation(), Service: u.service.Name, Domain: u.instance.Domain,
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
	for _, r := range c.assignments.Assign(c.sim.now(), warming, gateways) {
		if r.Gateway == gatewayName(gateway) {
			out[r.Upstream] = c.sim.now().Add(warmup.RightDuration)
		}
	}
	return out
}
