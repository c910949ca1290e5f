package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// TestRejectionIsLearntFromReport: a rejection that another gateway has seen lowers the bound here, once,
// however often it is reported.
func TestRejectionIsLearntFromReport(t *testing.T) {
	s := newPool(1, 3)[0]
	u := s.upstream(start, "a1")
	for i := range 4 {
		now := at(time.Duration(i) * 250 * ms)
		s.ApplyReport(now, ClusterReport{Gateways: 9, Rejected: map[string]time.Duration{"a1": time.Duration(i)*250*ms + 10*ms}})
		if !now.Before(s.pool.unevenUntil) || s.pool.slots == 0 {
			t.Fatal("the pool is not known to be uneven")
		}
		if got, most := u.rejections.boundPerSlot(now), maxInFlightPerSlot*(rejectionFactor+0.1); got > most || got < maxInFlightPerSlot*rejectionFactor {
			t.Errorf("bound %.2f per slot after report %d", got, i)
		}
	}
	if e := s.Explain(at(900*ms), ""); e.Rejecting != 1 {
		t.Errorf("%d upstreams known to reject", e.Rejecting)
	}
	if got := u.rejections.boundPerSlot(at(time.Minute)); got != maxInFlightPerSlot {
		t.Errorf("bound %.2f per slot after a minute", got)
	}
}

// TestImplausibleRejectionsAreIgnored guards against reports with times that cannot be.
func TestImplausibleRejectionsAreIgnored(t *testing.T) {
	for _, age := range []time.Duration{-time.Second, time.Hour} {
		s := newPool(1, 3)[0]
		u := s.upstream(start, "a1")
		s.ApplyReport(start, ClusterReport{Gateways: 9, Rejected: map[string]time.Duration{"a1": age, "unknown": ms}})
		if start.Before(s.pool.unevenUntil) || u.rejections.boundPerSlot(start) != maxInFlightPerSlot {
			t.Errorf("a rejection %s ago was applied", age)
		}
	}
}

// TestRejectionIsReported: other gateways are told of a rejection for MaxRejectionAge.
func TestRejectionIsReported(t *testing.T) {
	s := newPool(1, 1)[0]
	s.ApplyReport(start, ClusterReport{Gateways: 1})
	var grants []Grant
	for range poolSlots + 1 {
		grants = append(grants, mustGrant(t, s, start, newRequest()))
	}
	s.Done(at(10*ms), grants[poolSlots], Overloaded)
	if got := s.Loads(at(110 * ms))[0].Rejected; got != 100*ms {
		t.Errorf("rejection reported as %s ago", got)
	}
	if got := s.Loads(at(10*ms + MaxRejectionAge))[0].Rejected; got != 0 {
		t.Errorf("old rejection reported as %s ago", got)
	}
}

// TestSilenceOfFullUpstreamIsRejection: an upstream that leaves a request unanswered and answers later
// ones had no room for it if all slots were taken, and else has lost it.
func TestSilenceOfFullUpstreamIsRejection(t *testing.T) {
	for _, ahead := range []int{0, poolSlots} {
		s := newPool(1, 1)[0]
		s.ApplyReport(start, ClusterReport{Gateways: 1})
		u := s.upstream(start, "a0")
		var grants []Grant
		for range ahead {
			grants = append(grants, mustGrant(t, s, start, newRequest()))
		}
		mustGrant(t, s, at(ms), newRequest())
		for i, g := range grants {
			s.Done(at(time.Duration(200+i)*ms), g, Answered)
		}
		for i := range hungAfterOvertaken {
			sent := at(time.Duration(1600+200*i) * ms)
			g := s.issueGrant(sent, u, newRequest())
			s.Done(sent.Add(200*ms), g, Answered)
		}
		if u.hung != 1 {
			t.Fatalf("%d requests hung", u.hung)
		}
		if got, want := u.rejections.ownAt.IsZero(), ahead == 0; got != want {
			t.Errorf("%d requests ahead: taken as lost %v, want %v", ahead, got, want)
		}
	}
}

// TestNoRoomIsSavedUpWhileNotShared guards against a burst of all gateways when a pool becomes uneven:
// their shares counted the time before as saved up, and in pool-downloads 0.11 of the arrivals were
// rejected instead of 0.02.
func TestNoRoomIsSavedUpWhileNotShared(t *testing.T) {
	pool := newPool(20, 10)
	report(pool, start, loaded(10, 10, 10))
	for _, s := range pool {
		s.ApplyLoad(at(10*time.Second), Grant{Instance: instances.Instance{ID: "a0"}}, instances.Load{Running: 10, Slots: poolSlots})
	}
	now := at(11 * time.Second)
	report(pool, now, loaded(10, 10, 10))
	sent := 0
	for _, n := range sendOne(pool, now) {
		sent += n
	}
	if sent > 0 {
		t.Errorf("%d requests sent at once to a full pool", sent)
	}
}
