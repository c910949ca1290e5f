package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// poolSlots is the number of slots of each upstream of the pools below.
const poolSlots = 4

// newPool returns the services of the given number of gateways in front of the same upstreams. Each
// gateway has received requests for some seconds.
func newPool(gateways, upstreams int) []*Service {
	var list []*instances.Instance
	for i := range upstreams {
		list = append(list, &instances.Instance{ID: fmt.Sprintf("a%d", i), Domain: "a", Slots: poolSlots})
	}
	var out []*Service
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(1, uint64(i))))
		s.typicalWorkTime = 200 * ms
		s.pool.offered = true
		s.SetUpstreams(start, list)
		out = append(out, s)
	}
	return out
}

// report applies a report with the given requests of others at each upstream to all gateways.
func report(pool []*Service, now time.Time, inFlight map[string]float64) {
	work := make(map[string]worktime.Estimate)
	for id := range inFlight {
		work[id] = worktime.Estimate{Work: 200 * ms, Slowness: 1}
	}
	for _, s := range pool {
		s.ApplyReport(now, ClusterReport{Gateways: len(pool), InFlight: inFlight, WorkTimes: work})
	}
}

// reportLoad makes an upstream report its load to all gateways.
func reportLoad(pool []*Service, now time.Time) {
	for _, s := range pool {
		u := s.upstream(now, "a0")
		s.ApplyLoad(now, Grant{Instance: u.Instance}, instances.Load{Running: 2, Slots: poolSlots, Slowness: 1})
	}
}

// loaded returns requests in flight at the upstreams of a pool: full at all but one.
func loaded(upstreams int, full, one float64) map[string]float64 {
	out := make(map[string]float64)
	for i := range upstreams {
		out[fmt.Sprintf("a%d", i)] = full
	}
	out["a1"] = one
	return out
}

// sendOne offers one request at each gateway and returns the requests that each upstream gets. Those
// that are granted later are added.
func sendOne(pool []*Service, now time.Time) map[string]int {
	got := make(map[string]int)
	for _, s := range pool {
		req := &Request{Objective: 500 * ms, Deadline: now.Add(1500 * ms), QueueUntil: now.Add(300 * ms)}
		req.OnDecision = func(d Decision) {
			if d.Granted() {
				got[d.Grant.Instance.ID]++
			}
		}
		if g, r, decided := offer(s, now, req); decided && r == 0 {
			got[g.Instance.ID]++
		}
	}
	return got
}

// TestGatewaysDoNotFillTheSameUpstream guards against all gateways choosing the one upstream that shows
// room in the last report: of 40 requests it got 40.
func TestGatewaysDoNotFillTheSameUpstream(t *testing.T) {
	const gateways, upstreams = 40, 10
	pool := newPool(gateways, upstreams)
	reportLoad(pool, at(-time.Second))
	report(pool, at(ms), loaded(upstreams, 10, 4))
	for id, n := range sendOne(pool, at(2*ms)) {
		if n > 12 {
			t.Errorf("%d gateways sent to %s", n, id)
		}
	}
}

// TestFullPoolIsShared guards against gateways that together send more than a full pool finishes until
// the next report.
func TestFullPoolIsShared(t *testing.T) {
	const gateways, upstreams = 100, 10
	pool := newPool(gateways, upstreams)
	reportLoad(pool, start)
	var sends []map[string]int
	for i := range 20 {
		now := at(time.Duration(i) * 250 * ms)
		reportLoad(pool, now.Add(-200*ms))
		report(pool, now, loaded(upstreams, 8, 8))
		sends = append(sends, sendOne(pool, now.Add(100*ms)))
		for j := range 7 {
			for _, s := range pool {
				s.Tick(now.Add(time.Duration(100+20*j) * ms))
			}
		}
	}
	sent := 0
	for _, one := range sends {
		for _, n := range one {
			sent += n
		}
	}
	// 40 slots finish 200 requests a second, 1,000 in five seconds; each gateway may also have saved one.
	if sent > 1000+gateways {
		t.Errorf("%d requests were sent to a full pool that finishes 1000", sent)
	}
	if sent < 500 {
		t.Errorf("only %d requests were sent to a pool that finishes 1000", sent)
	}
}

// TestFullPoolWithoutReports: a gateway that gets no more reports keeps sending its share.
func TestFullPoolWithoutReports(t *testing.T) {
	pool := newPool(10, 10)
	reportLoad(pool, start)
	report(pool, at(ms), loaded(10, 9, 9))
	s, sent := pool[0], 0
	for i := range 40 {
		now := at(time.Duration(i+1) * 100 * ms)
		reportLoad(pool, now)
		for _, n := range sendOne(pool[:1], now) {
			sent += n
		}
		for _, u := range s.inUse {
			for u.ownInFlight > 0 {
				s.Done(now, Grant{Instance: u.Instance, GrantedAt: now}, Answered)
			}
		}
	}
	// A tenth of 200 a second.
	if sent < 20 {
		t.Errorf("sent only %d requests in four seconds", sent)
	}
}

// TestEvenPoolIsNotShared: without reported loads and rejections, requests go wherever there is room.
func TestEvenPoolIsNotShared(t *testing.T) {
	pool := newPool(100, 10)
	report(pool, at(ms), loaded(10, 9, 9))
	sent := 0
	for _, n := range sendOne(pool, at(2*ms)) {
		sent += n
	}
	if sent != len(pool) {
		t.Errorf("%d of %d requests sent", sent, len(pool))
	}
}

// TestFalseReportDoesNotStopPool guards against an upstream with a false number of requests in flight
// holding back those for the other upstreams.
func TestFalseReportDoesNotStopPool(t *testing.T) {
	pool := newPool(100, 10)
	reportLoad(pool, start)
	report(pool, at(ms), loaded(10, 1, 1e9))
	sent := 0
	for id, n := range sendOne(pool, at(2*ms)) {
		if id != "a1" {
			sent += n
		}
	}
	if sent < len(pool) {
		t.Errorf("%d of %d requests sent to the other upstreams", sent, len(pool))
	}
}

// TestUnevenPoolAllocatesNothing guards against garbage on the path of a request in a loaded pool.
func TestUnevenPoolAllocatesNothing(t *testing.T) {
	pool := newPool(1, 313)
	s := pool[0]
	inFlight := loaded(313, 7.5, 7.5)
	for i := range 500 {
		reportLoad(pool, at(time.Duration(i)*ms))
		g, _, _ := offer(s, at(time.Duration(i)*ms), newRequest())
		s.Done(at(time.Duration(i)*ms), g, Answered)
	}
	now := at(time.Second)
	report(pool, now, inFlight)
	req := &Request{Objective: time.Second, Deadline: now.Add(time.Hour), QueueUntil: now.Add(time.Hour)}
	for range 500 {
		g, r, decided := offer(s, now, req)
		if r != 0 || !decided {
			t.Fatal("not granted")
		}
		s.Done(now, g, Answered)
	}
	if allocs := testing.AllocsPerRun(100, func() {
		now = now.Add(ms)
		g, _, _ := offer(s, now, req)
		s.Done(now, g, Answered)
	}); allocs > 0 {
		t.Errorf("%v allocations per decision, want none", allocs)
	}
}

// BenchmarkUnevenPool measures one Offer with its Done in a loaded, uneven pool of 313 upstreams.
func BenchmarkUnevenPool(b *testing.B) {
	pool := newPool(1, 313)
	s := pool[0]
	reportLoad(pool, start)
	report(pool, at(ms), loaded(313, 7.5, 7.5))
	now := at(2 * ms)
	req := &Request{Objective: time.Second, Deadline: now.Add(time.Hour), QueueUntil: now.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		g, r, decided := offer(s, now, req)
		if r != 0 || !decided {
			b.Fatal("not granted")
		}
		s.Done(now, g, Answered)
	}
}

// TestPoolIsSharedUntilItHasEmptied guards against gateways that send whatever waits as soon as the load of
// an overloaded pool falls a little.
func TestPoolIsSharedUntilItHasEmptied(t *testing.T) {
	const gateways, upstreams, fullPerUpstream, withoutRefusals = 12, 20, targetLoad * poolSlots, 3 * time.Second
	pool := newPool(gateways, upstreams)
	reportLoad(pool, start)
	now := start
	for i, step := range []struct {
		load            float64
		refused, shared bool
	}{{0.7, true, false}, {1, true, true}, {0.7, true, true}, {0.55, true, false}, {0.7, true, false}, {1, false, true}, {0.7, false, false}} {
		now = now.Add(250 * ms)
		if step.refused {
			pool[0].recordNoRoom(now, &Request{})
			pool[0].recordNoRoom(now, &Request{})
		} else {
			now = now.Add(withoutRefusals)
			reportLoad(pool, now)
		}
		inFlight := step.load * fullPerUpstream
		report(pool, now, loaded(upstreams, inFlight, inFlight))
		p := &pool[0].pool
		p.share.credit = -burst
		if shared := !p.allows(now); shared != step.shared {
			t.Errorf("report %d, load %.2f of a full pool: shared %v", i, step.load, shared)
		}
	}
}
