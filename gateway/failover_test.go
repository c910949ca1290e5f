package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// TestSuccessorFinishesAMoveInProgress: a leader granted keys to an upstream and resigned before it
// stored that the move had completed, and the upstream then leaves. The next leader must take the
// keys back from this upstream before it grants them to another. Otherwise keys had two owners for
// two seconds.
func TestSuccessorFinishesAMoveInProgress(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"reachable": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			for _, id := range []string{"i-s0", "i-s1", "i-s2"} {
				b.upstream(id, "status")
			}
			b.upstream("i-p0", "pay")
			all := spans.KeyRange{First: 0, Last: spans.MaxKey}
			b.store.Put(spansKind, "status", spans.Table{Service: "status", LastFence: 2, Version: 1 << termShift, Spans: []spans.Span{
				{KeyRange: all, Owner: "i-s0", Fence: 1, Next: "i-s1", NextFence: 2},
			}})
			owners := platform.NewOwners(pool.New(upstreamLimits, time.Now))
			to := b.upstreams["i-s1"]
			if v, err := owners.Grant(context.Background(), "i-s1", to.address, all, 2, 10*time.Second, "", nil); err != nil || v != platform.Granted {
				t.Fatalf("verdict %v, error %v", v, err)
			}
			b.register(to, "draining")
			if silent {
				to.SetMode(instance.Unresponsive)
			}
			b.gateway("g0")
			b.eventually("the keys have moved to other owners", func() bool {
				return b.leader() != nil && b.gateways[0].view.spansOf("status") != nil && b.spansOwnedBy("i-s1") == 0 && b.gateways[0].allOwned()
			})
		})
	}
}

// TestWriterNamesDifferBetweenTerms: a process that leads for a second time must not mistake a
// write of its first term for one of its own. Without the term in the writer name, the first writes
// of both terms had the same name, and a write from before the claim was mistaken for one whose
// response was lost.
func TestWriterNamesDifferBetweenTerms(t *testing.T) {
	s := &assignmentSupervisor{cluster: newCluster(&syncpb.Member{Node: "g", Incarnation: "i"}, nil, time.Now, nil), log: slog.New(slog.DiscardHandler), now: time.Now}
	writers := make(map[string]bool)
	for term := range uint64(3) {
		k, table := newKeyAssigner(s, "status", term), &spans.Table{}
		k.stamp(table)
		writers[table.Writer] = true
	}
	if len(writers) != 3 {
		t.Errorf("writers of three terms: %v", writers)
	}
}

// TestStaleWriteOfFormerLeaderIsRefused: once a new leader has claimed the stored assignment, a
// write of the former leader that is based on an older read is refused, and the former leader stops
// assigning. Otherwise keys had two owners after a zone was cut off.
func TestStaleWriteOfFormerLeaderIsRefused(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	l := b.leader()
	ctx := context.Background()
	later := newKeyAssigner(l.assignments, "status", l.cluster.knownLeader().Term+1)
	var old *spans.Table
	var revision uint64
	// The running leader may write between the read and the claim. The claim is then tried again.
	b.eventually("claimed", func() bool {
		var err error
		if old, revision, err = l.assignments.load(ctx, "status"); err != nil {
			t.Fatal(err)
		}
		return later.claim(ctx, old.Clone(), revision)
	})
	if _, err := l.assignments.save(ctx, old, revision); err == nil {
		t.Error("a write from before the claim was accepted")
	}
	l.assignments.mu.Lock()
	assigner := l.assignments.assigners["status"]
	l.assignments.mu.Unlock()
	b.upstream("i-s9", "status")
	b.eventually("the former leader's assigner has stopped", assigner.isSuperseded)
}

// TestLeaderStoppedWithoutStoreLeavesLongGrants: no gateway can acquire the lease while the store
// is unavailable, so the leader leads until the end of its stop and leaves the longest possible
// grants behind. Otherwise the grants expired 4 s after the stop, and 3,000 requests were refused.
func TestLeaderStoppedWithoutStoreLeavesLongGrants(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetAllModes(metastore.Unavailable)
	l := b.leader()
	l.stop()
	<-l.done
	held := time.Duration(0)
	for _, u := range b.upstreams {
		held = max(held, u.RemainingLease(0))
	}
	if held <= holdDuration {
		t.Errorf("the owner of key 0 holds it for only %s after the leader's stop", held)
	}
	b.store.SetAllModes(metastore.Healthy)
	b.ready()
}

// TestVotersAreInherited: the first voters of a leader are those of the former lease, and they stay
// until every grant of the former leader has expired. Otherwise a leader that knows few gateways
// and is lost at once would leave a list of voters that know nothing of the promises to the leader
// before it. Keys of a silent owner would then be given away during its grant of ten seconds.
func TestVotersAreInherited(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	self := &syncpb.Member{Node: "fresh", Address: "10.0.0.9:1", Domain: "a"}
	l := &leaderElector{now: clock, cluster: newCluster(self, nil, clock, nil)}
	former := leadership.Lease{Term: 7, Voters: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}}
	if diff := cmp.Diff(former.Voters, l.initialVoters(former)); diff != "" {
		t.Error(diff)
	}
	l.lease = leadership.Lease{Term: 8, Voters: former.Voters}
	l.right.Extend(now)
	if l.votersMayChange() {
		t.Error("the voters change before the end of the former leader's grants is known")
	}
	l.setFormerHoldDeadline(8, now.Add(ownership.HoldWithMargin(holdDuration)), false)
	if !l.votersMayChange() {
		t.Error("the voters do not change although no promises were made to the former leader")
	}
	l.setFormerHoldDeadline(8, now.Add(ownership.HoldWithMargin(holdDuration)), true)
	if l.votersMayChange() {
		t.Error("the voters change while grants made by promises to the former leader are in force")
	}
	now = now.Add(ownership.HoldWithMargin(holdDuration) + time.Millisecond)
	l.right.Extend(now)
	if !l.votersMayChange() {
		t.Error("the voters never change")
	}
	first := &leaderElector{now: clock, cluster: l.cluster}
	if diff := cmp.Diff([]string{self.Address}, first.initialVoters(leadership.Lease{})); diff != "" {
		t.Error(diff)
	}
	first.lease = leadership.Lease{Term: 1}
	first.right.Extend(now)
	first.inquire(context.Background(), leadership.Lease{}, now, 10*time.Second)
	if !first.votersMayChange() {
		t.Error("the very first leader never changes the voters that it knew at its start")
	}
}

// TestSuccessorUsesNewerPublishedTable: a successor does not repeat moves that had completed but
// were not stored yet, if the former leader published their completion to it, and drops no stored move that
// a published assignment lacks.
func TestSuccessorUsesNewerPublishedTable(t *testing.T) {
	const term = 3
	low, high := spans.KeyRange{Last: 99}, spans.KeyRange{First: 100, Last: spans.MaxKey}
	moving := spans.Span{KeyRange: low, Owner: "a", Fence: 8, Next: "b", NextFence: 9}
	moved := spans.Span{KeyRange: low, Owner: "b", Fence: 9, Incarnation: 7, Cold: true}
	unmoved := spans.Span{KeyRange: low, Owner: "a", Fence: 8}
	lost := spans.Span{KeyRange: low, Fence: 9}
	rest := spans.Span{KeyRange: high, Owner: "c", Fence: 7}
	whole := spans.Span{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "a", Fence: 8}
	table := func(term, write uint64, list ...spans.Span) *spans.Table {
		return &spans.Table{Service: "status", Version: term<<termShift | write, LastFence: 10 + write, Spans: list}
	}
	for name, c := range map[string]struct {
		published *spans.Table
		want      spans.Span
	}{
		"nothing published":                    {nil, moving},
		"newer published":                      {table(term, 8, moved, rest), moved},
		"newer published, refused":             {table(term, 8, lost, rest), lost},
		"newer published, still moving":        {table(term, 8, moving, rest), moving},
		"newer published, from before a plan":  {table(term, 8, unmoved, rest), moving},
		"newer published, from before a split": {table(term, 8, whole), moving},
		"older published":                      {table(term, 2, moved, rest), moving},
		"published in an earlier term":         {table(term-1, 9, moved, rest), moving},
	} {
		v := newView()
		if c.published != nil {
			v.setSpans(c.published)
		}
		k := &keyAssigner{assignmentSupervisor: &assignmentSupervisor{view: v}, service: "status"}
		stored := table(term, 5, moving, rest)
		got := k.newestTable(stored)
		if diff := cmp.Diff([]spans.Span{c.want, rest}, got.Spans); diff != "" || got.LastFence < stored.LastFence {
			t.Errorf("%s: last fence %d, %s", name, got.LastFence, diff)
		}
		if c.published != nil && c.want != moving && got.LastFence < c.published.LastFence {
			t.Errorf("%s: last fence %d", name, got.LastFence)
		}
	}
}

// TestStoppedLeaderStopsAssigning: after a leader has stopped or was killed, it no longer calls
// upstreams, the store or other gateways for the keys that it assigned.
func TestStoppedLeaderStopsAssigning(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*testGateway){
		"stopped": func(g *testGateway) { g.stop(); <-g.done },
		"killed":  (*testGateway).kill,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			l := b.leader()
			if l.assignments.assigner("status") == nil {
				t.Fatal("the leader runs no assigner")
			}
			end(l)
			if l.assignments.assigner("status") != nil {
				t.Fatal("it still runs an assigner")
			}
			l.assignments.workers.Wait()
		})
	}
}
