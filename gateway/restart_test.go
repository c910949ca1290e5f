package gateway

import (
	"io"
	"log/slog"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tests upstreams that restart under the same ID, and invalid entries and reports about
// upstreams.

// newClusterWithStartTimes returns a test cluster whose keyed upstreams report when they started.
func newClusterWithStartTimes(t *testing.T) *testCluster {
	t.Helper()
	b := newTestCluster(t)
	for _, id := range []string{"i-s0", "i-s1", "i-s2"} {
		b.startUpstream(id, "status", 1_000_000)
	}
	for i := range 3 {
		b.gateway([]string{"g0", "g1", "g2"}[i])
	}
	b.ready()
	return b
}

// TestRestartedUpstreamKeepsItsKeys checks that the keys of a restarted upstream are granted to
// it again by higher fences, and that no keys move elsewhere.
func TestRestartedUpstreamKeepsItsKeys(t *testing.T) {
	t.Parallel()
	b := newClusterWithStartTimes(t)
	before := b.gateways[0].view.spansOf("status")
	now := b.restart(b.upstreams["i-s0"])
	granted := instances.Instance{ID: now.ID, StartedMs: now.born}
	b.eventually("its keys are granted to it again", func() bool {
		for _, s := range b.gateways[2].view.spansOf("status").Spans {
			if s.Owner == now.ID && s.Incarnation != granted.Incarnation() {
				return false
			}
		}
		return b.gateways[2].allOwned()
	})
	after := b.gateways[2].view.spansOf("status")
	for _, s := range before.Spans {
		for key := uint32(s.First); key <= uint32(s.Last); key += 1024 {
			if got := after.Find(uint16(key)); got.Owner != s.Owner || s.Owner == now.ID && got.Fence <= s.Fence {
				t.Fatalf("key %d of %s by fence %d is with %s by fence %d", key, s.Owner, s.Fence, got.Owner, got.Fence)
			}
		}
	}
	for key := 0; key <= spans.MaxKey; key += 6553 {
		b.mustRequest(b.gateways[1], http.MethodGet, "/status/x", key)
	}
}

// TestNextLeaderDetectsRestart restarts an upstream while there is no leader. The next leader
// knows from the stored assignment which incarnation held the keys.
func TestNextLeaderDetectsRestart(t *testing.T) {
	t.Parallel()
	b := newClusterWithStartTimes(t)
	b.eventually("the assignment is saved", func() bool {
		var stored spans.Table
		err := platform.Decode(platform.Object{Spec: b.store.Spec(spansKind, "status")}, &stored)
		return err == nil && stored.UnownedKeys() == 0
	})
	for _, g := range b.gateways {
		g.kill()
	}
	now := b.restart(b.upstreams["i-s0"])
	granted := instances.Instance{ID: now.ID, StartedMs: now.born}
	g := b.gateway("g9")
	b.eventually("granted to the new incarnation", func() bool {
		table := g.view.spansOf("status")
		if table == nil {
			return false
		}
		for _, s := range table.Spans {
			if s.Owner == now.ID && s.Incarnation == granted.Incarnation() && !s.Moving() {
				return true
			}
		}
		return false
	})
	b.ready()
}

// TestMalformedEntryNamesNoUpstream checks that a malformed entry in the store names no upstream
// and is logged and counted once, that other entries stay in effect, and that the upstream
// returns once its entry is valid.
func TestMalformedEntryNamesNoUpstream(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	l := b.leader()
	b.store.Put(platform.InstancesKind, "i-odd", rawJSON(`"\u0000 not an entry"`))
	b.store.Put(platform.InstancesKind, "i-p0", rawJSON(`{"address":7}`))
	b.eventually("the upstream of the malformed entry leaves", func() bool {
		one := b.gateways[2].view.inst.Load().Get("i-p0")
		return one == nil || one.Leaving
	})
	if n := l.meters.counter(fillPattern(upstreamsInvalid, sourceEntry)).Count(); n != 2 {
		t.Errorf("%d malformed entries counted", n)
	}
	if v := b.gateways[2].view.inst.Load(); v.Get("i-odd") != nil || v.Get("i-p1") == nil {
		t.Error("a malformed entry names an upstream, or a valid one is lost")
	}
	b.mustRequest(b.gateways[0], http.MethodGet, "/read/x", -1)
	b.register(b.upstreams["i-p0"], "ready")
	b.eventually("the upstream is back", func() bool {
		one := b.gateways[2].view.inst.Load().Get("i-p0")
		return one != nil && !one.Leaving
	})
}

// TestPeerValidatorDropsInvalidReports checks that invalid reports are dropped, counted and logged
// once, and that loads of former incarnations are dropped.
func TestPeerValidatorDropsInvalidReports(t *testing.T) {
	now := time.Now()
	v, m := newView(), newMeters()
	one := instances.Instance{ID: "i", Service: "s", Address: "10.0.0.1:1", StartedMs: 5}
	v.setInstances(1, instances.NewView(1, []instances.Instance{one}))
	s := newPeerValidator(v, func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)), m)
	former := instances.Instance{StartedMs: 4}
	kept := s.filterLoads([]*syncpb.Load{
		{Instance: "i", Incarnation: uint32(one.Incarnation()), Inflight: 1},
		{Instance: "i", Incarnation: uint32(former.Incarnation()), Inflight: 2},
		{Instance: "i", Inflight: 3},
		{Instance: "i", Inflight: float32(math.NaN())},
		{Instance: "other", Incarnation: 9, Inflight: 4},
	})
	sum := float32(0)
	for _, l := range kept {
		sum += l.Inflight
	}
	if sum != 1+3+4 {
		t.Errorf("the sum of the loads kept is %v", sum)
	}
	update := &syncpb.Instances{List: []*syncpb.Instance{
		{Id: "a", Service: "s", Address: "10.0.0.1:1", BornMs: uint64(now.UnixMilli())},
		{Id: "b", Service: "s", Address: "10.0.0.1:2", BornMs: uint64(now.Add(2 * maxStartAhead).UnixMilli())},
		{Id: "c", Service: "s"},
	}}
	s.filterInstances(update)
	if len(update.List) != 1 || update.List[0].Id != "a" {
		t.Errorf("kept %v", update.List)
	}
	if n := m.counter(fillPattern(upstreamsInvalid, sourceUpdate)).Count(); n != 2 {
		t.Errorf("%d invalid instances counted", n)
	}
	if n := m.counter(fillPattern(upstreamsInvalid, sourceReport)).Count(); n != 1 {
		t.Errorf("%d invalid reports counted", n)
	}
}

// maxStartAhead is how far in the future the start time of an upstream may be.
const maxStartAhead = 24 * time.Hour
