package lab

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/limits"
)

// plain is the baseline policy: each gateway sends to the owner, or to the upstream with the fewest
// of its own requests in flight, and refuses requests when these fill all slots.
type plain struct {
	sim      *simulation
	inflight []map[*upstream]int
}

func newPlain(sim *simulation) *plain {
	p := &plain{sim: sim}
	for range sim.sc.Gateways {
		p.inflight = append(p.inflight, make(map[*upstream]int))
	}
	return p
}

// plainRetryAfter is the retry delay that the baseline policy sends to refused callers.
const plainRetryAfter = 60 * time.Millisecond

func (p *plain) upstreamsChanged(*Service)         {}
func (p *plain) gatewayFailed(int)                 {}
func (p *plain) limitsChanged([]limits.Limit, int) {}

func (p *plain) submit(t *try) {
	mine := p.inflight[t.gateway]
	u := p.pick(t, mine)
	if p.sim.gatewayDown[t.gateway] {
		t.fail()
		return
	}
	if u == nil || mine[u] >= u.service.Slots {
		t.refuse(plainRetryAfter)
		return
	}
	mine[u]++
	r := &run{call: t.call, upstream: u}
	ended := false
	end := func() bool {
		if ended {
			return false
		}
		ended = true
		mine[u]--
		return true
	}
	drop := func() {
		if end() {
			p.sim.after(p.sim.hopDelay(), func() { u.cancel(r) })
			t.fail()
		}
	}
	t.onWithdraw = drop
	p.sim.after(min(t.call.route.Timeout.D(), t.maxWait), drop)
	r.reply = func(o dispatch.Outcome) {
		if !end() {
			return
		}
		switch o {
		case dispatch.Answered:
			t.succeed()
		case dispatch.ConnectionBroken:
			t.fail()
		default:
			t.refuse(plainRetryAfter)
		}
	}
	p.sim.after(p.sim.hopDelay(), func() { u.receive(r) })
}

func (p *plain) pick(t *try, mine map[*upstream]int) *upstream {
	name := t.call.route.Service
	if view := p.sim.ownerView[name]; view != nil {
		return p.sim.upstreamByID[view.Find(t.call.key).Owner]
	}
	var best *upstream
	for _, u := range p.sim.upstreams[name] {
		expired := (u.silent || u.refusing) && p.sim.elapsed-u.failedAt >= entryExpiry
		if !u.leaving && !expired && (best == nil || mine[u] < mine[best]) {
			best = u
		}
	}
	return best
}
