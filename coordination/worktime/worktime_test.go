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

// TestFewRunsHardlyMoveEstimate: one long run hardly moves the estimate of an upstream, many do.
func TestFewRunsHardlyMoveEstimate(t *testing.T) {
	b := NewEstimator()
	for range 200 {
		b.Add("usual", Sum{Total: 100 * ms, Runs: 1})
	}
	b.Add("once", Sum{Total: 300 * ms, Runs: 1})
	checkNear(t, "after one run of three times the mean", b.Mean("once"), 140*ms)
	for range 200 {
		b.Add("slow", Sum{Total: 300 * ms, Runs: 1})
	}
	checkNear(t, "after many", b.Mean("slow"), 290*ms)
	checkNear(t, "never seen", b.Mean("new"), b.ServiceMean())
}

// TestSlowdownShowsWithinTwentyRuns: an upstream that turns slow seems so after some twenty runs.
func TestSlowdownShowsWithinTwentyRuns(t *testing.T) {
	b := NewEstimator()
	for range 1000 {
		b.Add("a", Sum{Total: 100 * ms, Runs: 1})
		b.Add("b", Sum{Total: 100 * ms, Runs: 1})
	}
	for range 20 {
		b.Add("a", Sum{Total: 400 * ms, Runs: 1})
	}
	if got := b.Mean("a"); got < 200*ms {
		t.Errorf("%s after twenty runs of 400 ms", got)
	}
	b.Remove("a")
	checkNear(t, "after it has started again", b.Mean("a"), b.ServiceMean())
}

// TestRetainDropsRemovedUpstreams, so that a book does not grow with upstreams that are replaced.
func TestRetainDropsRemovedUpstreams(t *testing.T) {
	b := NewEstimator()
	b.Add("a", Sum{Total: 400 * ms, Runs: 4})
	b.Add("b", Sum{Total: 100 * ms, Runs: 1})
	b.Retain(func(id string) bool { return id == "b" })
	if len(b.sums) != 1 || b.Mean("b") == 0 {
		t.Errorf("kept %v", b.sums)
	}
}

// TestNoEstimateWithoutRuns: without runs there is no estimate, and what is no run is not taken.
func TestNoEstimateWithoutRuns(t *testing.T) {
	b := NewEstimator()
	b.Add("a", Sum{Total: 100 * ms})
	b.Add("a", Sum{Total: -ms, Runs: 1})
	if b.Mean("a") != 0 || b.ServiceMean() != 0 {
		t.Errorf("%s, %s", b.Mean("a"), b.ServiceMean())
	}
}

// TestSlownessIsAveragedOverMoreRuns than the time of a run: an upstream that says how slow it
// is at the moment is taken for as fast as it is in the mean.
func TestSlownessIsAveragedOverMoreRuns(t *testing.T) {
	b := NewEstimator()
	for i := range 300 {
		slowness := 1.0
		if i%50 >= 40 {
			slowness = 3
		}
		b.Add("a", Sum{Total: 100 * ms, Runs: 1, Slowness: slowness})
		b.Add("fast", Sum{Total: 100 * ms, Runs: 1, Slowness: 0.7})
	}
	// The last ten runs were in a slow moment.
	checkNear(t, "mean", b.Mean("a"), 140*ms)
	checkNear(t, "mean of a fast one", b.Mean("fast"), 71*ms)
	if got := b.Estimate("a").Slowness; got < 1.3 || got > 1.5 {
		t.Errorf("mean slowness %g", got)
	}
	b.Remove("a")
	checkNear(t, "after it has started again", b.Mean("a"), b.ServiceMean())
}
