package gateway

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// TestRunsReachTheLeaderOnce checks that the head of a failure domain passes on the runs of its
// children exactly once, together with its own.
func TestRunsReachTheLeaderOnce(t *testing.T) {
	now := time.Now()
	head := clusterOfSize(reporttree.MinGateways, testMember("b", 0, 100), &now)
	seen := func(us uint32, runs float32) []*syncpb.Load {
		return []*syncpb.Load{{Instance: "i", WorkUs: us, Runs: runs}}
	}
	head.addRuns(seen(100, 1))
	head.addRuns(seen(400, 2))
	reported := mergeRuns(head.subtreeLoads(nil), head.takeRuns())
	if len(reported) != 1 || reported[0].Runs != 3 || reported[0].WorkUs != 300 {
		t.Errorf("reported %v", reported)
	}
	if again := mergeRuns(head.subtreeLoads(nil), head.takeRuns()); len(again) != 0 {
		t.Errorf("reported again: %v", again)
	}
}

// TestNewLeaderStartsFromFormerEstimates checks that a new leader starts with the estimates of
// the former one, and that its own are published from the next refresh on.
func TestNewLeaderStartsFromFormerEstimates(t *testing.T) {
	v := newView()
	v.setInstances(1, instances.NewView(1, []instances.Instance{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}))
	w := newWorkTimes(v, time.Now)
	w.reset(map[string]worktime.Estimate{"a": {Work: 100 * time.Millisecond, Slowness: 1}, "gone": {Work: time.Hour, Slowness: 1}})
	if got := w.mean("s", "a"); got != 100*time.Millisecond {
		t.Errorf("starts with %s", got)
	}
	w.record([]*syncpb.Load{{Instance: "b", WorkUs: 500_000, Runs: 30}})
	if w.estimates()["b"].Work != 0 {
		t.Error("an estimate is published before the refresh")
	}
	w.refresh()
	if got := w.estimates(); len(got) != 2 || got["b"].Work < 2*got["a"].Work {
		t.Errorf("published %v", got)
	}
	w.forget("s", "b")
	if got, typical := w.mean("s", "b"), w.book("s").ServiceMean(); got != typical {
		t.Errorf("estimate %s after a restart, want the typical %s", got, typical)
	}
	if sum := decodeRuns(&syncpb.Load{WorkUs: 10, Runs: 3}); sum != (worktime.Sum{Total: 30 * time.Microsecond, Runs: 3, Slowness: 3}) {
		t.Errorf("decoded as %v", sum)
	}
}
