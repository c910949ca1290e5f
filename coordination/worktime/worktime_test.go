package worktime

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if diff := got - want; diff > want/20 || diff < -want/20 {
		t.Errorf("%s: %s, want about %s", what, got, want)
	}
}

// TestFewRunsHardlyMoveEstimate checks that one long run hardly changes the estimate of an
// upstream and that many long runs do.
func TestFewRunsHardlyMoveEstimate(t *testing.T) {
	e := NewEstimator()
	for range 200 {
		e.Add("usual", Sum{Total: 100 * ms, Runs: 1})
	}
	e.Add("once", Sum{Total: 300 * ms, Runs: 1})
	checkNear(t, "after one run of three times the mean", e.Mean("once"), 140*ms)
	for range 200 {
		e.Add("slow", Sum{Total: 300 * ms, Runs: 1})
	}
	checkNear(t, "after many long runs", e.Mean("slow"), 290*ms)
	checkNear(t, "without runs", e.Mean("new"), e.ServiceMean())
}

// TestSlowdownShowsWithinTwentyRuns checks that the estimate of an upstream that becomes slow has
// followed after 20 runs, and that Remove resets it.
func TestSlowdownShowsWithinTwentyRuns(t *testing.T) {
	e := NewEstimator()
	for range 1000 {
		e.Add("a", Sum{Total: 100 * ms, Runs: 1})
		e.Add("b", Sum{Total: 100 * ms, Runs: 1})
	}
	for range 20 {
		e.Add("a", Sum{Total: 400 * ms, Runs: 1})
	}
	if got := e.Mean("a"); got < 200*ms {
		t.Errorf("estimate %s after 20 runs of 400 ms", got)
	}
	e.Remove("a")
	checkNear(t, "after removal", e.Mean("a"), e.ServiceMean())
}

// TestRetainDropsRemovedUpstreams guards against an estimator that grows as upstreams are
// replaced.
func TestRetainDropsRemovedUpstreams(t *testing.T) {
	e := NewEstimator()
	e.Add("a", Sum{Total: 400 * ms, Runs: 4})
	e.Add("b", Sum{Total: 100 * ms, Runs: 1})
	e.Retain(func(id string) bool { return id == "b" })
	if len(e.sums) != 1 || e.Mean("b") == 0 {
		t.Errorf("remaining sums %v", e.sums)
	}
}

// TestNoEstimateWithoutRuns checks that there is no estimate without runs and that invalid sums
// are ignored.
func TestNoEstimateWithoutRuns(t *testing.T) {
	e := NewEstimator()
	e.Add("a", Sum{Total: 100 * ms})
	e.Add("a", Sum{Total: -ms, Runs: 1})
	if e.Mean("a") != 0 || e.ServiceMean() != 0 {
		t.Errorf("upstream mean %s, service mean %s, want none", e.Mean("a"), e.ServiceMean())
	}
}

// TestSlownessIsAveragedOverMoreRuns guards against an estimate that follows the momentary
// slowness: the slowness is averaged over more runs than the run time.
func TestSlownessIsAveragedOverMoreRuns(t *testing.T) {
	e := NewEstimator()
	for i := range 300 {
		slowness := 1.0
		if i%50 >= 40 {
			slowness = 3
		}
		e.Add("a", Sum{Total: 100 * ms, Runs: 1, Slowness: slowness})
		e.Add("fast", Sum{Total: 100 * ms, Runs: 1, Slowness: 0.7})
	}
	// The last ten runs had a slowness of 3.
	checkNear(t, "mean", e.Mean("a"), 140*ms)
	checkNear(t, "mean of a fast upstream", e.Mean("fast"), 71*ms)
	if got := e.Estimate("a").Slowness; got < 1.3 || got > 1.5 {
		t.Errorf("mean slowness %g, want 1.3 to 1.5", got)
	}
	e.Remove("a")
	checkNear(t, "after removal", e.Mean("a"), e.ServiceMean())
}
