package dispatch

import (
	"testing"
	"time"
)

// overloadedService returns a service of 30 gateways on which one of ten callers asks as often as all
// others together for what is full.
func overloadedService(t *testing.T, owner string) (*Service, time.Time) {
	t.Helper()
	s := fullService(t)
	now := start
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		req := refusedRequest(owner, now)
		req.Caller = 1
		if i%2 == 0 {
			req.Caller = uint64(2 + i/2%9)
		}
		s.Offer(now, req)
	}
	return s, now
}

// TestFrequentCallerIsRefused guards against a frequent caller that takes the room of the others while an
// owner or a pool is full, and against refusing the others for it.
func TestFrequentCallerIsRefused(t *testing.T) {
	for _, owner := range []string{"", "u1"} {
		s, now := overloadedService(t, owner)
		refused := func(caller uint64) int {
			n := 0
			for range 100 {
				req := refusedRequest(owner, now)
				req.Caller = caller
				if d, _ := s.Offer(now, req); d.Refusal == CallerShare {
					if d.RetryAfter <= 0 {
						t.Errorf("owner %q: no time to come back", owner)
					}
					n++
				}
			}
			return n
		}
		if n := refused(1); n < 50 {
			t.Errorf("owner %q: %d of 100 requests of the frequent caller refused for its share", owner, n)
		}
		req := refusedRequest(owner, now)
		req.Caller = 5
		if d, _ := s.Offer(now, req); d.Refusal == CallerShare {
			t.Errorf("owner %q: another caller was refused for its share", owner)
		}
		if s.OverShare() == 0 {
			t.Errorf("owner %q: refusals are not counted", owner)
		}
	}
}

// TestFreeSlotIsNeverRefused guards against refusing a request for which an upstream has a free slot.
func TestFreeSlotIsNeverRefused(t *testing.T) {
	for _, owner := range []string{"", "u1"} {
		s, now := overloadedService(t, owner)
		s.ApplyReport(now, ClusterReport{Gateways: 30})
		req := refusedRequest(owner, now)
		req.Caller = 1
		if d, decided := s.Offer(now, req); !decided || !d.Granted() {
			t.Errorf("owner %q: decided %v, refusal %v", owner, decided, d.Refusal)
		}
	}
}

// TestUnknownCallerIsNotDivided guards against refusing requests whose caller is not known, such as
// hedges, for a share.
func TestUnknownCallerIsNotDivided(t *testing.T) {
	s, now := overloadedService(t, "u1")
	for range 100 {
		if d, _ := s.Offer(now, refusedRequest("u1", now)); d.Refusal == CallerShare {
			t.Fatal("refused for the share of an unknown caller")
		}
	}
}

// TestOfferWithCallerAllocatesNothing guards against garbage on the path of a request that finds room, as
// 100,000 callers come one after the other.
func TestOfferWithCallerAllocatesNothing(t *testing.T) {
	for _, owner := range []string{"", "u1"} {
		s := busyService(t, 313, 0)
		now := start.Add(time.Second)
		req := &Request{Owner: owner, Objective: time.Second, Deadline: now.Add(time.Hour), QueueUntil: now.Add(time.Hour)}
		s.recordNoRoom(now, req)
		s.recordNoRoom(now, req)
		allocs := testing.AllocsPerRun(100_000, func() {
			now = now.Add(time.Millisecond)
			req.Caller++
			g, _, _ := offer(s, now, req)
			s.Done(now, g, Answered)
		})
		if allocs > 0 {
			t.Errorf("owner %q: %v allocations per decision, want none", owner, allocs)
		}
	}
}
