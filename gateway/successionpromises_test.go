package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/platform"
)

// This file tests successions of leaders that act by the promises of voters.

// voters returns the voters in the stored lease.
func (s *successions) voters() []string {
	s.t.Helper()
	var l leadership.Lease
	if err := platform.Decode(platform.Object{Spec: s.store.Spec(leaseKind, leaseName)}, &l); err != nil {
		s.t.Fatal(err)
	}
	return l.Voters
}

// actByPromises makes the store fail for the leader until it acts by promises.
func (e *elector) actByPromises() {
	e.s.t.Helper()
	e.transport.set(storeDown)
	e.s.advance(leadership.LeaseDuration - leadership.RenewInterval/2)
	e.extend(context.Background())
	e.s.advance(leadership.RenewInterval)
	e.mustGrant(true)
	e.transport.set(storeHealthy)
}

// TestNewVotersHideNoPromises guards against keys that a successor takes for free because the voters that
// it asks have replaced those that promised the former leader its support.
func TestNewVotersHideNoPromises(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	d, e := s.gateway("d"), s.gateway("e")
	s.advance(uptime)
	a.renew(true)
	a.actByPromises()
	a.renew(true)
	b.end()
	c.end()
	a.setMembers(d, e)
	s.advance(leadership.RenewInterval)
	a.renew(true)
	d.observe(t.Context())
	a.end()
	if voters := s.voters(); slices.Contains(voters, b.cluster.self.Address) {
		t.Errorf("lost gateways remain voters: %v", voters)
	}
	s.advance(missedRenewal)
	d.lead(true)
	d.checkWaitsFor(a)
}

// TestHalfOfVotersLostForGood guards against a successor that never learns until when upstreams may hold
// keys by grants of the former leader, because that one was a voter and half of the voters are lost with it.
func TestHalfOfVotersLostForGood(t *testing.T) {
	t.Parallel()
	for voters := 2; voters <= 4; voters += 2 {
		for _, byPromises := range []bool{false, true} {
			t.Run(fmt.Sprint(voters, " voters, by promises ", byPromises), func(t *testing.T) {
				t.Parallel()
				s := newSuccessions(t)
				var all []*elector
				for i := range voters {
					all = append(all, s.gateway(fmt.Sprint("g", i)))
				}
				s.advance(uptime)
				former, next := all[0], all[voters-1]
				former.setMembers(all[1:]...)
				former.lead(false)
				former.checkWaitsFor()
				if got := len(s.voters()); got != voters {
					t.Fatalf("%d voters", got)
				}
				if byPromises {
					former.actByPromises()
				} else {
					former.mustGrant(false)
				}
				for _, e := range all[:voters/2] {
					e.end()
				}
				next.observe(t.Context())
				s.advance(missedRenewal)
				next.lead(true)
				next.checkWaitsFor(former)
			})
		}
	}
}

// startLeaderOf starts gateways, of which the first leads, and returns them. All are voters of its lease.
func (s *successions) startLeaderOf(gateways int) []*elector {
	s.t.Helper()
	var all []*elector
	for i := range gateways {
		all = append(all, s.gateway(fmt.Sprint("g", i)))
	}
	s.advance(uptime)
	all[0].setMembers(all[1:]...)
	all[0].lead(false)
	all[0].checkWaitsFor()
	return all
}

// awaitBound renews the lease until the leader relies on the period after which few voters are sufficient.
func (e *elector) awaitBound() {
	e.s.t.Helper()
	limit := time.Now().Add(time.Minute)
	for {
		if _, known := e.latestFormerHold(); known {
			return
		}
		if time.Now().After(limit) {
			e.s.t.Fatal("the end of the former leaders' grants is not known")
		}
		e.s.advance(100 * time.Millisecond)
		e.renewIfDue(e.s.t.Context())
		time.Sleep(10 * time.Millisecond)
	}
}

// TestMostVotersLostForGood guards against a successor that waits for lost voters without an end, and with it the keys of silent owners.
func TestMostVotersLostForGood(t *testing.T) {
	t.Parallel()
	for _, byPromises := range []bool{false, true} {
		t.Run(fmt.Sprint("by promises ", byPromises), func(t *testing.T) {
			t.Parallel()
			s := newSuccessions(t)
			all := s.startLeaderOf(leadership.MaxVoters)
			former, next, last := all[0], all[5], all[6]
			if byPromises {
				former.actByPromises()
			} else {
				former.mustGrant(false)
			}
			for _, e := range all[:5] {
				e.end()
			}
			next.observe(t.Context())
			s.advance(missedRenewal)
			next.lead(true)
			led := s.clock()
			next.awaitBound()
			next.checkWaitsFor(former)
			if until, _ := next.latestFormerHold(); until.Sub(led) > leadership.MajorityPeriod+11*time.Second {
				t.Errorf("the keys of silent owners are free after %s", until.Sub(led))
			}
			// A renewal that is overdue changes no voters.
			for range 2 {
				next.setMembers(last)
				s.advance(leadership.RenewInterval)
				next.renew(true)
			}
			if voters := s.voters(); len(voters) != 2 {
				t.Errorf("the lost gateways are voters of the next lease: %v", voters)
			}
			// The next leader knows from the lease what the present voters do not.
			last.observe(t.Context())
			next.end()
			s.advance(missedRenewal)
			last.lead(true)
			last.awaitBound()
			last.checkWaitsFor(former, next)
		})
	}
}

// TestSilentVotersOfALeaderThatActs guards against keys that are free while a former leader acts by voters that its successor cannot ask.
func TestSilentVotersOfALeaderThatActs(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	all := s.startLeaderOf(leadership.MaxVoters)
	former, next := all[0], all[6]
	next.observe(t.Context())
	// Five of seven are cut off from the store and from the successor.
	former.transport.set(storeDown)
	for _, e := range all[:5] {
		e.unreachable.Store(true)
		former.reachDirectly(e)
	}
	act := func() {
		s.advance(500 * time.Millisecond)
		former.extend(t.Context())
		former.grant()
	}
	for range 5 {
		act()
	}
	next.lead(true)
	last := s.clock()
	for range 2 * leadership.MajorityPeriod / (500 * time.Millisecond) {
		act()
		if former.mayAct() {
			last = s.clock()
		}
	}
	next.awaitBound()
	next.checkWaitsFor(former)
	if acted := last.Sub(former.renewedAt); acted < leadership.MajorityPeriod-time.Second || acted > leadership.MajorityPeriod {
		t.Errorf("the former leader acted by a majority until %s after its last renewal", acted)
	}
}

// TestLatePromisesGiveNoRight guards against a right to act by promises that were requested before the
// lease was renewed: the voters may have changed since.
func TestLatePromisesGiveNoRight(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	d := s.gateway("d")
	s.advance(uptime)
	a.renew(true)
	s.advance(leadership.LeaseDuration - leadership.RenewInterval/2)
	b.gate.Lock()
	c.gate.Lock()
	before := b.calls.Load()
	extended := make(chan struct{})
	go func() {
		defer close(extended)
		a.extend(t.Context())
	}()
	for b.calls.Load() == before {
		time.Sleep(time.Millisecond)
	}
	a.renew(true)
	a.setMembers(d)
	s.advance(leadership.RenewInterval)
	a.renew(true)
	b.gate.Unlock()
	c.gate.Unlock()
	<-extended
	if a.actsByPromises() {
		t.Errorf("the leader acts by promises of former voters; the voters are %v", s.voters())
	}
}

// TestLostResponseExtendsNoRight guards against a right to act that counts from the repetition of a renewal
// whose first attempt was accepted: others have seen the lease unchanged since then.
func TestLostResponseExtendsNoRight(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, _ := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.transport.set(storeLosesResponses)
	a.renew(false)
	b.observe(t.Context())
	a.transport.set(storeHealthy)
	s.advance(leadership.RenewInterval)
	a.renewIfDue(t.Context())
	a.transport.set(storeDown)
	for !b.cluster.isLeading() {
		s.advance(10 * time.Millisecond)
		a.grant()
		b.tryAcquire(t.Context(), false)
	}
	for a.grant() {
		s.advance(10 * time.Millisecond)
	}
	b.checkWaitsFor(a)
}

// TestLostResponseKeepsStoredVoters guards against voters that are not those of the stored lease: a
// successor would not ask them.
func TestLostResponseKeepsStoredVoters(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.transport.set(storeLosesResponses)
	a.setMembers(b)
	a.renew(false)
	a.transport.set(storeHealthy)
	a.setMembers(c)
	a.renewIfDue(t.Context())
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.voterLists {
		if slices.Equal(list, s.voters()) {
			return
		}
	}
	t.Errorf("voter lists of the leader: %v, stored: %v", a.voterLists, s.voters())
}

// TestRestartedVoterSupportsNoFormerLeader guards against a voter that has told a successor of its promises
// and, after a restart, supports the former leader again.
func TestRestartedVoterSupportsNoFormerLeader(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.renew(true)
	c.observe(t.Context())
	// The former leader is cut off from the store and from its successor.
	a.transport.set(storeDown)
	_ = a.server.Close()
	s.advance(missedRenewal)
	c.lead(true)
	c.checkWaitsFor()
	s.restart(b)
	for range 100 {
		s.advance(100 * time.Millisecond)
		a.extend(t.Context())
		a.grant()
	}
	c.checkWaitsFor(a)
}

// TestLapsedLeaderResumesByPromises checks that a leader whose right has lapsed leads again by promises of
// voters that have run since before.
func TestLapsedLeaderResumesByPromises(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, _, _ := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.renew(true)
	a.transport.set(storeDown)
	s.advance(holdDuration)
	if a.mayAct() {
		t.Fatal("the right has not lapsed")
	}
	a.extend(t.Context())
	a.mustGrant(true)
}
