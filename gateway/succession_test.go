package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tests successions of leaders in virtual time: a leader must not take keys for free while an
// upstream may hold them by a grant of any earlier leader.

// nearlyAll is a little less than the time for which a renewal gives the right to act.
const nearlyAll = leadership.LeaseDuration - time.Millisecond

// missedRenewal is when the lease of a holder that refuses connections may be taken over.
const missedRenewal = 950 * time.Millisecond

// TestShortLivedSuccessorHandsOnFormerHolds guards against keys that the second successor of a leader takes
// for free while the leader, which seemed to have ended, could still grant them.
func TestShortLivedSuccessorHandsOnFormerHolds(t *testing.T) {
	t.Parallel()
	for name, succeed := range map[string]func(s *successions, b, c *elector) *elector{
		"released": func(_ *successions, b, c *elector) *elector {
			b.lead(true)
			b.release()
			c.lead(false)
			return c
		},
		"replaced by a new process": func(s *successions, b, _ *elector) *elector {
			b.lead(true)
			next := s.restart(b)
			next.lead(false)
			return next
		},
		"acquired by a late write": func(_ *successions, b, _ *elector) *elector {
			b.transport.set(storeDelaysWrites)
			b.tryAcquire(context.Background(), true)
			b.transport.deliver()
			b.lead(false)
			return b
		},
		"released twice": func(s *successions, b, c *elector) *elector {
			b.lead(true)
			b.release()
			c.lead(false)
			c.release()
			next := s.restart(b)
			next.lead(false)
			return next
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSuccessions(t)
			a, b, c := s.startLeader()
			b.observe(t.Context())
			s.advance(missedRenewal)
			last := succeed(s, b, c)
			s.advance(nearlyAll - missedRenewal)
			a.mustGrant(false)
			last.checkWaitsFor(a)
		})
	}
}

// TestOrdinaryStopHandsOnNoHolds checks that the successor of a leader that has led for seconds waits only
// for the grants of that leader.
func TestOrdinaryStopHandsOnNoHolds(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	b.observe(t.Context())
	s.advance(missedRenewal)
	b.lead(true)
	for range 10 {
		s.advance(leadership.RenewInterval)
		b.renew(true)
	}
	b.grant()
	b.release()
	c.lead(false)
	c.checkWaitsFor(a, b)
	until, _ := c.latestFormerHold()
	if wait := until.Sub(s.clock()); wait > 4300*time.Millisecond {
		t.Errorf("the successor waits for %s", wait)
	}
	if spec := string(s.store.Spec(leaseKind, leaseName)); strings.Contains(spec, "former_holds_ms") {
		t.Errorf("the lease names former holds: %s", spec)
	}
}

// TestShortLivedSuccessorLeavesOneOwner guards against two owners after a leader that refuses connections
// has granted keys for as long as it might, while its successor gave up the lease at once.
func TestShortLivedSuccessorLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	owner := b.upstream("i-s0", "status")
	owner.address = b.port().addr().String()
	b.register(owner, "ready")
	b.upstream("i-s1", "status")
	b.upstream("i-p0", "pay")
	all := spans.KeyRange{First: 0, Last: spans.MaxKey}
	b.store.Put(spansKind, "status", spans.Table{Service: "status", LastFence: 2, Version: 1 << termShift, Spans: []spans.Span{
		{KeyRange: all, Owner: owner.ID, Fence: 2},
	}})
	lease := leadership.Lease{Node: "former", Address: b.port().addr().String(), Domain: "a", Incarnation: "former", Term: 1}
	write := func() {
		lease.Renewals++
		b.store.Put(leaseKind, leaseName, lease)
	}
	write()
	gateways := []*testGateway{b.gateway("g0"), b.gateway("g1")}
	for _, g := range gateways {
		lease.Voters = append(lease.Voters, g.cluster.self.Address)
		g.elector.promises.mu.Lock()
		g.elector.promises.state = leadership.NewPromises(time.Now().Add(-uptime))
		g.elector.promises.mu.Unlock()
	}
	b.eventually("both gateways have seen the lease", func() bool {
		write()
		time.Sleep(leadership.RenewInterval / 4)
		return gateways[0].cluster.knownLeader() != nil && gateways[1].cluster.knownLeader() != nil
	})
	write()
	renewed := time.Now()
	for _, g := range gateways {
		g.elector.observe(t.Context())
	}
	var first *testGateway
	b.eventually("a gateway takes the lease over", func() bool { first = b.leader(); return first != nil })
	first.elector.resigning.Store(true)
	first.elector.releaseLease(t.Context())
	next := gateways[0]
	if next == first {
		next = gateways[1]
	}
	b.eventually("the other gateway leads", func() bool {
		if !next.cluster.isLeading() {
			next.elector.tryAcquire(t.Context(), true)
		}
		return next.cluster.isLeading()
	})
	t.Logf("the second successor leads %s after the last renewal", time.Since(renewed))
	time.Sleep(time.Until(renewed.Add(nearlyAll)))
	call, err := json.Marshal(platform.GrantRequest{From: all.First, Target: all.Last, Fence: 2, Hold: holdDuration.Seconds()})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	owner.ServeHTTP(w, httptest.NewRequest(http.MethodPost, platform.GrantPath, bytes.NewReader(call)))
	if w.Code != http.StatusOK {
		t.Fatalf("grant of the former leader: status %d", w.Code)
	}
	b.eventually("the keys have another owner", func() bool { return next.allOwned() && b.spansOwnedBy(owner.ID) == 0 })
}
