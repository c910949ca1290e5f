package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// controlCall returns the body of a grant or release call. ok is false for other requests. The body of r
// can be read again.
func controlCall(r *http.Request) (c platform.GrantRequest, ok bool) {
	if !strings.HasPrefix(r.URL.Path, platform.GrantPath) && !strings.HasPrefix(r.URL.Path, platform.ReleasePath) {
		return c, false
	}
	data, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(data))
	return c, err == nil && json.Unmarshal(data, &c) == nil
}

// loseResponse lets the upstream carry out a call whose response is lost.
func loseResponse(u *upstream, r *http.Request) {
	u.ServeHTTP(httptest.NewRecorder(), r)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// TestSplitDuringRenewalLeavesOneOwner guards against two owners of a part that moves while a renewal of
// the whole span is in flight.
func TestSplitDuringRenewalLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	const silent = "i-s0"
	var watched atomic.Pointer[spans.KeyRange]
	renewed := make(chan struct{})
	var isRenewed, isCut atomic.Bool
	b.onUpstreamRequest = func(r *http.Request) {
		call, ok := controlCall(r)
		keys := watched.Load()
		if !ok || keys == nil || r.Header.Get(platform.TargetInstance) != silent {
			return
		}
		if r.URL.Path == platform.GrantPath && call.From == keys.First && call.Target == keys.Last && isRenewed.CompareAndSwap(false, true) {
			isCut.Store(true)
			close(renewed)
			loseResponse(b.upstreams[silent], r)
		}
		if isCut.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	b.startStandard()
	l := b.leader()
	k := l.assignments.assigner("status")
	k.mu.Lock()
	whole := k.table.Spans[0]
	for _, s := range k.table.Spans {
		if s.Owner == silent {
			whole = s
		}
	}
	k.mu.Unlock()
	watched.Store(&whole.KeyRange)
	<-renewed
	part := whole.First + uint16(whole.Count()/2)
	b.eventually("the span is split and its second part moves", func() bool {
		k.mu.Lock()
		next := k.table.Clone()
		i := next.Index(whole.First)
		if next.Spans[i] != whole {
			k.mu.Unlock()
			t.Fatalf("the span has changed: %+v", next.Spans[i])
		}
		next.Split(i, part)
		next.LastFence++
		next.Spans[i+1].Next, next.Spans[i+1].NextFence = "i-s1", next.LastFence
		k.mu.Unlock()
		k.commit(context.Background(), next)
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.table.Find(part).First == part
	})
	b.eventually("the part has another owner", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		s := k.table.Find(part)
		return s.Owner != silent && !s.Moving()
	})
}

// newLoneAssigner returns an assigner without a cluster for the given upstreams, which it lists as they
// are, and whose right to lead is measured by the given clock.
func newLoneAssigner(t *testing.T, b *testCluster, leaderClock func() time.Time, list ...instances.Instance) *keyAssigner {
	t.Helper()
	c := newCluster(&syncpb.Member{Incarnation: "a"}, http.DefaultClient, time.Now, nil)
	lead := &leaderElector{now: leaderClock, cluster: c, formerHoldKnown: true, log: slog.New(slog.DiscardHandler)}
	lead.right.Extend(time.Now().Add(time.Minute))
	s := &assignmentSupervisor{
		view: newView(), cluster: c, now: time.Now, log: slog.New(slog.DiscardHandler), elector: lead, maxHold: 10 * time.Second,
		owners: platform.NewOwners(pool.New(upstreamLimits, time.Now)), grantSlots: newGrantSlots(time.Now),
		meters: newMeters(),
	}
	s.view.setInstances(1, instances.NewView(1, list))
	return newKeyAssigner(s, "status", 1)
}

// TestRepeatedMoveLeavesOneOwner guards against keys that are given to a third upstream while the next
// owner of a move holds them by a grant without a response, after the right to lead had lapsed in between.
func TestRepeatedMoveLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	arrived := make(chan struct{})
	var isGranted, lapsed atomic.Bool
	b.onUpstreamRequest = func(r *http.Request) {
		if call, ok := controlCall(r); ok && r.URL.Path == platform.GrantPath && call.Fence == 2 && isGranted.CompareAndSwap(false, true) {
			close(arrived)
			loseResponse(b.upstreams["i-s1"], r)
		}
	}
	var list []instances.Instance
	for _, id := range []string{"i-s0", "i-s1", "i-s2"} {
		u := b.upstream(id, "status")
		list = append(list, instances.Instance{ID: id, Service: "status", Address: u.address})
	}
	// The right lapses after the check that follows the lost response.
	var checks atomic.Int64
	k := newLoneAssigner(t, b, func() time.Time {
		select {
		case <-arrived:
			if lapsed.Load() || checks.Add(1) == 1 {
				return time.Now()
			}
			return time.Now().Add(time.Hour)
		default:
			return time.Now()
		}
	}, list...)
	all := spans.KeyRange{First: 0, Last: spans.MaxKey}
	k.table = &spans.Table{Service: "status", LastFence: 2, Spans: []spans.Span{{KeyRange: all, Owner: "i-s0", Fence: 1, Next: "i-s1", NextFence: 2}}}
	k.move(t.Context(), k.table.Spans[0])
	if !k.table.Spans[0].Moving() {
		t.Fatalf("the move has ended: %+v", k.table.Spans[0])
	}
	lapsed.Store(true)
	list[1].Leaving = true
	k.view.setInstances(2, instances.NewView(2, list))
	k.move(t.Context(), k.table.Spans[0])
	s := &k.table.Spans[0]
	s.Next, s.NextFence = "i-s2", 3
	k.move(t.Context(), *s)
	if s.Owner != "i-s2" {
		t.Errorf("the keys did not reach the third upstream: %+v", *s)
	}
}

// TestSuccessorKnowsThePlanStoredLast guards against a successor that takes a published assignment for newer
// than the stored one although it lacks moves that were stored and carried out: a move that ends while a plan
// is being stored is published with a later version than the plan.
func TestSuccessorKnowsThePlanStoredLast(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	var all []instances.Instance
	for _, id := range []string{"i-s0", "i-s1", "i-s2"} {
		all = append(all, instances.Instance{ID: id, Service: "status", Address: b.upstream(id, "status").address})
	}
	former := newLoneAssigner(t, b, time.Now, all...)
	low, high := spans.KeyRange{First: 0, Last: 99}, spans.KeyRange{First: 100, Last: spans.MaxKey}
	former.adopt(&spans.Table{Service: "status", LastFence: 3, Spans: []spans.Span{
		{KeyRange: low, Owner: "i-s0", Fence: 1, Next: "i-s1", NextFence: 3}, {KeyRange: high, Owner: "i-s0", Fence: 2},
	}}, 1)
	former.renewGrant(t.Context(), &all[0], former.table.Find(high.First))
	// The former leader stores a plan. Meanwhile the move of the low keys ends and is published.
	stored := former.table.Clone()
	stored.LastFence++
	stored.Spans[1].Next, stored.Spans[1].NextFence = "i-s1", stored.LastFence
	former.stamp(stored)
	former.move(t.Context(), former.table.Spans[0])
	former.publishedAt = time.Time{}
	former.publishPending()
	published := former.view.spansOf("status")
	// The plan is stored, its move is carried out, and the leader is lost before it publishes that.
	planned := stored.Clone()
	ownership.CopyEndedMoves(planned, former.table)
	former.table = planned
	former.move(t.Context(), former.table.Find(high.First))

	successor := newLoneAssigner(t, b, time.Now, all...)
	successor.elector.formerHoldDeadline = time.Now().Add(ownership.HoldWithMargin(holdDuration))
	successor.view.setSpans(published.Clone())
	successor.adopt(successor.newestTable(stored), 2)
	for _, s := range successor.table.Spans {
		if owner := successor.instance(s.Owner); !s.Moving() {
			successor.renewGrant(t.Context(), owner, s)
		}
	}
	for i, s := range successor.table.Spans {
		if s.Owner == "" {
			successor.table.LastFence++
			successor.table.Spans[i].Next, successor.table.Spans[i].NextFence = "i-s2", successor.table.LastFence
		}
		if successor.table.Spans[i].Moving() {
			successor.move(t.Context(), successor.table.Spans[i])
		}
	}
	for _, s := range successor.table.Spans {
		if s.Owner != "i-s1" {
			t.Errorf("keys %d-%d belong to %q", s.First, s.Last, s.Owner)
		}
	}
}

// TestOutdatedListOfUpstreamsLeavesOneOwner guards against a successor that takes an owner for restarted because
// its list of upstreams is older than the assignment, and grants the keys to another one when the owner's former
// address does not answer.
func TestOutdatedListOfUpstreamsLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	former := b.upstream("i-s0", "status")
	outdated := instances.Instance{ID: "i-s0", Service: "status", Address: former.address, StartedMs: 1}
	owner := b.restart(former)
	next := instances.Instance{ID: "i-s1", Service: "status", Address: b.upstream("i-s1", "status").address}
	current := instances.Instance{ID: "i-s0", Service: "status", Address: owner.address, StartedMs: 2}
	table := &spans.Table{Service: "status", LastFence: 1, Spans: []spans.Span{
		{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "i-s0", Fence: 1, Incarnation: current.Incarnation()},
	}}
	first := newLoneAssigner(t, b, time.Now, current, next)
	first.table = table
	first.renewGrant(t.Context(), &current, table.Spans[0])

	k := newLoneAssigner(t, b, time.Now, outdated, next)
	k.elector.formerHoldDeadline = time.Now().Add(ownership.HoldWithMargin(holdDuration))
	k.adopt(table, 1)
	owners := []ownership.Owner{
		{ID: "i-s0", Incarnation: outdated.Incarnation(), Usable: true, MayKeep: true, Capacity: 1}, {ID: "i-s1", Usable: true, MayKeep: true, Capacity: 1},
	}
	for range 2 {
		if plan := ownership.MakePlan(ownership.PlanInput{Table: k.table, Owners: owners}); plan != nil {
			k.table = plan
			k.move(t.Context(), plan.Spans[0])
		}
		// Calls to the former address fail.
		owners[0].Usable, owners[0].MayKeep = false, false
	}
	if s := k.table.Spans[0]; s.Owner != "i-s1" {
		t.Errorf("the keys did not reach the other upstream: %+v", s)
	}
}

// TestEndOfFormerStartLeavesOneOwner guards against keys that are granted to another upstream while their
// owner holds them, after a call to an earlier start of the owner has shown that this start has ended.
func TestEndOfFormerStartLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	former := b.upstream("i-s0", "status")
	start := func(u *upstream, ms uint64) instances.Instance {
		return instances.Instance{ID: u.ID, Service: "status", Address: u.address, StartedMs: ms}
	}
	ended := start(former, 1)
	current := b.restart(former)
	restarted, next := start(current, 2), start(b.upstream("i-s1", "status"), 1)
	k := newLoneAssigner(t, b, time.Now, restarted, next)
	k.onlyGranter = true
	k.table = &spans.Table{Service: "status", LastFence: 2, Spans: []spans.Span{
		{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "i-s0", Fence: 1, Incarnation: ended.Incarnation(), Next: "i-s0", NextFence: 2},
	}}
	k.move(t.Context(), k.table.Spans[0])
	k.markTerminated(&ended)
	// The owner answers no control call.
	_ = current.server.Close()
	s := &k.table.Spans[0]
	s.Next, s.NextFence = "i-s1", 3
	k.move(t.Context(), *s)
	if s.Owner != "i-s1" {
		t.Errorf("the keys did not reach the other upstream: %+v", *s)
	}
}

// TestRefusedRenewalLeavesOneOwner guards against a span that counts as unowned, and is granted to another
// upstream, because its owner has seen a higher fence on one of the keys: a new leader does not know until when
// the owner holds the others.
func TestRefusedRenewalLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	var list []instances.Instance
	for _, id := range []string{"i-s0", "i-s1"} {
		list = append(list, instances.Instance{ID: id, Service: "status", Address: b.upstream(id, "status").address})
	}
	all := spans.KeyRange{Last: spans.MaxKey}
	table := &spans.Table{Service: "status", LastFence: 1, Spans: []spans.Span{{KeyRange: all, Owner: "i-s0", Fence: 1}}}
	former := newLoneAssigner(t, b, time.Now, list...)
	former.table = table.Clone()
	former.renewGrant(t.Context(), &list[0], table.Spans[0])
	k := newLoneAssigner(t, b, time.Now, list...)
	k.elector.formerHoldDeadline = time.Now().Add(ownership.HoldWithMargin(holdDuration))
	k.adopt(table, 1)
	part := spans.KeyRange{First: 5, Last: 5}
	if _, _, err := k.owners.Release(t.Context(), "i-s0", list[0].Address, part, 9); err != nil {
		t.Fatal(err)
	}
	k.renewGrant(t.Context(), &list[0], k.table.Spans[0])
	// The owner has less room than the other upstream.
	owners := []ownership.Owner{
		{ID: "i-s0", Usable: true, MayKeep: true, Capacity: 1}, {ID: "i-s1", Usable: true, MayKeep: true, Capacity: 100},
	}
	plan := ownership.MakePlan(ownership.PlanInput{Table: k.table, Owners: owners, Refused: k.refusedSpans()})
	if plan == nil {
		t.Fatal("the keys are not granted anew")
	}
	k.table = plan
	k.move(t.Context(), plan.Spans[0])
	if s := k.table.Spans[0]; s.Owner == "" || s.Moving() {
		t.Errorf("the keys have no owner: %+v", s)
	}
}

// TestRestartedUpstreamOutOfReachKeepsNoKeys guards against keys that wait for the hold of a start that has
// ended, when the upstream's present start cannot be granted them.
func TestRestartedUpstreamOutOfReachKeepsNoKeys(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	former := b.upstream("i-s0", "status")
	before := instances.Instance{ID: "i-s0", Service: "status", Address: former.address, StartedMs: 1}
	k := newLoneAssigner(t, b, time.Now, before)
	k.onlyGranter, k.workTimes = true, newWorkTimes(k.view, time.Now)
	k.table = &spans.Table{Service: "status", LastFence: 2, Spans: []spans.Span{
		{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "i-s0", Fence: 1, Incarnation: before.Incarnation()},
	}}
	k.recordStart(&before)
	k.renewGrant(t.Context(), &before, k.table.Spans[0])
	current := b.restart(former)
	after := instances.Instance{ID: "i-s0", Service: "status", Address: current.address, StartedMs: 2}
	_ = current.server.Close()
	k.view.setInstances(2, instances.NewView(2, []instances.Instance{after}))
	k.recordStart(&after)
	s := &k.table.Spans[0]
	s.Next, s.NextFence = "i-s0", 2
	k.move(t.Context(), *s)
	if s.Owner != "" || s.Moving() {
		t.Errorf("the keys are not free: %+v", *s)
	}
}

// TestLongGrantIsNotSentAfterPromisesLapsed guards against a grant of the longest duration that a successor
// does not allow for, because the promises lapsed while the connection was opened.
func TestLongGrantIsNotSentAfterPromisesLapsed(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	u := b.upstream("i-s0", "status")
	began := time.Now()
	var reads atomic.Int64
	k := newLoneAssigner(t, b, func() time.Time {
		if reads.Add(1) == 1 {
			return began
		}
		return began.Add(leadership.LeaseDuration)
	}, instances.Instance{ID: u.ID, Service: "status", Address: u.address})
	k.elector.promisedRight.Extend(began)
	if _, err := k.grant(t.Context(), spans.KeyRange{Last: spans.MaxKey}, k.instance(u.ID), 1, "", nil); !errors.Is(err, pool.ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if held := u.RemainingLease(0); held > holdDuration {
		t.Errorf("granted for %s without promises", held)
	}
}
