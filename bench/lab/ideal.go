package lab

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/limits"
)

// ideal is a dispatcher with perfect information: it has one queue for all gateways and knows the
// exact state of each upstream without delay. The ownership of keys is respected. A free slot takes
// a request that can still be served on time, by priority and then the oldest first. If there is
// none, it takes a late request, by priority and then the youngest first. No request is refused
// before its client stops waiting.
type ideal struct {
	sim *simulation
	// queues hold the waiting requests, by owner for keyed services and by service for others.
	// Requests for keys without an owner wait under noOwnerQueue.
	queues map[string][]*idealRequest
	// sent are the requests that run at each upstream or are on their way to it.
	sent map[*upstream][]*idealRequest
}

// noOwnerQueue is the queue of requests whose keys have no owner.
const noOwnerQueue = ""

// idealRequest is a try that waits or runs.
type idealRequest struct {
	try       *try
	run       *run
	withdrawn bool
}

func newIdeal(sim *simulation) *ideal {
	p := &ideal{sim: sim, queues: make(map[string][]*idealRequest), sent: make(map[*upstream][]*idealRequest)}
	sim.after(idealPollInterval, p.poll)
	return p
}

// idealPollInterval is the time between checks for upstreams that became free without sending a
// response, for example because a key moved.
const idealPollInterval = 2 * time.Millisecond

func (p *ideal) upstreamsChanged(*Service)         {}
func (p *ideal) gatewayFailed(int)                 {}
func (p *ideal) limitsChanged([]limits.Limit, int) {}

func (p *ideal) poll() {
	p.sim.after(idealPollInterval, p.poll)
	orphans := p.queues[noOwnerQueue]
	p.queues[noOwnerQueue] = nil
	for _, one := range orphans {
		p.enqueue(one)
	}
	for i := range p.sim.sc.Services {
		s := &p.sim.sc.Services[i]
		for _, u := range p.sim.upstreams[s.Name] {
			if u.silent || u.refusing {
				p.reclaim(u)
			}
			if len(p.queues[p.queueOf(u)]) > 0 {
				p.fill(u)
			}
		}
	}
}

// reclaim takes back the requests sent to a failed upstream. Idempotent ones run elsewhere; the
// others fail, because it is unknown whether they ran.
func (p *ideal) reclaim(u *upstream) {
	lost := p.sent[u]
	p.sent[u] = nil
	for _, one := range lost {
		one.run = nil
		if one.try.call.route.Idempotent {
			p.enqueue(one)
		} else {
			one.try.fail()
		}
	}
}

func (p *ideal) queueOf(u *upstream) string {
	if u.service.Keyed {
		return u.instance.ID
	}
	return u.service.Name
}

// enqueue appends a request to the queue of its owner or service.
func (p *ideal) enqueue(one *idealRequest) {
	name := one.try.call.route.Service
	if table := p.sim.controller.tables[name]; table != nil {
		span := table.Find(one.try.call.key)
		name = span.Owner
		if u := p.sim.upstreamByID[span.Owner]; span.Moving() || u == nil || u.silent || u.refusing {
			name = noOwnerQueue
		}
	}
	p.queues[name] = append(p.queues[name], one)
}

func (p *ideal) submit(t *try) {
	one := &idealRequest{try: t}
	t.onWithdraw = func() {
		one.withdrawn = true
		if one.run != nil {
			p.cancel(one)
		}
	}
	p.enqueue(one)
	name := t.call.route.Service
	if table := p.sim.controller.tables[name]; table != nil {
		p.sim.controller.keyRates[name].Add(t.call.key, t.call.route.WorkTime.D().Seconds()/p.sim.meanWorkTime(t.call.service()))
		if u := p.sim.upstreamByID[table.Find(t.call.key).Owner]; u != nil {
			p.fill(u)
		}
		return
	}
	if u := p.fastestFree(name); u != nil {
		p.fill(u)
	}
}

// fastestFree returns the fastest upstream of a service with a free slot.
func (p *ideal) fastestFree(name string) *upstream {
	var best *upstream
	for _, u := range p.sim.upstreams[name] {
		if p.hasFreeSlot(u) && (best == nil || u.currentSpeed() > best.currentSpeed()) {
			best = u
		}
	}
	return best
}

func (p *ideal) hasFreeSlot(u *upstream) bool {
	return !u.silent && !u.refusing && !u.leaving && !(u.isWarmingUp() && u.service.MaxWarmUpRate > 0) && len(p.sent[u]) < u.service.Slots
}

// currentSpeed returns the speed of an upstream including a slowdown.
func (u *upstream) currentSpeed() float64 { return u.speed / u.slowdown }

// fill assigns queued requests to the free slots of an upstream.
func (p *ideal) fill(u *upstream) {
	for p.hasFreeSlot(u) {
		one := p.next(u)
		if one == nil {
			return
		}
		p.send(u, one)
	}
}

// next removes the request that the upstream should run next from its queue.
func (p *ideal) next(u *upstream) *idealRequest {
	name := p.queueOf(u)
	kept := p.queues[name][:0]
	best := -1
	var moved []*idealRequest
	for _, one := range p.queues[name] {
		switch {
		case one.withdrawn || one.try.ended:
		case u.service.Keyed && !u.owns(one.try.call.key):
			moved = append(moved, one)
		default:
			if best < 0 || p.runsBefore(u, one, kept[best]) {
				best = len(kept)
			}
			kept = append(kept, one)
		}
	}
	var chosen *idealRequest
	if best >= 0 {
		chosen = kept[best]
		kept = append(kept[:best], kept[best+1:]...)
	}
	p.queues[name] = kept
	for _, one := range moved {
		p.enqueue(one)
	}
	return chosen
}

// runsBefore reports whether a should run before b.
func (p *ideal) runsBefore(u *upstream, a, b *idealRequest) bool {
	aOn, bOn := p.canBeOnTime(u, a), p.canBeOnTime(u, b)
	if aOn != bOn {
		return aOn
	}
	if pa, pb := a.try.call.route.Priority, b.try.call.route.Priority; pa != pb {
		return pa < pb
	}
	older := a.try.call.startedAt < b.try.call.startedAt
	return older == aOn
}

func (p *ideal) canBeOnTime(u *upstream, one *idealRequest) bool {
	c := one.try.call
	took := time.Duration(c.route.WorkTime.D().Seconds() / u.currentSpeed() * float64(time.Second))
	return p.sim.elapsed+took+2*p.sim.hopDelay()+p.sim.sc.ClientHop.D() <= c.startedAt+c.route.Objective.D()
}

func (p *ideal) send(u *upstream, one *idealRequest) {
	r := &run{call: one.try.call, upstream: u}
	one.run = r
	p.sent[u] = append(p.sent[u], one)
	r.reply = func(o dispatch.Outcome) {
		if one.run != r {
			return
		}
		one.run = nil
		p.removeSent(u, one)
		if o == dispatch.Answered {
			one.try.succeed()
		} else if !one.withdrawn {
			p.enqueue(one)
		}
		p.fill(u)
	}
	p.sim.after(p.sim.hopDelay(), func() { u.receive(r) })
}

// removeSent removes a request from those sent to an upstream.
func (p *ideal) removeSent(u *upstream, one *idealRequest) {
	p.sent[u] = slices.DeleteFunc(p.sent[u], func(other *idealRequest) bool { return other == one })
}

// cancel cancels a running request whose client has stopped waiting.
func (p *ideal) cancel(one *idealRequest) {
	r := one.run
	one.run = nil
	p.removeSent(r.upstream, one)
	p.sim.after(p.sim.hopDelay(), func() {
		r.upstream.cancel(r)
		p.fill(r.upstream)
	})
}
