package gateway

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// TestRunsReachTheLeaderOnce: a head passes on what its children have seen, once, and with it
// what it has seen itself.
func TestRunsReachTheLeaderOnce(t *testing.T) {
	now := time.Now()
	head := testCluster(minTreeSize, testMember("b", 0, 100), &now)
	seen := func(us uint32, runs float32) []*syncpb.Load {
		return []*syncpb.Load{{Instance: "i", WorkUs: us, Runs: runs}}
	}
	head.keepRuns(seen(100, 1))
	head.keepRuns(seen(400, 2))
	told := withRuns(head.subtreeLoads(nil), head.takeRuns())
	if len(told) != 1 || told[0].Runs != 3 || told[0].WorkUs != 300 {
		t.Errorf("told %v", told)
	}
	if again := withRuns(head.subtreeLoads(nil), head.takeRuns()); len(again) != 0 {
		t.Errorf("told again %v", again)
	}
}

// TestEstimatesOfTheFormerLeader: a new one begins with what it was told, and all are told what it
// learns from the next refresh on.
func TestEstimatesOfTheFormerLeader(t *testing.T) {
	v := newView()
	v.setInstances(1, instances.NewView(1, []instances.Instance{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}))
	w := newWorkTimes(v, time.Now)
	w.begin(map[string]worktime.Estimate{"a": {Work: 100 * time.Millisecond, Slowness: 1}, "gone": {Work: time.Hour, Slowness: 1}})
	if got := w.of("s", "a"); got != 100*time.Millisecond {
		t.Errorf("begins with %s", got)
	}
	w.note([]*syncpb.Load{{Instance: "b", WorkUs: 500_000, Runs: 30}})
	if w.all()["b"].Work != 0 {
		t.Error("told before the refresh")
	}
	w.refresh()
	if got := w.all(); len(got) != 2 || got["b"].Work < 2*got["a"].Work {
		t.Errorf("told %v", got)
	}
	w.forget("s", "b")
	if got, typical := w.of("s", "b"), w.book("s").Typical(); got != typical {
		t.Errorf("%s after it has started again, the mean is %s", got, typical)
	}
	if sum := runsOf(&syncpb.Load{WorkUs: 10, Runs: 3}); sum != (worktime.Sum{Total: 30 * time.Microsecond, Runs: 3, Slowness: 3}) {
		t.Errorf("read as %v", sum)
	}
}
