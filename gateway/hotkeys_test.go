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

// TestHotKeyLimitsReachAllGateways checks that gateways other than the leader learn of its limits
// and of their end, and that requests refused by such a limit are told to retry later than those
// refused for lack of capacity.
func TestHotKeyLimitsReachAllGateways(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	l := b.leader()
	var other *testGateway
	for _, g := range b.gateways {
		if g != l {
			other = g
		}
	}
	// The leader's own plans find no hot key and overwrite this limit.
	limited := func() bool {
		_, hot := decodeHotKeys(other.cluster.parentHotKeys())["status"][77]
		return hot
	}
	b.eventually("the limit arrives", func() bool {
		l.assignments.hotKeys.set("status", []ownership.Limit{{Key: 77}})
		return limited()
	})
	b.eventually("the end of the limit arrives", func() bool { return !limited() })
	var refusal *answer.Error
	if !errors.As(refusalError(dispatch.Decision{Refusal: dispatch.HotKey}), &refusal) || refusal.RetryAfter <= patience.RetryAfterNoCapacity() {
		t.Errorf("refused by %v", refusal)
	}
}

// TestDecodeHotKeysDropsInvalidEntries checks that only valid limits of another gateway are taken
// over.
func TestDecodeHotKeysDropsInvalidEntries(t *testing.T) {
	got := decodeHotKeys([]*syncpb.HotKeys{
		{Service: "a", Keys: []uint32{1, 2, 3, 1 << 20, 5}, Admit: []float32{0.5, -1, float32(math.NaN()), 0.5}},
	})
	if diff := cmp.Diff(admittedShares{"a": {1: 0.5}}, got); diff != "" {
		t.Error(diff)
	}
}
