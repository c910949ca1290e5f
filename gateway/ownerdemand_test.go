package gateway

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// TestOwnerDemandIsSummed checks that each gateway learns the demand for a contended owner at all
// others but not its own, through two levels of the tree. With its own demand counted twice, a gateway
// would admit too little; with a part missing, all would admit too much.
func TestOwnerDemandIsSummed(t *testing.T) {
	now := time.Now()
	c := newCluster(&syncpb.Member{Node: "head", Address: "1"}, nil, func() time.Time { return now }, nil)
	own := map[string]float64{"u": 1}
	report := func(node string, demand float32) {
		c.handleReport(&syncpb.SyncRequest{
			Member: &syncpb.Member{Node: node, Address: node}, OwnerDemands: []*syncpb.OwnerDemand{{Upstream: "u", Requests: demand}},
		}, true)
	}
	report("x", 20)
	report("y", 300)
	c.setParentOwnerDemand([]*syncpb.OwnerDemand{{Upstream: "u", Requests: 4000}, {Upstream: "v", Requests: 7}})
	for node, want := range map[string]float64{"x": 4301, "y": 4021, "head": 4320} {
		got := c.ownerDemandExcept(node, own)
		if diff := cmp.Diff(map[string]float64{"u": want, "v": 7}, got); diff != "" {
			t.Errorf("demand without %s: %s", node, diff)
		}
	}
	if diff := cmp.Diff(map[string]float64{"u": 4320, "v": 7}, c.ownerDemandElsewhere()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]float64{"u": 321}, c.subtreeOwnerDemand(own)); diff != "" {
		t.Error(diff)
	}
	now = now.Add(reportExpiry)
	if diff := cmp.Diff(map[string]float64{"u": 1}, c.subtreeOwnerDemand(own)); diff != "" {
		t.Errorf("after the others' reports expired: %s", diff)
	}
	c.setLeading(true)
	if got := c.ownerDemandExcept("head", own); len(got) != 0 {
		t.Errorf("demand at the leader's other gateways is %v", got)
	}
}

// TestSoleDemandIsKnown checks that the only gateway with demand for an owner learns that the others
// have none. Without that it would take their demand as unknown.
func TestSoleDemandIsKnown(t *testing.T) {
	c := newCluster(&syncpb.Member{Node: "head", Address: "1"}, nil, time.Now, nil)
	c.handleReport(&syncpb.SyncRequest{
		Member: &syncpb.Member{Node: "x", Address: "x"}, OwnerDemands: []*syncpb.OwnerDemand{{Upstream: "u", Requests: 20}},
	}, true)
	if got, known := c.ownerDemandExcept("x", nil)["u"]; !known || got != 0 {
		t.Errorf("demand elsewhere is %g, known %v", got, known)
	}
}

// TestOwnerDemandMessagesAreBounded checks that a message names the owners in most demand, and no
// more than maxOwnerDemands, both when it is sent and when it is received.
func TestOwnerDemandMessagesAreBounded(t *testing.T) {
	demand := make(map[string]float64)
	for i := range 10 * maxOwnerDemands {
		demand[fmt.Sprint("u", i)] = float64(i)
	}
	list := encodeOwnerDemands(demand)
	if len(list) != maxOwnerDemands || list[0].Requests != 10*maxOwnerDemands-1 {
		t.Errorf("%d owners, the first with %g requests a second", len(list), list[0].Requests)
	}
	var long []*syncpb.OwnerDemand
	for range 3 {
		long = append(long, list...)
	}
	v := newPeerValidator(newView(), time.Now, slog.New(slog.DiscardHandler), newMeters())
	if n := len(v.validOwnerDemands(sourceReport, long)); n != maxOwnerDemands {
		t.Errorf("%d owners accepted from one message", n)
	}
}

// TestInvalidOwnerDemandsAreDropped checks that numbers that are no rates are dropped: a negative or
// infinite demand would let gateways fill an owner or starve it.
func TestInvalidOwnerDemandsAreDropped(t *testing.T) {
	v := newPeerValidator(newView(), time.Now, slog.New(slog.DiscardHandler), newMeters())
	got := v.validOwnerDemands(sourceUpdate, []*syncpb.OwnerDemand{
		{Upstream: "", Requests: 1}, {Upstream: "a", Requests: -1}, {Upstream: "b", Requests: float32(math.Inf(1))},
		{Upstream: "c", Requests: float32(math.NaN())}, {Upstream: "d", Requests: 3},
	})
	if len(got) != 1 || got[0].Upstream != "d" {
		t.Errorf("accepted %v", got)
	}
}
