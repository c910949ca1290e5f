package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// coldRequest returns a request for a cold key of the upstream a1 with the given objective.
func coldRequest(objective time.Duration) *Request {
	req := newRequest()
	req.Owner, req.Cold, req.Fence, req.Objective, req.LateAt = "a1", true, 7, objective, at(objective)
	return req
}

// coldService returns a service with one upstream of four slots and the given work time.
func coldService(work time.Duration) *Service {
	s := newService("a1")
	s.SetUpstreams(start, []*instances.Instance{{ID: "a1", Domain: "a", Slots: 4}})
	s.typicalWorkTime = work
	learnWorkTime(s, "a1", work)
	return s
}

// TestLateColdKeysTakeOnlySpareSlots: requests for cold keys that would be late are admitted while
// the owner is half idle, never wait, and do not affect the measured work time. Otherwise they
// would take the slots of several others that are on time.
func TestLateColdKeysTakeOnlySpareSlots(t *testing.T) {
	s := serviceWithWorkTime(10 * ms)
	late := func() *Request { return coldRequest(20 * ms) }
	g := mustGrant(t, s, start, late())
	if !g.Cold || g.ExpectedLatency <= 10*ms {
		t.Errorf("expected latency %s, cold %v", g.ExpectedLatency, g.Cold)
	}
	if _, r, decided := offer(s, start, late()); !decided || r != ColdKey {
		t.Errorf("second late cold request at an owner with two slots: %v, decided %v", r, decided)
	}
	warm := newRequest()
	warm.Owner = "a1"
	mustGrant(t, s, start, warm)
	s.Done(at(400*ms), g, Answered)
	if work := s.upstream(start, "a1").ownWorkTime; work != 10*ms {
		t.Errorf("work time is %s after a cold request", work)
	}
}

// TestColdKeysRunIfTheirObjectiveAllows: an owner with half of its slots in use must take a request
// for a cold key whose route leaves enough time, and not one whose route does not. A limit of half
// of the slots for all of them refused 847 requests that would have been in time.
func TestColdKeysRunIfTheirObjectiveAllows(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		refusal   Refusal
	}{{250 * ms, ColdKey}, {600 * ms, 0}} {
		s := coldService(100 * ms)
		for range 2 {
			warm := newRequest()
			warm.Owner = "a1"
			mustGrant(t, s, start, warm)
		}
		if _, r, decided := offer(s, start, coldRequest(c.objective)); !decided || r != c.refusal {
			t.Errorf("objective %s: %v, decided %v, want %v", c.objective, r, decided, c.refusal)
		}
	}
}

// TestColdKeysHaveOnlyTheTimeThatIsLeft: a request that has used up most of its objective counts as
// late, also if it is a retry or a hedge, which have no LateAt.
func TestColdKeysHaveOnlyTheTimeThatIsLeft(t *testing.T) {
	now := at(500 * ms)
	for name, change := range map[string]func(*Request){
		"first try": func(*Request) {},
		"retry":     func(r *Request) { r.LateAt, r.ReceivedAt, r.Retry = time.Time{}, start, true },
	} {
		s := coldService(100 * ms)
		for range 2 {
			warm := newRequest()
			warm.Owner = "a1"
			mustGrant(t, s, now, warm)
		}
		req := coldRequest(600 * ms)
		change(req)
		if _, r, decided := offer(s, now, req); !decided || r != ColdKey {
			t.Errorf("%s: %v, decided %v", name, r, decided)
		}
	}
}

// TestColdKeysNeedRoom: a request for a cold key that would be in time does not fill the owner
// beyond the bound for all requests, and does not overtake requests that wait.
func TestColdKeysNeedRoom(t *testing.T) {
	s := coldService(10 * ms)
	granted := 0
	for ; granted < 20; granted++ {
		if _, r, _ := offer(s, start, coldRequest(time.Minute)); r != 0 {
			break
		}
	}
	if granted != 4*maxInFlightPerSlot {
		t.Errorf("%d requests for cold keys sent to an owner with four slots", granted)
	}
	s = coldService(10 * ms)
	s.upstream(start, "a1").queue.add(newRequest())
	if _, r, decided := offer(s, start, coldRequest(time.Minute)); !decided || r != ColdKey {
		t.Errorf("behind a waiting request: %v, decided %v", r, decided)
	}
}

// TestColdKeysUseSparesBeyondTheShare: a gateway that has used up its share of an owner must not
// refuse a request for a cold key while the owner has slots to spare, in time or not.
func TestColdKeysUseSparesBeyondTheShare(t *testing.T) {
	s := coldService(100 * ms)
	s.ApplyReport(start, ClusterReport{Gateways: 3})
	s.upstream(start, "a1").share.credit = -1
	for _, objective := range []time.Duration{250 * ms, 600 * ms} {
		g, r, decided := offer(s, start, coldRequest(objective))
		if !decided || r != 0 {
			t.Fatalf("objective %s: %v, decided %v", objective, r, decided)
		}
		s.Done(start, g, Canceled)
	}
}

// runMarked sends a request for a key marked cold under the grant and answers it after the given
// time.
func runMarked(t *testing.T, s *Service, now time.Time, fence uint64, took time.Duration) Grant {
	t.Helper()
	req := coldRequest(10 * time.Second)
	req.Fence, req.LateAt, req.Deadline, req.QueueUntil = fence, now.Add(10*time.Second), now.Add(20*time.Second), now
	g := mustGrant(t, s, now, req)
	s.Done(now.Add(took), g, Answered)
	return g
}

// TestKeysThatRunAsUsualAreNotCold: an owner that got its own keys back runs them as usual although
// they are marked. After a few such runs its keys must be treated as usual, and those of another
// grant must not. If its keys turn out to be cold after all, they are treated as cold again.
func TestKeysThatRunAsUsualAreNotCold(t *testing.T) {
	s, now := coldService(100*ms), start
	next := func() time.Time { now = now.Add(time.Second); return now }
	for range 4 {
		runMarked(t, s, next(), 7, 100*ms)
	}
	if g := runMarked(t, s, next(), 7, 100*ms); g.Cold {
		t.Error("treated as cold after four usual runs")
	}
	if g := runMarked(t, s, next(), 8, 400*ms); !g.Cold {
		t.Error("another grant is treated as usual")
	}
	if n := s.ColdKeys().AsUsual; n == 0 {
		t.Error("no request counted as treated as usual")
	}
	for range 8 {
		runMarked(t, s, next(), 7, 400*ms)
	}
	if g := runMarked(t, s, next(), 7, 400*ms); !g.Cold {
		t.Error("treated as usual after eight cold runs")
	}
}

// TestOneShortRunDoesNotDecide: a single run in the tail of the run times must not make the keys of a
// grant count as usual.
func TestOneShortRunDoesNotDecide(t *testing.T) {
	s := coldService(100 * ms)
	runMarked(t, s, start, 7, 20*ms)
	if g := runMarked(t, s, at(time.Second), 7, 400*ms); !g.Cold {
		t.Error("treated as usual after one short run")
	}
}

// TestColdFactorIsMeasured: the factor follows the runs of cold keys and not those of keys that are
// only marked.
func TestColdFactorIsMeasured(t *testing.T) {
	s, now := coldService(100*ms), start
	for i := range 60 {
		now = now.Add(time.Second)
		runMarked(t, s, now, 7, 400*ms)
		if i%2 == 0 {
			runMarked(t, s, now.Add(500*ms), 8, 100*ms)
		}
	}
	if f := s.ColdKeys().Factor; f < 3.6 || f > 4.2 {
		t.Errorf("factor %.2f, want about 4", f)
	}
}

// TestEvidenceAboutGrantsIsBounded: a table with very many short-lived grants must not fill the
// memory.
func TestEvidenceAboutGrantsIsBounded(t *testing.T) {
	c := newColdRuns()
	for i := range 10 * maxColdGrants {
		c.record(at(time.Duration(i)*ms), uint64(i+1), 1)
	}
	if n := len(c.grants); n > maxColdGrants {
		t.Errorf("evidence about %d grants", n)
	}
	late := at(time.Hour)
	c.record(late, 1<<40, 1)
	if n := len(c.grants); n != 1 {
		t.Errorf("%d grants kept after an hour", n)
	}
}

// TestColdDecisionAllocatesNothing guards against garbage on the path of a request for a cold key.
func TestColdDecisionAllocatesNothing(t *testing.T) {
	s := coldService(100 * ms)
	runMarked(t, s, start, 7, 400*ms)
	now := at(time.Second)
	req := coldRequest(time.Hour)
	req.Deadline, req.QueueUntil = at(time.Hour), at(time.Hour)
	allocs := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Second)
		g, _, _ := offer(s, now, req)
		s.Done(now.Add(400*ms), g, Answered)
	})
	if allocs > 0 {
		t.Errorf("%v allocations per decision, want none", allocs)
	}
}
