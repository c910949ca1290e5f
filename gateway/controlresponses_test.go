package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file tests what the leader concludes from the responses to control calls.

// allKeys are all keys of a service.
var allKeys = spans.KeyRange{First: 0, Last: spans.MaxKey}

// listedUpstreams starts keyed upstreams and returns them as a list of upstreams has them.
func (b *testCluster) listedUpstreams(ids ...string) []instances.Instance {
	b.t.Helper()
	var list []instances.Instance
	for _, id := range ids {
		u := b.upstream(id, "status")
		list = append(list, instances.Instance{ID: id, Service: "status", Address: u.address})
	}
	return list
}

// oneSpanTable returns the table of a service with one span that moves.
func oneSpanTable(owner string, fence uint64, next string, nextFence uint64) *spans.Table {
	return &spans.Table{Service: "status", LastFence: nextFence, Spans: []spans.Span{
		{KeyRange: allKeys, Owner: owner, Fence: fence, Next: next, NextFence: nextFence},
	}}
}

// startRequest starts a request for key 0 at an upstream that holds it, and returns once it runs. The
// channel is closed when it has ended.
func (b *testCluster) startRequest(u *upstream, id string) (ended chan struct{}) {
	b.t.Helper()
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		r, err := http.NewRequest(http.MethodGet, "http://"+u.address+"/status/x", nil)
		if err != nil {
			b.t.Error(err)
			return
		}
		r.Header.Set(platform.RequestID, id)
		r.Header.Set(platform.ShardKey, "0")
		resp, err := b.client.Do(r)
		if err != nil {
			b.t.Error(err)
			return
		}
		_ = resp.Body.Close()
	}()
	b.eventually("the request runs", func() bool { return b.oracle.Runs(id) == 1 })
	return ended
}

// TestExtraResponseIsNoRelease guards against granting keys on which their owner still works because an
// extra response to an earlier control call was taken for the response to the release.
func TestExtraResponseIsNoRelease(t *testing.T) {
	t.Parallel()
	for name, omitsIDs := range map[string]bool{"with IDs": false, "without IDs": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			list := b.listedUpstreams("i-s0", "i-s1")
			owner := b.upstreams["i-s0"]
			owner.ServiceTime, owner.OmitsControlIDs = 500*time.Millisecond, omitsIDs
			owner.SetMode(instance.ExtraResponses)
			k := newLoneAssigner(t, b, time.Now, list...)
			k.table = oneSpanTable("", 0, "i-s0", 1)
			k.move(t.Context(), k.table.Spans[0])
			ended := b.startRequest(owner, "r")
			k.table = oneSpanTable("i-s0", 1, "i-s1", 2)
			k.move(t.Context(), k.table.Spans[0])
			if s := k.table.Spans[0]; s.Owner != "i-s1" || s.Cold {
				t.Errorf("the keys did not move with their handover: %+v", s)
			}
			<-ended
		})
	}
}

// TestExtraRefusalIsNoRefusal guards against a second owner of keys after an extra refusal was taken for the response to the grant of them.
func TestExtraRefusalIsNoRefusal(t *testing.T) {
	t.Parallel()
	for name, omitsIDs := range map[string]bool{"with IDs": false, "without IDs": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			list := b.listedUpstreams("i-s0", "i-s1")
			first := b.upstreams["i-s0"]
			first.OmitsControlIDs = omitsIDs
			first.SetMode(instance.ExtraResponses)
			refused, granted := spans.KeyRange{First: 0, Last: 9}, spans.KeyRange{First: 10, Last: spans.MaxKey}
			other := platform.NewOwners(pool.New(upstreamLimits, time.Now))
			if _, _, err := other.Release(t.Context(), "i-s0", list[0].Address, refused, 9); err != nil {
				t.Fatal(err)
			}
			k := newLoneAssigner(t, b, time.Now, list...)
			k.table = oneSpanTable("i-s0", 5, "", 0)
			if result, err := k.grant(t.Context(), refused, &list[0], 5, "", nil); err != nil || result != platform.Fenced {
				t.Fatalf("grant below a fence: result %v, error %v", result, err)
			}
			if result, err := k.grant(t.Context(), granted, &list[0], 5, "", nil); err != nil || result != platform.Granted {
				t.Errorf("grant after a refused one: result %v, error %v", result, err)
			}
			if _, err := k.grant(t.Context(), granted, &list[1], 6, "", nil); !errors.As(err, new(*ownership.HeldError)) {
				t.Errorf("grant of the same keys to another upstream: error %v", err)
			}
		})
	}
}

// Starts of an upstream in Unix milliseconds, and how long a former leader's grant lasts in these tests.
const (
	formerStart  = 1_000_000
	currentStart = 2_000_000
	formerHold   = 3 * time.Second
)

// startBehindList starts upstreams i-s0 and i-s1, and returns the list of a leader that knows only the
// former start of i-s0, at whose address another instance runs.
func (b *testCluster) startBehindList() []instances.Instance {
	b.t.Helper()
	list := b.listedUpstreams("i-s0", "i-s1")
	list[0].StartedMs = formerStart
	list[0].Address = b.upstream("i-p0", "pay").address
	return list
}

// grantAsFormerLeader grants keys to an upstream for formerHold, and lets the successor know until when such
// grants may last.
func (b *testCluster) grantAsFormerLeader(k *keyAssigner, to string, keys spans.KeyRange, fence uint64) {
	b.t.Helper()
	result, err := k.owners.Grant(b.t.Context(), to, b.upstreams[to].address, keys, fence, formerHold, "", nil)
	if err != nil || result != platform.Granted {
		b.t.Fatalf("grant to %s: result %v, error %v", to, result, err)
	}
	k.elector.formerHoldDeadline = time.Now().Add(ownership.HoldWithMargin(formerHold))
}

// TestWrongUpstreamAtFormerAddressFreesNoKeys guards against a second owner when the leader knows only the
// address of an earlier start of the owner, which another instance uses now.
func TestWrongUpstreamAtFormerAddressFreesNoKeys(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	k := newLoneAssigner(t, b, time.Now, b.startBehindList()...)
	b.grantAsFormerLeader(k, "i-s0", allKeys, 1)
	k.table = oneSpanTable("i-s0", 1, "i-s1", 2)
	granted := instances.Instance{StartedMs: currentStart}
	k.table.Spans[0].Incarnation = granted.Incarnation()
	k.move(t.Context(), k.table.Spans[0])
	if s := k.table.Spans[0]; s.Owner != "i-s1" {
		t.Errorf("the keys did not move: %+v", s)
	}
}

// TestWrongUpstreamFreesKeysAtOnce checks that the keys of an owner that has ended do not wait for its hold if
// another instance runs at the address of the start that was granted them.
func TestWrongUpstreamFreesKeysAtOnce(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]uint64{"start known": formerStart, "no starts": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			list := b.startBehindList()
			list[0].StartedMs = start
			k := newLoneAssigner(t, b, time.Now, list...)
			b.grantAsFormerLeader(k, "i-s0", allKeys, 1)
			b.upstreams["i-s0"].Terminate()
			// If the move waited for this, the test would not end.
			k.elector.formerHoldDeadline = time.Now().Add(time.Hour)
			k.table = oneSpanTable("i-s0", 1, "i-s1", 2)
			k.table.Spans[0].Incarnation = list[0].Incarnation()
			k.move(t.Context(), k.table.Spans[0])
			if s := k.table.Spans[0]; s.Owner != "i-s1" {
				t.Errorf("the keys did not move: %+v", s)
			}
		})
	}
}

// planAndMove carries out all moves of a plan for upstreams that may all be given keys.
func planAndMove(t *testing.T, k *keyAssigner, list ...instances.Instance) {
	t.Helper()
	var owners []ownership.Owner
	for i := range list {
		owners = append(owners, ownership.Owner{ID: list[i].ID, Usable: true, MayKeep: true, Capacity: 100, Incarnation: list[i].Incarnation()})
	}
	if next := ownership.MakePlan(ownership.PlanInput{Table: k.table, Owners: owners, Refused: k.refusedSpans()}); next != nil {
		k.table = next
	}
	for _, s := range k.table.Clone().Spans {
		if s.Moving() {
			k.move(t.Context(), s)
		}
	}
}

// TestFailedGrantAfterRestartFreesNoKeys guards against a second owner when the list of a new leader is older
// than the owner's start, so that the owner appears to have restarted and cannot be granted its keys again.
func TestFailedGrantAfterRestartFreesNoKeys(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ first, later func(u *upstream) }{
		"another instance": {first: func(*upstream) {}, later: func(*upstream) {}},
		"refused":          {first: func(u *upstream) { _ = u.server.Close() }, later: func(*upstream) {}},
		"not answered": {
			first: func(u *upstream) { u.SetMode(instance.Unresponsive) },
			later: func(u *upstream) { u.SetMode(instance.Healthy) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			list := b.startBehindList()
			k := newLoneAssigner(t, b, time.Now, list...)
			b.grantAsFormerLeader(k, "i-s0", allKeys, 1)
			c.first(b.upstreams["i-p0"])
			k.table = &spans.Table{Service: "status", LastFence: 1, Spans: []spans.Span{{KeyRange: allKeys, Owner: "i-s0", Fence: 1}}}
			granted := instances.Instance{StartedMs: currentStart}
			k.table.Spans[0].Incarnation = granted.Incarnation()
			planAndMove(t, k, list...)
			c.later(b.upstreams["i-p0"])
			// The owner is not usable any more.
			for range 2 {
				planAndMove(t, k, list[1])
			}
			if s := k.table.Spans[0]; s.Owner != "i-s1" {
				t.Errorf("the keys did not move: %+v", s)
			}
		})
	}
}

// runAfterWrite calls f once a write of the assignment has been executed by the store, before the response
// is sent.
func runAfterWrite(f func()) func(net.Listener, http.Handler) (net.Listener, http.Handler) {
	return func(l net.Listener, h http.Handler) (net.Listener, http.Handler) {
		return l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(w, r)
			if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, spansKind+"/status") {
				f()
			}
		})
	}
}

// splitAll returns a copy of the table in which the second half of every span moves to the next of the
// upstreams.
func splitAll(table *spans.Table, upstreams []string) *spans.Table {
	next := table.Clone()
	for i := 0; i < len(next.Spans); i += 2 {
		next.Split(i, next.Spans[i].First+uint16(next.Spans[i].Count()/2))
		s := &next.Spans[i+1]
		next.LastFence++
		s.Next, s.NextFence = upstreams[(slices.Index(upstreams, s.Owner)+1)%len(upstreams)], next.LastFence
	}
	return next
}

// TestSuccessorKnowsMovesOfTheLastPlan guards against a second owner of keys that a leader moved by its last
// plan, if it published an assignment while it stored the plan and was lost before it published the plan.
func TestSuccessorKnowsMovesOfTheLastPlan(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	var duringWrite atomic.Pointer[func()]
	b.wrapStoreEndpoint = runAfterWrite(func() {
		if f := duringWrite.Load(); f != nil {
			(*f)()
		}
	})
	var lastFence atomic.Uint64
	granted := make(chan struct{}, 1)
	b.onUpstreamRequest = func(r *http.Request) {
		call, ok := controlCall(r)
		if fence := lastFence.Load(); ok && fence > 0 && r.URL.Path == platform.GrantPath && call.Fence > fence {
			defer func() {
				select {
				case granted <- struct{}{}:
				default:
				}
			}()
		}
	}
	b.startStandard()
	l := b.leader()
	k := l.assignments.assigner("status")
	b.eventually("a plan is stored and an assignment without it published", func() bool {
		k.mu.Lock()
		next := splitAll(k.table, []string{"i-s0", "i-s1", "i-s2"})
		lastFence.Store(k.table.LastFence)
		k.mu.Unlock()
		publish := func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.publishedAt = time.Time{}
			k.publish()
			// Nothing is published from now on.
			k.publishedAt = k.now().Add(time.Hour)
		}
		duringWrite.Store(&publish)
		k.commit(context.Background(), next)
		duringWrite.Store(nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.table.Spans) == len(next.Spans)
	})
	<-granted
	published := k.view.spansOf("status")
	b.eventually("the others have the published assignment", func() bool {
		for _, g := range b.gateways {
			if g.view.spansOf("status").Version != published.Version {
				return false
			}
		}
		return true
	})
	l.kill()
	b.eventually("another gateway has granted all keys", func() bool {
		next := b.leader()
		if next == nil || !next.allOwned() {
			return false
		}
		k := next.assignments.assigner("status")
		if k == nil {
			return false
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.table != nil && !slices.ContainsFunc(k.table.Spans, func(s spans.Span) bool {
			return s.Owner == "" || s.Moving() || k.grantRenewedAt[s.First].IsZero()
		})
	})
}

// TestRefusedRenewalFreesNoKeys guards against a second owner of keys whose renewal an upstream refuses because it
// has seen a higher fence on some of them: it may hold the others, and another upstream those.
func TestRefusedRenewalFreesNoKeys(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	list := b.listedUpstreams("i-s0", "i-s1", "i-s2")
	k := newLoneAssigner(t, b, time.Now, list...)
	part := spans.KeyRange{First: 40000, Last: spans.MaxKey}
	b.grantAsFormerLeader(k, "i-s0", allKeys, 1)
	if result, _, err := k.owners.Release(t.Context(), "i-s0", list[0].Address, part, 2); err != nil || result != platform.Granted {
		t.Fatalf("release: result %v, error %v", result, err)
	}
	b.grantAsFormerLeader(k, "i-s1", part, 2)
	k.table = &spans.Table{Service: "status", LastFence: 1, Spans: []spans.Span{{KeyRange: allKeys, Owner: "i-s0", Fence: 1}}}
	k.renewGrant(t.Context(), &list[0], k.table.Spans[0])
	if s := k.table.Spans[0]; s.Owner != "i-s0" {
		t.Errorf("the table does not name the upstream that may hold keys: %+v", s)
	}
	planAndMove(t, k, list[2])
	for _, s := range k.table.Spans {
		if s.Owner != "i-s2" || s.Fence <= 2 {
			t.Errorf("the keys did not move by a higher fence: %+v", s)
		}
	}
}

// TestRefusedRenewalGrantsKeysAgain checks that an owner that refuses a renewal is granted its keys again by a higher
// fence.
func TestRefusedRenewalGrantsKeysAgain(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	k := b.leader().assignments.assigner("status")
	k.mu.Lock()
	s := k.table.Spans[0]
	k.mu.Unlock()
	owner := b.upstreams[s.Owner]
	key := spans.KeyRange{First: s.First, Last: s.First}
	if result, _, err := k.owners.Release(t.Context(), owner.ID, owner.address, key, s.Fence+10); err != nil || result != platform.Granted {
		t.Fatalf("release: result %v, error %v", result, err)
	}
	b.eventually("the keys are granted by a higher fence", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		now := k.table.Find(s.First)
		return now.Fence > s.Fence+10 && !now.Moving() && now.Owner == s.Owner && owner.Holds(s.First)
	})
	b.mustRequest(b.gateways[0], http.MethodGet, "/status/x", int(s.First))
}

// TestRefusedGrantFreesNoKeys guards against a second owner of keys whose next owner refuses the grant but holds some
// of them.
func TestRefusedGrantFreesNoKeys(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	list := b.listedUpstreams("i-s0", "i-s1")
	k := newLoneAssigner(t, b, time.Now, list...)
	b.grantAsFormerLeader(k, "i-s0", allKeys, 1)
	last := spans.KeyRange{First: spans.MaxKey, Last: spans.MaxKey}
	if result, _, err := k.owners.Release(t.Context(), "i-s0", list[0].Address, last, 3); err != nil || result != platform.Granted {
		t.Fatalf("release: result %v, error %v", result, err)
	}
	k.table = oneSpanTable("", 0, "i-s0", 2)
	k.move(t.Context(), k.table.Spans[0])
	if s := k.table.Spans[0]; s.Owner != "i-s0" {
		t.Errorf("the table does not name the upstream that may hold keys: %+v", s)
	}
	planAndMove(t, k, list[1])
	if s := k.table.Spans[0]; s.Owner != "i-s1" {
		t.Errorf("the keys did not move: %+v", s)
	}
}

// TestUnknownStartIsGrantedByAHigherFence guards against a renewal by the same fence to a later start of an owner, if
// the table does not tell the start that was granted the keys.
func TestUnknownStartIsGrantedByAHigherFence(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	list := b.listedUpstreams("i-s0")
	list[0].StartedMs = currentStart
	k := newLoneAssigner(t, b, time.Now, list...)
	k.table = &spans.Table{Service: "status", LastFence: 1, Spans: []spans.Span{{KeyRange: allKeys, Owner: "i-s0", Fence: 1}}}
	k.renewGrant(t.Context(), &list[0], k.table.Spans[0])
	if b.upstreams["i-s0"].Holds(0) {
		t.Error("the keys were granted to a start that may not be the one that had them")
	}
	planAndMove(t, k, list...)
	if s := k.table.Spans[0]; s.Owner != "i-s0" || s.Fence != 2 || s.Incarnation != list[0].Incarnation() {
		t.Errorf("the keys were not granted by a higher fence: %+v", s)
	}
}
