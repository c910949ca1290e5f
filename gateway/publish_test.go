package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestManyEndsOfMovesAreFewVersions: moves that end one after the other within some
// milliseconds are told together, the first at once and the last soon.
func TestManyEndsOfMovesAreFewVersions(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	v, versions := newView(), 0
	v.onSpans = func(*spans.Table) { versions++ }
	c := newCluster(&syncpb.Member{Incarnation: "a"}, http.DefaultClient, clock, nil)
	k := newKeeper(&steward{view: v, cluster: c, now: clock, log: slog.New(slog.DiscardHandler)}, "s", 1)
	var owners []ownership.Owner
	for i := range 40 {
		owners = append(owners, ownership.Owner{ID: fmt.Sprint(i), Usable: true, Keeps: true, Capacity: 1})
	}
	k.table = ownership.First("s", owners)
	moves := k.table.Clone().Spans
	for _, s := range moves {
		k.settle(s, s.Next, 0, false)
		if versions == 0 {
			t.Fatal("the first end is not told at once")
		}
		now = now.Add(time.Millisecond)
	}
	if most := len(moves)/int(publishInterval/time.Millisecond) + 1; versions > most {
		t.Errorf("%d versions of %d ends within %d ms", versions, len(moves), len(moves))
	}
	now = now.Add(publishInterval)
	k.publishPending()
	if n := v.spansOf("s").Unowned(); n != 0 {
		t.Errorf("%d keys without an owner as told", n)
	}
}
