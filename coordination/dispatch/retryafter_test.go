package dispatch

import (
	"math"
	"testing"
	"time"
)

// fullService returns a service of 30 gateways whose upstreams are all full.
func fullService(t *testing.T) *Service {
	t.Helper()
	s := busyService(t, 3, 0)
	loads := map[string]float64{"u0": 24, "u1": 24, "u2": 24}
	s.ApplyReport(start, ClusterReport{Gateways: 30, InFlight: loads})
	s.typicalWorkTime = 200 * time.Millisecond
	return s
}

// refusedRequest returns a request that is late if it waits at all.
func refusedRequest(owner string, now time.Time) *Request {
	return &Request{
		Owner: owner, Objective: time.Second, ReceivedAt: now, Deadline: now.Add(2500 * time.Millisecond),
		QueueUntil: now.Add(time.Millisecond), LateAt: now.Add(time.Millisecond),
	}
}

// TestRefusedCallersComeBackApart guards against callers that are refused together and come back
// together: with a constant time, all of them were refused again.
func TestRefusedCallersComeBackApart(t *testing.T) {
	for _, owner := range []string{"", "u1"} {
		s := fullService(t)
		seen := make(map[time.Duration]bool)
		for range 8 {
			d, decided := s.Offer(start, refusedRequest(owner, start))
			if !decided || d.Refusal != NoCapacity {
				t.Fatalf("owner %q: decided %v, refusal %v", owner, decided, d.Refusal)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 2500*time.Millisecond/3 || seen[d.RetryAfter] {
				t.Errorf("owner %q: comes back after %s", owner, d.RetryAfter)
			}
			seen[d.RetryAfter] = true
		}
		if placed, unplaced := s.RetryPlaces(); placed+unplaced != 8 || placed == 0 {
			t.Errorf("owner %q: %d with a place, %d without", owner, placed, unplaced)
		}
	}
}

// TestQueuedRequestIsGivenTime guards against a request that is refused after it has waited and gets no
// time to come back.
func TestQueuedRequestIsGivenTime(t *testing.T) {
	s := fullService(t)
	var got Decision
	req := refusedRequest("", start)
	req.QueueUntil, req.LateAt = start.Add(600*time.Millisecond), time.Time{}
	req.OnDecision = func(d Decision) { got = d }
	if _, decided := s.Offer(start, req); decided {
		t.Fatal("the request did not wait")
	}
	s.Tick(start.Add(700 * time.Millisecond))
	if got.Refusal != NoCapacity || got.RetryAfter <= 0 {
		t.Errorf("refusal %v, comes back after %s", got.Refusal, got.RetryAfter)
	}
}

// TestHotKeyComesBackLate guards against callers of a key that gets more requests than its owner can
// run and that come back while that still holds.
func TestHotKeyComesBackLate(t *testing.T) {
	s := fullService(t)
	s.ApplyReport(start, ClusterReport{Gateways: 30, HotKeyAdmission: map[uint16]float64{7: 0}})
	req := refusedRequest("u1", start)
	req.Key = 7
	d, _ := s.Offer(start, req)
	if limit := 2500 * time.Millisecond / 3; d.Refusal != HotKey || d.RetryAfter < limit/2 || d.RetryAfter > limit {
		t.Errorf("refusal %v, comes back after %s", d.Refusal, d.RetryAfter)
	}
}

// TestHedgeTakesNoPlace guards against places that are given to hedges, for which no caller comes back.
func TestHedgeTakesNoPlace(t *testing.T) {
	s := fullService(t)
	req := refusedRequest("u1", start)
	req.QueueUntil = start
	if d, _ := s.Offer(start, req); d.Granted() || d.RetryAfter != 0 {
		t.Errorf("granted %v, comes back after %s", d.Granted(), d.RetryAfter)
	}
	if placed, unplaced := s.RetryPlaces(); placed+unplaced != 0 {
		t.Errorf("%d with a place, %d without", placed, unplaced)
	}
}

// TestRefusalAllocatesNothing guards against garbage while 100,000 callers with false deadlines are
// refused.
func TestRefusalAllocatesNothing(t *testing.T) {
	s := fullService(t)
	req := refusedRequest("u1", start)
	req.Deadline = start.Add(math.MaxInt64)
	allocs := testing.AllocsPerRun(100_000, func() {
		req.heldByLimit, req.admittedTo = false, nil
		if d, _ := s.Offer(start, req); d.Granted() || d.RetryAfter > 30*time.Second {
			t.Fatalf("granted %v, comes back after %s", d.Granted(), d.RetryAfter)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations per refusal, want none", allocs)
	}
}
