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

// TestMoveCompletionsAreBatched checks that moves which complete one after the other within some
// milliseconds are published together, the first at once and the last soon after.
func TestMoveCompletionsAreBatched(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	v, versions := newView(), 0
	v.onSpans = func(*spans.Table) { versions++ }
	c := newCluster(&syncpb.Member{Incarnation: "a"}, http.DefaultClient, clock, nil)
	k := newKeyAssigner(&assignmentSupervisor{view: v, cluster: c, now: clock, log: slog.New(slog.DiscardHandler)}, "s", 1)
	var owners []ownership.Owner
	for i := range 40 {
		owners = append(owners, ownership.Owner{ID: fmt.Sprint(i), Usable: true, MayKeep: true, Capacity: 1})
	}
	k.table = ownership.InitialTable("s", owners)
	moves := k.table.Clone().Spans
	for _, s := range moves {
		k.finishMove(s, s.Next, 0, false)
		if versions == 0 {
			t.Fatal("the first completed move is not published at once")
		}
		now = now.Add(time.Millisecond)
	}
	if most := len(moves)/int(publishInterval/time.Millisecond) + 1; versions > most {
		t.Errorf("%d versions for %d completed moves within %d ms", versions, len(moves), len(moves))
	}
	now = now.Add(publishInterval)
	k.publishPending()
	if n := v.spansOf("s").UnownedKeys(); n != 0 {
		t.Errorf("%d keys without an owner in the published version", n)
	}
}

// TestOwnerVersionRateWithManyGateways checks that the publishing rate falls with the number of
// gateways, as each version is a response to each of them: about ten a second for 300 gateways,
// where one gateway would be sent fifty.
func TestOwnerVersionRateWithManyGateways(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	v, versions := newView(), 0
	v.onSpans = func(*spans.Table) { versions++ }
	c := newCluster(&syncpb.Member{Incarnation: "a"}, http.DefaultClient, clock, nil)
	c.expectGateways(300)
	c.expectedUntil = now.Add(time.Hour)
	k := newKeyAssigner(&assignmentSupervisor{view: v, cluster: c, now: clock, log: slog.New(slog.DiscardHandler)}, "s", 1)
	k.table = ownership.InitialTable("s", []ownership.Owner{{ID: "a", Usable: true, MayKeep: true, Capacity: 1}})
	for range 1000 {
		k.mu.Lock()
		k.publish()
		k.mu.Unlock()
		now = now.Add(time.Millisecond)
	}
	if versions < 10 || versions > 13 {
		t.Errorf("%d versions published in a second", versions)
	}
}

// TestDifferencesAreBuiltOnce checks that a difference is built once for all gateways that have the
// same version.
func TestDifferencesAreBuiltOnce(t *testing.T) {
	var d messageCache[*syncpb.Spans]
	made := 0
	build := func() *syncpb.Spans {
		made++
		return &syncpb.Spans{}
	}
	first := d.get(0, 5, 4, build)
	if d.get(0, 5, 4, build) != first || made != 1 {
		t.Errorf("built %d times for one base", made)
	}
	if d.get(0, 5, 3, build); made != 2 {
		t.Errorf("built %d times for two bases", made)
	}
	if d.get(0, 6, 4, build); made != 3 {
		t.Errorf("built %d times after a new version", made)
	}
}
