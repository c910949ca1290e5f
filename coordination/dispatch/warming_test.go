package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// bound is that of an upstream which bears 5.8 requests a second, with an overage of 1.5 and
// a slack of 8.
const bound = 16.7

// warmed returns upstreams as their entries tell, each change with a new revision.
func warmed(revision uint64, left time.Duration, ids ...string) []*instances.Instance {
	out := instanceList(ids...)
	for _, one := range out {
		one.Revision, one.WarmUp = revision, left
	}
	return out
}

// fleet is the decisions of several gateways about the same upstreams.
type fleet struct {
	services []*Service
	arrivals map[string][]time.Time
}

func newFleet(gateways int, w WarmUp, ids ...string) *fleet {
	f := &fleet{arrivals: make(map[string][]time.Time)}
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 7)))
		s.SetWarmUp(start, w)
		s.SetUpstreams(start, warmed(1, 0, ids...))
		s.ReportAll(start, News{Gateways: gateways})
		f.services = append(f.services, s)
	}
	return f
}

// press lets each gateway ask again and again from one time to another. owner names the
// only upstream that may run the requests; empty means any.
func (f *fleet) press(from, to time.Duration, owner string) {
	for now := from; now < to; now += 10 * ms {
		for _, s := range f.services {
			w := &Want{Owner: owner, Objective: 300 * ms, Deadline: at(now + time.Second), Until: at(now), Verdict: func(Grant, Refusal) {}}
			g, r, decided := s.Offer(at(now), w)
			if !decided || r != 0 {
				continue
			}
			f.arrivals[g.Instance.ID] = append(f.arrivals[g.Instance.ID], at(now))
			s.Done(at(now+5*ms), g, Answered)
		}
	}
}

// most is the highest number of arrivals at the upstream in any second that begins between
// the times.
func (f *fleet) most(id string, from, to time.Duration) int {
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

// TestWarmingUpstreamIsNotFlooded: of 20 gateways only those with the right send to it, and
// the bound holds even while two have it.
func TestWarmingUpstreamIsNotFlooded(t *testing.T) {
	f := newFleet(20, WarmUp{Bound: bound}, "a1", "a2")
	for _, s := range f.services {
		s.SetUpstreams(start, warmed(2, 3*time.Second, "a1"))
	}
	f.press(0, time.Second, "")
	if n := len(f.arrivals["a1"]); n != 0 {
		t.Errorf("%d requests without a right", n)
	}
	for _, s := range f.services[:2] {
		s.ReportAll(at(time.Second), News{Gateways: 20, Rights: map[string]time.Time{"a1": at(3 * time.Second)}})
	}
	f.press(time.Second, 3*time.Second, "")
	if n := f.most("a1", 0, 3*time.Second); float64(n) > bound || float64(n) < bound/2 {
		t.Errorf("%d requests in a second, the bound is %g", n, bound)
	}
	f.press(3*time.Second, 4*time.Second, "")
	if n := f.most("a1", 3*time.Second, 4*time.Second); float64(n) < 2*bound {
		t.Errorf("%d requests in a second when it has warmed up", n)
	}
}

// TestWarmingOwner: its keys can be served nowhere else; each gateway sends its part, spread
// over time from the first request on, and refuses the rest at once.
func TestWarmingOwner(t *testing.T) {
	f := newFleet(74, WarmUp{Bound: bound, Owners: true}, "a1")
	for _, s := range f.services {
		s.SetUpstreams(start, warmed(2, 3*time.Second, "a1"))
	}
	f.press(0, 3*time.Second, "a1")
	if n, all := f.most("a1", 0, 3*time.Second), len(f.arrivals["a1"]); float64(n) > bound || all < 6 {
		t.Errorf("%d requests in a second, %d in all", n, all)
	}
	w := newWant()
	w.Owner, w.Until, w.Deadline = "a1", at(time.Second+60*ms), at(2*time.Second)
	refused := 0
	for _, s := range f.services {
		if _, r, decided := s.Offer(at(time.Second), w); decided && r == WarmingUp {
			refused++
		}
	}
	if refused < 70 {
		t.Errorf("%d of 74 refuse at once", refused)
	}
}

// TestTakenBackDomainIsDoubted: after an evacuation an upstream may be cold though its entry
// said otherwise a moment ago.
func TestTakenBackDomainIsDoubted(t *testing.T) {
	f := newFleet(20, WarmUp{Bound: bound}, "a1")
	for _, s := range f.services {
		s.SetEvacuated(start, onlyDomain("a"))
		s.SetEvacuated(at(time.Second), onlyDomain(""))
		s.SetUpstreams(at(1100*ms), warmed(2, 0, "a1"))
	}
	f.press(1100*ms, time.Second+entryAge, "")
	if n := len(f.arrivals["a1"]); n != 0 {
		t.Errorf("%d requests to an upstream that may be cold", n)
	}
	f.press(time.Second+entryAge, 2*time.Second+entryAge, "")
	if n := len(f.arrivals["a1"]); float64(n) < 2*bound {
		t.Errorf("%d requests when it must have said that it is cold", n)
	}
}

// TestRunsWhileWarmingAreNotLearned: how long they took says nothing of the upstream when it
// has warmed up.
func TestRunsWhileWarmingAreNotLearned(t *testing.T) {
	s := newService("a1")
	s.SetWarmUp(start, WarmUp{Bound: bound})
	learnWorkTime(s, "a1", 100*ms)
	s.SetUpstreams(at(100*ms), warmed(2, 3*time.Second, "a1"))
	s.ReportAll(at(100*ms), News{Gateways: 1, Rights: map[string]time.Time{"a1": at(4 * time.Second)}})
	before := s.upstreams["a1"].work
	g := mustGrant(t, s, at(100*ms), newWant())
	s.Done(at(900*ms), g, Answered)
	if u := s.upstreams["a1"]; u.work != before || u.runs.Runs > 1 {
		t.Errorf("work %s after %s", u.work, before)
	}
}

// TestUnboundedWarmUp: where no bound is named, an upstream that warms up is only taken to
// be slow.
func TestUnboundedWarmUp(t *testing.T) {
	s := newService("a1")
	s.SetUpstreams(start, warmed(2, 3*time.Second, "a1"))
	mustGrant(t, s, start, newWant())
}
