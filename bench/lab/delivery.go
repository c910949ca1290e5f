package lab

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/state/spans"
)

// delivery is the work of a gateway on one try of a client: attempts at upstreams one after the
// other, and at most one hedged attempt at the same time. It mirrors the code of the gateways that
// surrounds the decision packages.
type delivery struct {
	*gateway
	try      *try
	route    *Route
	service  *dispatch.Service
	keyed    bool
	deadline time.Duration
	exclude  []string
	// queued is the request that waits for capacity.
	queued     *dispatch.Request
	attempts   []*attempt
	reached    int
	unreached  int
	hedged     bool
	mayHaveRun bool
	ended      bool
	// refusedFence is the fence of the owner that responded that it does not own the key.
	refusedFence uint64
}

// attempt is one attempt at one upstream.
type attempt struct {
	grant dispatch.Grant
	run   *run
	ended bool
}

// end removes the delivery from the gateway.
func (d *delivery) end() {
	d.ended = true
	d.deliveries = slices.DeleteFunc(d.deliveries, func(other *delivery) bool { return other == d })
}

// cancel withdraws the queued request and cancels the attempts in flight.
func (d *delivery) cancel(o dispatch.Outcome) {
	d.end()
	if d.queued != nil {
		d.service.Withdraw(d.queued)
	}
	for _, a := range d.attempts {
		if !a.ended {
			a.ended = true
			d.service.Done(d.sim.now(), a.grant, o)
			u := a.run.upstream
			d.sim.after(d.sim.hopDelay(), func() { u.cancel(a.run) })
		}
	}
}

func (d *delivery) onTimeout() {
	if d.ended {
		return
	}
	d.cancel(dispatch.TimedOut)
	if d.mayHaveRun || d.running() > 0 || len(d.attempts) > 0 {
		d.try.fail()
		return
	}
	d.try.refuse(patience.RetryAfterNoCapacity())
}

func (d *delivery) onWithdraw() {
	if !d.ended && d.route.Idempotent {
		d.cancel(dispatch.Canceled)
	}
}

func (d *delivery) running() int {
	n := 0
	for _, a := range d.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// acquire asks for an upstream with capacity. A hedged attempt is sent only if one is available
// immediately.
func (d *delivery) acquire(hedge bool) {
	if d.ended {
		return
	}
	owner := ""
	if d.keyed {
		s := d.sim.ownerView[d.route.Service].Find(d.try.call.key)
		if s.Moving() || s.Owner == "" || s.Fence == d.refusedFence {
			if !hedge {
				d.waitForOwner(s)
			}
			return
		}
		owner = s.Owner
	}
	until := d.sim.now()
	if !hedge {
		until = until.Add(patience.MaxQueueWait(d.route.Objective.D(), d.deadline-d.sim.elapsed))
	}
	req := &dispatch.Request{
		Route: d.route.Name, ReceivedAt: start.Add(d.try.startedAt), Owner: owner, Exclude: d.exclude, Priority: d.route.Priority, Objective: d.route.Objective.D(),
		Deadline: start.Add(d.deadline), QueueUntil: until,
	}
	if d.keyed {
		req.Key = d.try.call.key
		req.Retry = !hedge && len(d.attempts) > 0
		span := d.sim.ownerView[d.route.Service].Find(d.try.call.key)
		req.Cold, req.Fence = span.Cold, span.Fence
	}
	if !hedge && len(d.attempts) == 0 {
		req.LateAt = start.Add(d.try.startedAt + d.route.Objective.D())
		req.Caller = uint64(d.try.call.caller)
	}
	req.OnDecision = func(decision dispatch.Decision) { d.onDecision(req, decision) }
	decision, decided := d.service.Offer(d.sim.now(), req)
	g, r := decision.Grant, decision.Refusal
	if decided && !hedge && d.keyed && r != 0 {
		d.countRefusal(owner, r)
	}
	switch {
	case !decided:
		d.queued = req
	case r == 0 && hedge && !d.budget[d.route.Service].Spend(d.sim.now(), d.sim.sc.Gateways):
		d.service.Done(d.sim.now(), g, dispatch.Canceled)
	case r == 0:
		d.send(g)
	case !hedge && (r == dispatch.OwnerUnresponsive || r == dispatch.NoUpstream) && d.keyed:
		d.refuseWithRetryAfter(d.noOwnerRetryAfter())
	case !hedge && decision.RetryAfter > 0:
		d.refuseWithRetryAfter(decision.RetryAfter)
	case !hedge && r == dispatch.Limited:
		d.refuseWithRetryAfter(patience.RetryAfterLimited())
	case !hedge && r == dispatch.HotKey:
		d.refuseWithRetryAfter(patience.RetryAfterHotKey())
	case !hedge && r == dispatch.ColdKey:
		d.refuseWithRetryAfter(patience.RetryAfterColdKey())
	case !hedge:
		d.refuseNoCapacity()
	}
}

// noOwnerRetryAfter returns when a caller should retry whose key has no owner.
func (d *delivery) noOwnerRetryAfter() time.Duration {
	without := d.sim.controller.unownedKeys[d.route.Service].UnownedFor(d.sim.now(), d.try.call.key)
	return patience.RetryAfterNoOwner(without)
}

// onDecision handles the decision about a queued request. Several requests may be decided in the
// same call, so the rest runs as an event of its own.
func (d *delivery) onDecision(req *dispatch.Request, decision dispatch.Decision) {
	d.queued = nil
	g := decision.Grant
	d.sim.after(0, func() {
		if !decision.Granted() && !d.ended && d.keyed {
			d.countRefusal(req.Owner, decision.Refusal)
		}
		switch {
		case decision.Granted() && d.ended:
			d.service.Done(d.sim.now(), g, dispatch.Canceled)
		case d.ended:
		case !decision.Granted() && decision.RetryAfter > 0:
			d.refuseWithRetryAfter(decision.RetryAfter)
		case !decision.Granted():
			d.refuseNoCapacity()
		case req.Owner != "" && d.currentOwner() != req.Owner:
			d.service.Done(d.sim.now(), g, dispatch.Canceled)
			d.acquire(false)
		default:
			d.send(g)
		}
	})
}

func (d *delivery) currentOwner() string {
	s := d.sim.ownerView[d.route.Service].Find(d.try.call.key)
	if s.Moving() {
		return ""
	}
	return s.Owner
}

// waitForOwner waits until a moving key has an owner.
func (d *delivery) waitForOwner(s spans.Span) {
	if lost := d.sim.controller.unownedKeys[d.route.Service].UnownedFor(d.sim.now(), d.try.call.key); lost > d.route.Objective.D() {
		d.refuseWithRetryAfter(d.noOwnerRetryAfter())
		return
	}
	wait := patience.MaxMoveWait(d.route.Objective.D(), d.try.startedAt+d.deadline-d.sim.elapsed)
	if d.refusedFence > 0 && !s.Moving() {
		wait = newOwnerWait
	}
	woken := false
	wake := func() {
		if !woken {
			woken = true
			d.sim.after(0, func() {
				if d.refusedFence == s.Fence && s.Fence > 0 && d.sim.elapsed >= d.try.startedAt+wait {
					d.refusedFence = 0
				}
				d.acquire(false)
			})
		}
	}
	d.sim.controller.ownerWaiters = append(d.sim.controller.ownerWaiters, wake)
	d.sim.after(wait-(d.sim.elapsed-d.try.startedAt), func() {
		if !woken && !d.ended {
			woken = true
			d.refuseWithRetryAfter(d.noOwnerRetryAfter())
		}
	})
}

// refuseNoCapacity refuses the try because no upstream has capacity.
func (d *delivery) refuseNoCapacity() {
	if d.ended || d.running() > 0 {
		return
	}
	req := &dispatch.Request{ReceivedAt: start.Add(d.try.startedAt), Objective: d.route.Objective.D(), Deadline: start.Add(d.deadline)}
	if d.keyed {
		req.Owner = d.currentOwner()
	}
	retryAfter := d.service.RetryAfter(d.sim.now(), req)
	if retryAfter == 0 {
		retryAfter = patience.RetryAfterNoCapacity()
	}
	d.refuseWithRetryAfter(retryAfter)
}

// refuseWithRetryAfter refuses the try unless an attempt is still in flight. If an earlier attempt
// may have run, the try fails instead.
func (d *delivery) refuseWithRetryAfter(retryAfter time.Duration) {
	if d.ended || d.running() > 0 {
		return
	}
	d.end()
	if d.mayHaveRun {
		d.try.fail()
		return
	}
	d.try.refuse(retryAfter)
}

// countRefusal counts a refusal by the dispatcher if the owner of the key is able to serve and has a free
// slot: according to the gateway's own estimate, and in fact.
func (d *delivery) countRefusal(owner string, r dispatch.Refusal) {
	u := d.sim.upstreamByID[owner]
	if u == nil || u.silent || u.refusing || u.leaving || r == dispatch.NoUpstream || r == dispatch.OwnerUnresponsive || r == dispatch.Limited || r == dispatch.Leaving {
		return
	}
	e := d.service.Explain(d.sim.now(), owner)
	if float64(e.OwnInflight-e.HungInflight)+e.OthersInflight+1 <= float64(e.Slots) {
		d.sim.tally.refusedWithFreeSlot++
	}
	if len(u.running) < u.service.Slots {
		d.sim.tally.refusedAtIdleOwner++
	}
}

// send starts an attempt at an upstream.
func (d *delivery) send(g dispatch.Grant) {
	a := &attempt{grant: g, run: &run{call: d.try.call, upstream: d.sim.upstreamByID[g.Instance.ID]}}
	a.run.reply = func(o dispatch.Outcome) { d.onReply(a, o) }
	d.attempts = append(d.attempts, a)
	d.countCrossDomain(g)
	d.connect(a.run.upstream)
	d.sim.after(d.sim.hopDelay(), func() { a.run.upstream.receive(a.run) })
	if d.hedged || !d.route.Idempotent || d.reached+d.running() >= d.route.Attempts {
		return
	}
	d.sim.after(patience.HedgeDelay(g.ExpectedLatency), func() {
		if d.ended || a.ended || d.hedged || d.running() != 1 {
			return
		}
		d.hedged = true
		if !d.keyed {
			d.exclude = append(d.exclude, g.Instance.ID)
		}
		d.acquire(true)
	})
}

// connect counts the sender, and the connection if a new one is opened.
func (d *delivery) connect(u *upstream) {
	u.senders[d.index] = true
	if !d.connections.take(u) {
		u.opened++
	}
}

// countCrossDomain counts attempts for services without keys, and those of them that are sent to
// another failure domain.
func (d *delivery) countCrossDomain(g dispatch.Grant) {
	if d.keyed {
		return
	}
	d.sim.tally.sent++
	if g.Instance.Domain != domainName(d.index%failureDomains) {
		d.sim.tally.crossDomain++
	}
}

// onReply handles the outcome of an attempt.
func (d *delivery) onReply(a *attempt, o dispatch.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if o == dispatch.Answered || o == dispatch.Overloaded {
		d.connections.put(a.run.upstream)
	}
	if o == dispatch.Answered || a.run.limitNamed {
		d.recordLimit(a.run.upstream, a.grant.GrantedAt, a.run.limit, a.run.limitNamed)
	}
	if a.run.load != nil {
		d.service.ApplyLoad(d.sim.now(), a.grant, *a.run.load)
	}
	d.service.Done(d.sim.now(), a.grant, o)
	if d.ended {
		return
	}
	if o == dispatch.Answered {
		d.cancel(dispatch.Canceled)
		d.try.succeed()
		return
	}
	again := d.shouldRetry(a, o)
	switch {
	case d.running() > 0:
	case again:
		d.acquire(false)
	default:
		d.refuseNoCapacity()
	}
}

// shouldRetry decides whether the request is sent again, and charges the retry budget.
func (d *delivery) shouldRetry(a *attempt, o dispatch.Outcome) bool {
	if !d.keyed {
		d.exclude = append(d.exclude, a.grant.Instance.ID)
	}
	if o == dispatch.ConnectionRefused || o == dispatch.Unreachable {
		d.unreached++
		return d.unreached <= maxUnreached
	}
	d.reached++
	notRun := o == dispatch.Overloaded || o == dispatch.NotOwner
	d.mayHaveRun = d.mayHaveRun || !notRun
	if o == dispatch.NotOwner {
		d.refusedFence = d.sim.ownerView[d.route.Service].Find(d.try.call.key).Fence
	}
	if d.mayHaveRun && !d.route.Idempotent || d.reached >= d.route.Attempts {
		return false
	}
	return d.budget[d.route.Service].Spend(d.sim.now(), d.sim.sc.Gateways)
}
