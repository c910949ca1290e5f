package gateway

import (
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestFailingOwnerGetsNoLongerHold: once a call to an owner has failed, no call is sent to it that
// could extend its hold of the keys. When renewals were retried every 250 ms, each counted as
// possibly granted, and the keys of a silent owner were free only 4.3 s after the last of them, up
// to 0.9 s later than necessary.
func TestFailingOwnerGetsNoLongerHold(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	k := b.leader().assignments.assigner("status")
	b.upstreams["i-s0"].SetMode(instance.Unresponsive)
	b.eventually("control calls fail", func() bool { return k.failingFor("i-s0") > 0 })
	k.mu.Lock()
	// Keyed by fence: keys that were being moved to this owner are held by a different grant.
	holds := make(map[uint64]time.Time)
	for _, s := range k.table.Spans {
		if s.Owner == "i-s0" {
			holds[s.Fence] = k.holds.Until(k.now(), s.KeyRange, s.Owner)
		}
	}
	k.mu.Unlock()
	b.eventually("the lost owner owns nothing", func() bool {
		k.mu.Lock()
		for _, s := range k.table.Spans {
			before, known := holds[s.Fence]
			if s.Owner == "i-s0" && known && k.holds.Until(k.now(), s.KeyRange, s.Owner).After(before) {
				t.Errorf("span %d is held for %s longer", s.First, k.holds.Until(k.now(), s.KeyRange, s.Owner).Sub(before))
			}
		}
		k.mu.Unlock()
		return b.spansOwnedBy("i-s0") == 0
	})
}

// TestFirstLeaderWaitsForItsOwnGrantsOnly: where no assignment was stored, no keys have been granted
// before. The keys of a lost owner then wait for the end of this leader's grant only, and not for the
// longest grant that a former leader could have made.
func TestFirstLeaderWaitsForItsOwnGrantsOnly(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	k := b.leader().assignments.assigner("status")
	granted := func() (spans.Span, time.Time) {
		k.mu.Lock()
		defer k.mu.Unlock()
		s := k.table.Spans[0]
		return s, k.holds.Until(k.now(), s.KeyRange, s.Owner)
	}
	s, before := granted()
	ends, known := k.holdExpiry(s.KeyRange, s.Owner)
	if _, after := granted(); !known || ends.Before(before) || ends.After(after) {
		t.Errorf("held for %s longer than granted, known %t", ends.Sub(after), known)
	}
}

// TestGrantToNextOwnerIsRecordedSeparately: the grant of a move is recorded separately from the
// grant of the owner that the keys are taken from.
func TestGrantToNextOwnerIsRecordedSeparately(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	k := b.leader().assignments.assigner("status")
	k.mu.Lock()
	s := k.table.Spans[0]
	before := k.holds.Until(k.now(), s.KeyRange, s.Owner)
	k.mu.Unlock()
	b.upstreams["i-s1"].SetMode(instance.Unresponsive)
	if _, err := k.grant(t.Context(), s.KeyRange, k.instance("i-s1"), s.Fence+fenceIncrement, "", nil); !errors.As(err, new(*ownership.HeldError)) {
		t.Fatalf("granted to another upstream while the owner may hold the keys: %v", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if after := k.holds.Until(k.now(), s.KeyRange, s.Owner); after.Sub(before) > ownership.HoldWithMargin(holdDuration)-renewInterval {
		t.Errorf("the owner's hold grew by %s with a grant to another", after.Sub(before))
	}
}

// TestKeysOfLostOwnersAreMarkedCold: all gateways learn which keys came to their owner without a
// handover. Keys of a planned move are not marked.
func TestKeysOfLostOwnersAreMarkedCold(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.register(b.upstreams["i-s1"], "draining")
	b.eventually("the leaving upstream owns nothing", func() bool { return b.spansOwnedBy("i-s1") == 0 })
	b.ready()
	if n := coldSpans(b.gateways[0]); n > 0 {
		t.Errorf("%d spans cold after a planned move", n)
	}
	b.upstreams["i-s0"].SetMode(instance.Unresponsive)
	for _, g := range b.gateways {
		b.eventually("the cold keys are known", func() bool { return coldSpans(g) > 0 })
	}
	b.ready()
	b.mustRequest(b.gateways[0], http.MethodGet, "/status/x", 1)
}

func coldSpans(g *testGateway) int {
	n := 0
	for _, s := range g.view.spansOf("status").Spans {
		if s.Cold {
			n++
		}
	}
	return n
}

// TestColdMarksArePartOfTableDifferences: a difference between two table versions contains the cold
// marks.
func TestColdMarksArePartOfTableDifferences(t *testing.T) {
	v := newView()
	keys := spans.KeyRange{Last: spans.MaxKey}
	before := &spans.Table{Service: "a", Version: 1, LastFence: 2, Spans: []spans.Span{{KeyRange: keys, Owner: "i", Fence: 2, Cold: true}}}
	after := before.Clone()
	after.Version, after.Spans[0].Cold = 2, false
	v.setSpans(before)
	v.setSpans(after)
	other := newView()
	for base, want := range []*spans.Table{before, after} {
		if err := other.applySpans(v.spansMessage(want, uint64(base))); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Spans, other.spansOf("a").Spans); diff != "" {
			t.Error(diff)
		}
	}
}

// TestNewLeaderAssumesFormerGatewayCount: right after all gateways have restarted, few have
// reported. If only those counted, each of them would use the room and the retries of the whole
// cluster.
func TestNewLeaderAssumesFormerGatewayCount(t *testing.T) {
	now := time.Now()
	c := newCluster(&syncpb.Member{Node: "g0"}, http.DefaultClient, func() time.Time { return now }, nil)
	c.expectGateways(12)
	if n := c.gatewayCount(); n != 12 {
		t.Errorf("%d gateways before any has reported", n)
	}
	now = now.Add(expectationTTL)
	if n := c.gatewayCount(); n != 1 {
		t.Errorf("%d gateways though no other has reported for %s", n, expectationTTL)
	}
}

// TestDemandIsCountedOnce: a gateway between the leader and its children reports to each side its
// own demand and that of the other side, and nothing twice.
func TestDemandIsCountedOnce(t *testing.T) {
	now := time.Now()
	head := clusterOfSize(reporttree.MinGateways, testMember("b", 0, 100), &now)
	demand := func(n float32) []*syncpb.Demand { return []*syncpb.Demand{{Service: "a", Requests: n, Work: n / 4}} }
	head.handleReport(&syncpb.SyncRequest{Member: testMember("b", 1, 100), Demands: demand(1)}, true)
	head.handleReport(&syncpb.SyncRequest{Member: testMember("b", 2, 100), Demands: demand(2)}, true)
	head.setParentDemands(demand(10))
	own := map[string]dispatch.Demand{"a": {Requests: 4, Work: 1}}
	if got := head.subtreeDemand(own)["a"]; got != (dispatch.Demand{Requests: 7, Work: 1.75}) {
		t.Errorf("reported to the leader: %v, want 1+2+4", got)
	}
	if got := head.demandExcept("b1", own)["a"]; got != (dispatch.Demand{Requests: 16, Work: 4}) {
		t.Errorf("reported to a child: %v, want 2+4+10", got)
	}
	if got := head.demandExcept("b0", nil)["a"]; got != (dispatch.Demand{Requests: 13, Work: 3.25}) {
		t.Errorf("demand elsewhere is %v, want 1+2+10", got)
	}
	head.setParentDemands([]*syncpb.Demand{{Service: "a", Requests: float32(math.NaN())}, {Service: "a", Requests: 1, Work: -1}})
	if got := head.demandExcept("b0", nil)["a"]; got != (dispatch.Demand{Requests: 3, Work: 0.75}) {
		t.Errorf("demand elsewhere is %v with invalid messages, want 1+2", got)
	}
}
