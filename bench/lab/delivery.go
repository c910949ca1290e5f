package lab

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/state/spans"
)

// delivery is the work of a gateway on one try of a client: tries at upstreams one
// after the other, and at most two beside each other. It mirrors what the gateways do
// around the decisions.
type delivery struct {
	*gateway
	try      *try
	route    *Route
	service  *dispatch.Service
	keyed    bool
	deadline time.Duration
	exclude  []string
	// waiting is the request that waits for room.
	waiting  *dispatch.Request
	flights  []*flight
	arrivals int
	unsent   int
	hedged   bool
	mayRun   bool
	ended    bool
	// refusedFence is that of the owner that said it does not hold the key.
	refusedFence uint64
}

// flight is one try at one upstream.
type flight struct {
	grant dispatch.Grant
	run   *run
	ended bool
}

// end takes the delivery off the gateway.
func (d *delivery) end() {
	d.ended = true
	d.deliveries = slices.DeleteFunc(d.deliveries, func(other *delivery) bool { return other == d })
}

// abandon drops what is under way.
func (d *delivery) abandon(o dispatch.Outcome) {
	d.end()
	if d.waiting != nil {
		d.service.Withdraw(d.waiting)
	}
	for _, f := range d.flights {
		if !f.ended {
			f.ended = true
			d.service.Done(d.sim.now(), f.grant, o)
			at := f.run.upstream
			d.sim.after(d.sim.hopDelay(), func() { at.cancel(f.run) })
		}
	}
}

func (d *delivery) timedOut() {
	if d.ended {
		return
	}
	d.abandon(dispatch.TimedOut)
	if d.mayRun || d.running() > 0 || len(d.flights) > 0 {
		d.try.failed()
		return
	}
	d.try.refused(patience.RetryAfterNoCapacity())
}

func (d *delivery) withdrawn() {
	if !d.ended && d.route.Idempotent {
		d.abandon(dispatch.Canceled)
	}
}

func (d *delivery) running() int {
	n := 0
	for _, f := range d.flights {
		if !f.ended {
			n++
		}
	}
	return n
}

// acquire finds an upstream with room, at once or after a wait.
func (d *delivery) acquire(atOnce bool) {
	if d.ended {
		return
	}
	owner := ""
	if d.keyed {
		s := d.sim.ownerView[d.route.Service].Find(d.try.call.key)
		if s.Moving() || s.Owner == "" || s.Fence == d.refusedFence {
			if !atOnce {
				d.awaitMove(s)
			}
			return
		}
		owner = s.Owner
	}
	until := d.sim.now()
	if !atOnce {
		until = until.Add(patience.MaxQueueWait(d.route.Objective.D(), d.deadline-d.sim.elapsed))
	}
	w := &dispatch.Request{
		Owner: owner, Exclude: d.exclude, Priority: d.route.Priority, Objective: d.route.Objective.D(),
		Deadline: start.Add(d.deadline), QueueUntil: until,
	}
	if d.keyed {
		w.Key = d.try.call.key
		w.Retry = !atOnce && len(d.flights) > 0
		w.Cold = d.sim.ownerView[d.route.Service].Find(d.try.call.key).Cold
	}
	if !atOnce && len(d.flights) == 0 {
		w.LateAt = start.Add(d.try.began + d.route.Objective.D())
	}
	w.OnDecision = func(g dispatch.Grant, r dispatch.Refusal) { d.decided(w, g, r) }
	g, r, decided := d.service.Offer(d.sim.now(), w)
	switch {
	case !decided:
		d.waiting = w
	case r == 0 && atOnce && !d.budget[d.route.Service].Spend(d.sim.now(), d.sim.sc.Gateways):
		d.service.Done(d.sim.now(), g, dispatch.Canceled)
	case r == 0:
		d.send(g)
	case !atOnce && (r == dispatch.OwnerUnresponsive || r == dispatch.NoUpstream) && d.keyed:
		d.refuseFor(d.comeBackToKey())
	case !atOnce && r == dispatch.Limited:
		d.refuseFor(patience.RetryAfterLimited())
	case !atOnce && r == dispatch.HotKey:
		d.refuseFor(patience.RetryAfterHotKey())
	case !atOnce && r == dispatch.ColdKey:
		d.refuseFor(patience.RetryAfterColdKey())
	case !atOnce:
		d.refuse()
	}
}

// comeBackToKey is when a caller may come back whose key has no owner.
func (d *delivery) comeBackToKey() time.Duration {
	without := d.sim.controller.gaps[d.route.Service].Without(d.sim.now(), d.try.call.key)
	return patience.RetryAfterNoOwner(without)
}

// decided takes the verdict about a request that waited. Others may be decided in the
// same moment, so what follows runs after it.
func (d *delivery) decided(w *dispatch.Request, g dispatch.Grant, r dispatch.Refusal) {
	d.waiting = nil
	d.sim.after(0, func() {
		switch {
		case r == 0 && d.ended:
			d.service.Done(d.sim.now(), g, dispatch.Canceled)
		case d.ended:
		case r != 0:
			d.refuse()
		case w.Owner != "" && d.ownerNow() != w.Owner:
			d.service.Done(d.sim.now(), g, dispatch.Canceled)
			d.acquire(false)
		default:
			d.send(g)
		}
	})
}

func (d *delivery) ownerNow() string {
	s := d.sim.ownerView[d.route.Service].Find(d.try.call.key)
	if s.Moving() {
		return ""
	}
	return s.Owner
}

// awaitMove waits for the owner of a key that moves.
func (d *delivery) awaitMove(s spans.Span) {
	if lost := d.sim.controller.gaps[d.route.Service].Without(d.sim.now(), d.try.call.key); lost > d.route.Objective.D() {
		d.refuseFor(d.comeBackToKey())
		return
	}
	wait := patience.MaxMoveWait(d.route.Objective.D(), d.try.began+d.deadline-d.sim.elapsed)
	if d.refusedFence > 0 && !s.Moving() {
		wait = newOwnerWait
	}
	woken := false
	wake := func() {
		if !woken {
			woken = true
			d.sim.after(0, func() {
				if d.refusedFence == s.Fence && s.Fence > 0 && d.sim.elapsed >= d.try.began+wait {
					d.refusedFence = 0
				}
				d.acquire(false)
			})
		}
	}
	d.sim.controller.ownerWaiters = append(d.sim.controller.ownerWaiters, wake)
	d.sim.after(wait-(d.sim.elapsed-d.try.began), func() {
		if !woken && !d.ended {
			woken = true
			d.refuseFor(d.comeBackToKey())
		}
	})
}

// refuse gives up on a request for want of room.
func (d *delivery) refuse() { d.refuseFor(patience.RetryAfterNoCapacity()) }

// refuseFor gives up on a request that waits for nothing any more.
func (d *delivery) refuseFor(again time.Duration) {
	if d.ended || d.running() > 0 {
		return
	}
	d.end()
	if d.mayRun {
		d.try.failed()
		return
	}
	d.try.refused(again)
}

// send makes one try at an upstream.
func (d *delivery) send(g dispatch.Grant) {
	f := &flight{grant: g, run: &run{call: d.try.call, upstream: d.sim.upstreamByID[g.Instance.ID]}}
	f.run.reply = func(o dispatch.Outcome) { d.replied(f, o) }
	d.flights = append(d.flights, f)
	d.count(g)
	d.sim.after(d.sim.hopDelay(), func() { f.run.upstream.receive(f.run) })
	if d.hedged || !d.route.Idempotent || d.arrivals+d.running() >= d.route.Attempts {
		return
	}
	d.sim.after(patience.HedgeDelay(g.ExpectedLatency), func() {
		if d.ended || f.ended || d.hedged || d.running() != 1 {
			return
		}
		d.hedged = true
		if !d.keyed {
			d.exclude = append(d.exclude, g.Instance.ID)
		}
		d.acquire(true)
	})
}

// count counts tries that may choose their failure domain, and those that leave it.
func (d *delivery) count(g dispatch.Grant) {
	if d.keyed {
		return
	}
	d.sim.tally.sent++
	if g.Instance.Domain != domainName(d.index%failureDomains) {
		d.sim.tally.crossDomain++
	}
}

// replied takes the outcome of a try.
func (d *delivery) replied(f *flight, o dispatch.Outcome) {
	if f.ended {
		return
	}
	f.ended = true
	if o == dispatch.Answered || f.run.limitNamed {
		d.recordLimit(f.run.upstream, f.grant.GrantedAt, f.run.limit, f.run.limitNamed)
	}
	if f.run.load != nil {
		d.service.ApplyLoad(d.sim.now(), f.grant, *f.run.load)
	}
	d.service.Done(d.sim.now(), f.grant, o)
	if d.ended {
		return
	}
	if o == dispatch.Answered {
		d.abandon(dispatch.Canceled)
		d.try.served()
		return
	}
	again := d.mayRepeat(f, o)
	switch {
	case d.running() > 0:
	case again:
		d.acquire(false)
	default:
		d.refuse()
	}
}

// mayRepeat decides whether the request is sent once more.
func (d *delivery) mayRepeat(f *flight, o dispatch.Outcome) bool {
	if !d.keyed {
		d.exclude = append(d.exclude, f.grant.Instance.ID)
	}
	if o == dispatch.ConnectionRefused || o == dispatch.Unreachable {
		d.unsent++
		return d.unsent <= maxUnreached
	}
	d.arrivals++
	notRun := o == dispatch.Overloaded || o == dispatch.NotOwner
	d.mayRun = d.mayRun || !notRun
	if o == dispatch.NotOwner {
		d.refusedFence = d.sim.ownerView[d.route.Service].Find(d.try.call.key).Fence
	}
	if d.mayRun && !d.route.Idempotent || d.arrivals >= d.route.Attempts {
		return false
	}
	return d.budget[d.route.Service].Spend(d.sim.now(), d.sim.sc.Gateways)
}
