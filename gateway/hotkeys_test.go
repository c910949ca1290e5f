package gateway

import (
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// TestHotKeysAreToldToAll: gateways that do not lead hear of the leader's limits, and when
// there is none any more; what is refused by them may come back later than for want of room.
func TestHotKeysAreToldToAll(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	l := b.leader()
	var other *testGateway
	for _, g := range b.gateways {
		if g != l {
			other = g
		}
	}
	// Plans of this leader see no hot key; they are written over.
	told := func() bool {
		_, hot := admitted(other.cluster.hotKeysAbove())["status"][77]
		return hot
	}
	b.eventually("the limit is told", func() bool {
		l.steward.hotKeys.set("status", []ownership.Limit{{Key: 77}})
		return told()
	})
	b.eventually("no limit any more", func() bool { return !told() })
	var refusal *answer.Error
	if !errors.As(refusalError(dispatch.HotKey), &refusal) || refusal.RetryAfter <= patience.RetryAfterNoCapacity() {
		t.Errorf("refused by %v", refusal)
	}
}

// TestAdmittedTakesWhatCanBe of what another gateway tells.
func TestAdmittedTakesWhatCanBe(t *testing.T) {
	got := admitted([]*syncpb.HotKeys{
		{Service: "a", Keys: []uint32{1, 2, 3, 1 << 20, 5}, Admit: []float32{0.5, -1, float32(math.NaN()), 0.5}},
	})
	if diff := cmp.Diff(admits{"a": {1: 0.5}}, got); diff != "" {
		t.Error(diff)
	}
}
