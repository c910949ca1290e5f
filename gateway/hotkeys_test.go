package gateway

import (
	"math"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// TestHotKeysAreToldToAll: gateways that do not lead refuse what the leader's limits do not
// admit, and let it through when there is no limit any more.
func TestHotKeysAreToldToAll(t *testing.T) {
	t.Parallel()
	b := standard(t)
	l := b.leader()
	var other *testGateway
	for _, g := range b.gateways {
		if g != l {
			other = g
		}
	}
	// Plans of this leader see no hot key; they are written over.
	b.eventually("a request is refused", func() bool {
		l.steward.hotKeys.set("status", []ownership.Limit{{Key: 77}})
		a := b.ask(other, http.MethodGet, "/status/x", 77)
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	})
	b.eventually("no limit any more", func() bool {
		return b.ask(other, http.MethodGet, "/status/x", 77).status == http.StatusOK
	})
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
