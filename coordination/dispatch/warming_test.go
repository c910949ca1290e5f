package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// maxWarmUpRate is the limit for an upstream that can take 5.8 requests per second during warm-up,
// with an overage factor of 1.5 and a slack of 8.
const maxWarmUpRate = 16.7

// warmingInstances returns entries of upstreams with the given remaining warm-up. A changed entry
// needs a new revision.
func warmingInstances(revision uint64, remaining time.Duration, ids ...string) []*instances.Instance {
	out := instanceList(ids...)
	for _, one := range out {
		one.Revision, one.WarmUp = revision, remaining
	}
	return out
}

// gatewayGroup holds the services of several gateways for the same upstreams.
type gatewayGroup struct {
	services []*Service
	arrivals map[string][]time.Time
}

func newGatewayGroup(gateways int, warmUp WarmUp, ids ...string) *gatewayGroup {
	f := &gatewayGroup{arrivals: make(map[string][]time.Time)}
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 7)))
		s.SetWarmUp(start, warmUp)
		s.SetUpstreams(start, warmingInstances(1, 0, ids...))
		s.ApplyReport(start, ClusterReport{Gateways: gateways})
		f.services = append(f.services, s)
	}
	return f
}

// offerLoad makes each gateway offer a request every 10 ms from one time to another. owner is the
// only upstream that may run the requests; empty means any.
func (f *gatewayGroup) offerLoad(from, to time.Duration, owner string) {
	for now := from; now < to; now += 10 * ms {
		for _, s := range f.services {
			req := &Request{Owner: owner, Objective: 300 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Decision) {}}
			g, r, decided := offer(s, at(now), req)
			if !decided || r != 0 {
				continue
			}
			f.arrivals[g.Instance.ID] = append(f.arrivals[g.Instance.ID], at(now))
			s.Done(at(now+5*ms), g, Answered)
		}
	}
}

// maxArrivals returns the maximum number of arrivals at the upstream within a second that begins
// between the given times.
func (f *gatewayGroup) maxArrivals(id string, from, to time.Duration) int {
	most := 0
	list := f.arrivals[id]
	for i, first := range list {
		if first.Before(at(from)) || first.After(at(to)) {
			continue
		}
		n := 0
		for _, other := range list[i:] {
			if other.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestWarmUpRateLimitHoldsAcrossGateways: of 20 gateways only those with the right send to a
// warming upstream, and the limit holds even while two have it.
func TestWarmUpRateLimitHoldsAcrossGateways(t *testing.T) {
	f := newGatewayGroup(20, WarmUp{MaxPerSecond: maxWarmUpRate}, "a1", "a2")
	for _, s := range f.services {
		s.SetUpstreams(start, warmingInstances(2, 3*time.Second, "a1"))
	}
	f.offerLoad(0, time.Second, "")
	if n := len(f.arrivals["a1"]); n != 0 {
		t.Errorf("%d requests sent without a right", n)
	}
	for _, s := range f.services[:2] {
		s.ApplyReport(at(time.Second), ClusterReport{Gateways: 20, Rights: map[string]time.Time{"a1": at(3 * time.Second)}})
	}
	f.offerLoad(time.Second, 3*time.Second, "")
	if n := f.maxArrivals("a1", 0, 3*time.Second); float64(n) > maxWarmUpRate || float64(n) < maxWarmUpRate/2 {
		t.Errorf("%d requests within a second, limit %g", n, maxWarmUpRate)
	}
	f.offerLoad(3*time.Second, 4*time.Second, "")
	if n := f.maxArrivals("a1", 3*time.Second, 4*time.Second); float64(n) < 2*maxWarmUpRate {
		t.Errorf("only %d requests within a second after the warm-up", n)
	}
}

// TestWarmingOwnerIsLimitedAcrossGateways: the keys of a warming owner can be served nowhere
// else. Each gateway sends its share, spread over time from the first request on, and refuses
// the rest at once.
func TestWarmingOwnerIsLimitedAcrossGateways(t *testing.T) {
	f := newGatewayGroup(74, WarmUp{MaxPerSecond: maxWarmUpRate, Keyed: true}, "a1")
	for _, s := range f.services {
		s.SetUpstreams(start, warmingInstances(2, 3*time.Second, "a1"))
	}
	f.offerLoad(0, 3*time.Second, "a1")
	if n, all := f.maxArrivals("a1", 0, 3*time.Second), len(f.arrivals["a1"]); float64(n) > maxWarmUpRate || all < 6 {
		t.Errorf("%d requests within a second, %d in total", n, all)
	}
	req := newRequest()
	req.Owner, req.QueueUntil, req.Deadline = "a1", at(time.Second+60*ms), at(2*time.Second)
	refused := 0
	for _, s := range f.services {
		if _, r, decided := offer(s, at(time.Second), req); decided && r == WarmingUp {
			refused++
		}
	}
	if refused < 70 {
		t.Errorf("only %d of 74 gateways refuse at once", refused)
	}
}

// TestWarmUpIsAssumedAfterEvacuationEnds: after an evacuation an upstream may be cold although its
// last known entry shows no warm-up.
func TestWarmUpIsAssumedAfterEvacuationEnds(t *testing.T) {
	f := newGatewayGroup(20, WarmUp{MaxPerSecond: maxWarmUpRate}, "a1")
	for _, s := range f.services {
		s.SetEvacuated(start, onlyDomain("a"))
		s.SetEvacuated(at(time.Second), onlyDomain(""))
		s.SetUpstreams(at(1100*ms), warmingInstances(2, 0, "a1"))
	}
	f.offerLoad(1100*ms, time.Second+maxEntryAge, "")
	if n := len(f.arrivals["a1"]); n != 0 {
		t.Errorf("%d requests to an upstream that may be cold", n)
	}
	f.offerLoad(time.Second+maxEntryAge, 2*time.Second+maxEntryAge, "")
	if n := len(f.arrivals["a1"]); float64(n) < 2*maxWarmUpRate {
		t.Errorf("only %d requests after its entry would have shown a warm-up", n)
	}
}

// TestWorkTimeIsNotLearnedDuringWarmUp: the work time of the warmed-up upstream cannot be derived
// from runs during warm-up.
func TestWorkTimeIsNotLearnedDuringWarmUp(t *testing.T) {
	s := newService("a1")
	s.SetWarmUp(start, WarmUp{MaxPerSecond: maxWarmUpRate})
	learnWorkTime(s, "a1", 100*ms)
	s.SetUpstreams(at(100*ms), warmingInstances(2, 3*time.Second, "a1"))
	s.ApplyReport(at(100*ms), ClusterReport{Gateways: 1, Rights: map[string]time.Time{"a1": at(4 * time.Second)}})
	before := s.upstream(start, "a1").ownWorkTime
	g := mustGrant(t, s, at(100*ms), newRequest())
	s.Done(at(900*ms), g, Answered)
	if u := s.upstream(start, "a1"); u.ownWorkTime != before || u.unreportedRuns.Runs > 1 {
		t.Errorf("work time changed from %[2]s to %[1]s, or the run was counted", u.ownWorkTime, before)
	}
}

// TestWarmUpWithoutRateLimit: without a limit, a warming upstream is only assumed to be slow.
func TestWarmUpWithoutRateLimit(t *testing.T) {
	s := newService("a1")
	s.SetUpstreams(start, warmingInstances(2, 3*time.Second, "a1"))
	mustGrant(t, s, start, newRequest())
}
