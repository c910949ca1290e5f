package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
)

// This file tests random series of successions of leaders.

// randomSuccession drives four gateways through random faults of the store, cuts between gateways,
// restarts, takeovers, changes of the voters and late writes, and checks after each step that no
// leader takes keys for free while an upstream may hold them by a grant of another.
type randomSuccession struct {
	*successions
	rng  *rand.Rand
	live []*elector
	// ended are the processes that have ended.
	ended []*elector
}

func (r *randomSuccession) step() string {
	i := r.rng.IntN(len(r.live))
	e := r.live[i]
	node := e.cluster.self.Node
	switch r.rng.IntN(18) {
	case 0:
		fault := storeFault(r.rng.IntN(int(storeDelaysWrites) + 1))
		e.transport.set(fault)
		return fmt.Sprintf("store fault %d for %s", fault, node)
	case 1:
		e.transport.deliver()
		return "late writes of " + node
	case 2:
		if !e.cluster.isLeading() || r.rng.IntN(2) == 0 {
			return "nothing"
		}
		e.release()
		e.resigning.Store(false)
		return "release by " + node
	case 3:
		if r.rng.IntN(8) > 0 {
			return "nothing"
		}
		r.replace(i)
		return "restart of " + node
	case 4:
		var others []*elector
		for _, o := range r.live {
			if o != e && r.rng.IntN(3) > 0 {
				others = append(others, o)
			}
		}
		e.setMembers(others...)
		return "members of " + node
	case 5:
		// Nobody reaches the gateway for a while, which may reach others.
		e.unreachable.Store(!e.unreachable.Load())
		return "cut of " + node
	case 6:
		e.observe(r.t.Context())
		return "observation by " + node
	case 7, 8, 9:
		if e.cluster.isLeading() {
			return "nothing"
		}
		e.tryAcquire(r.t.Context(), r.rng.IntN(2) == 0)
		switch leads := e.cluster.isLeading(); {
		case leads && r.rng.IntN(3) == 0:
			// The process goes on, so that its promises do not count as made at its start.
			e.release()
			e.resigning.Store(false)
			return "short leadership of " + node
		}
		return "attempt of " + node
	case 10, 11:
		if !e.cluster.isLeading() || !e.renewalOverdue() {
			return "nothing"
		}
		e.extend(r.t.Context())
		return "extension by " + node
	default:
		d := time.Duration(r.rng.IntN(700)) * time.Millisecond
		r.advance(d)
		for _, o := range r.live {
			if o.cluster.isLeading() && r.rng.IntN(2) == 0 {
				o.renewIfDue(r.t.Context())
			}
			o.grant()
		}
		return fmt.Sprint("advance by ", d)
	}
}

// replace ends a process and starts another one at its address.
func (r *randomSuccession) replace(i int) {
	r.ended = append(r.ended, r.live[i])
	late := r.live[i].transport.delayed
	r.live[i] = r.restart(r.live[i])
	r.live[i].transport.delayed = late
}

// check returns how early a leader takes keys for free.
func (r *randomSuccession) check() (early time.Duration, by string) {
	for _, e := range r.live {
		until, known := e.latestFormerHold()
		if !known || !e.cluster.isLeading() {
			continue
		}
		for _, o := range append(slices.Clone(r.live), r.ended...) {
			if o != e && o.holdsUntil.Sub(until) > early && o.term() < e.term() {
				early, by = o.holdsUntil.Sub(until), fmt.Sprintf("%s after %s", e.cluster.self.Node, o.cluster.self.Node)
			}
		}
	}
	return early, by
}

func (e *elector) term() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Term
}

// TestRandomSuccessions runs seeded series of such faults.
func TestRandomSuccessions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(successionSeeds) {
		s := newSuccessions(t)
		r := &randomSuccession{successions: s, rng: rand.New(rand.NewPCG(seed, 1))}
		for _, node := range []string{"a", "b", "c", "d"} {
			r.live = append(r.live, s.gateway(node))
		}
		s.advance(uptime)
		var steps []string
		for range stepsPerSuccession {
			steps = append(steps, r.step())
			if early, by := r.check(); early > 0 {
				t.Errorf("seed %d: %s: keys are taken for free %s early; last steps: %s", seed, by, early, strings.Join(steps[max(0, len(steps)-40):], "; "))
				break
			}
		}
		for _, e := range r.live {
			e.end()
		}
	}
}

const (
	successionSeeds    = 100
	stepsPerSuccession = 300
)

// lossySuccession is a randomSuccession in which gateways are lost for good, and in which time passes in which the
// inquiries go on.
type lossySuccession struct{ *randomSuccession }

func (r *lossySuccession) step() string {
	switch r.rng.IntN(24) {
	case 0:
		return r.lose(1 + r.rng.IntN(4))
	case 1, 2, 3:
		return r.pass()
	case 4:
		return r.isolate()
	}
	return r.randomSuccession.step()
}

// lose ends gateways for good, but not the last one.
func (r *lossySuccession) lose(count int) string {
	lost := ""
	for range min(count, len(r.live)-1) {
		i := r.rng.IntN(len(r.live))
		r.live[i].end()
		lost += " " + r.live[i].cluster.self.Node
		r.ended = append(r.ended, r.live[i])
		r.live = slices.Delete(r.live, i, i+1)
	}
	return "loss of" + lost
}

// isolate cuts the leaders and some other gateways off from the store and from the rest, but not from each other.
func (r *lossySuccession) isolate() string {
	isolated := ""
	var leaders []*elector
	for _, e := range r.live {
		if e.cluster.isLeading() {
			leaders = append(leaders, e)
		}
	}
	for _, o := range r.live {
		if !o.cluster.isLeading() && r.rng.IntN(3) == 0 {
			continue
		}
		o.unreachable.Store(true)
		o.transport.set(storeDown)
		isolated += " " + o.cluster.self.Node
		for _, e := range leaders {
			if e != o {
				e.reachDirectly(o)
			}
		}
	}
	return "isolation of" + isolated
}

// pass ends some faults of the store, advances the time by up to 12 s, in which leaders renew their leases, ask
// voters and make grants, and lets inquiries repeat their question.
func (r *lossySuccession) pass() string {
	seconds := 1 + r.rng.IntN(12)
	for _, e := range r.live {
		if !e.unreachable.Load() && r.rng.IntN(2) == 0 {
			e.transport.deliver()
		}
	}
	for range 4 * seconds {
		r.advance(250 * time.Millisecond)
		for _, e := range r.live {
			if !e.cluster.isLeading() {
				if r.rng.IntN(4) == 0 {
					e.tryAcquire(r.t.Context(), false)
				}
				continue
			}
			e.renewIfDue(r.t.Context())
			if e.renewalOverdue() {
				e.extend(r.t.Context())
			}
			e.grant()
		}
	}
	time.Sleep(inquiryRetryInterval + inquiryRetryInterval/10)
	return fmt.Sprint("pass ", seconds, " s")
}

// TestRandomSuccessionsWithLosses loses most of seven gateways for good in random successions. ROCKCROFT_SUCCESSIONS=FROM-TO runs other seeds.
func TestRandomSuccessionsWithLosses(t *testing.T) {
	t.Parallel()
	for _, seed := range faultSeeds(t, "ROCKCROFT_SUCCESSIONS", 1, 2, 3, 4, 5, 6, 7, 8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSuccessions(t)
			r := &lossySuccession{&randomSuccession{successions: s, rng: rand.New(rand.NewPCG(seed, 2))}}
			for i := range leadership.MaxVoters {
				r.live = append(r.live, s.gateway(fmt.Sprint("g", i)))
			}
			s.advance(uptime)
			r.live[0].setMembers(r.live[1:]...)
			r.live[0].lead(false)
			var steps []string
			for range stepsPerSuccession {
				steps = append(steps, r.step())
				if early, by := r.check(); early > 0 {
					t.Errorf("%s: keys are taken for free %s early; last steps: %s", by, early, strings.Join(steps[max(0, len(steps)-40):], "; "))
					break
				}
			}
			for _, e := range r.live {
				e.end()
			}
		})
	}
}
