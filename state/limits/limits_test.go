package limits

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

// TestNewestWordCounts whoever tells it and in whichever order.
func TestNewestLimitWins(t *testing.T) {
	b := NewRegistry()
	for i, step := range []struct {
		l       Limit
		changed bool
	}{
		{Limit{Upstream: "u", PerSecond: 10, ReceivedAt: at(10 * ms)}, true},
		{Limit{Upstream: "u", PerSecond: 10.5, ReceivedAt: at(20 * ms)}, false},
		{Limit{Upstream: "u", PerSecond: 4, ReceivedAt: at(15 * ms)}, false},
		{Limit{Upstream: "u", PerSecond: 4, ReceivedAt: at(30 * ms)}, true},
		{Limit{Upstream: "u", Ended: true, ReceivedAt: at(40 * ms)}, true},
		{Limit{Upstream: "u", PerSecond: 4, ReceivedAt: at(35 * ms)}, false},
		{Limit{Upstream: "u", Ended: true, ReceivedAt: at(50 * ms)}, false},
		{Limit{Upstream: "u", PerSecond: 0, ReceivedAt: at(60 * ms)}, true},
		{Limit{Upstream: "u", Incarnation: 2, PerSecond: 0, ReceivedAt: at(70 * ms)}, false},
	} {
		if got := b.Update(step.l); got != step.changed {
			t.Errorf("step %d: changed %v", i, got)
		}
	}
	if got, ok := b.Get("u", 2); !ok || got != 0 {
		t.Errorf("%g, %v", got, ok)
	}
	if _, ok := b.Get("u", 3); ok {
		t.Error("the limit is another start's")
	}
}

// TestSlowDriftIsNoticed: a figure that changes by little with each answer does not stay
// what it was.
func TestGradualChangeIsReported(t *testing.T) {
	b := NewRegistry()
	changes := 0
	for i := range 100 {
		if b.Update(Limit{Upstream: "u", PerSecond: 100 - float64(i)/2, ReceivedAt: at(time.Duration(i+1) * ms)}) {
			changes++
		}
	}
	if got, _ := b.Get("u", 0); math.Abs(got-50.5) > minRelativeChange*51 || changes < 5 {
		t.Errorf("%g after %d changes, the last word is 50.5", got, changes)
	}
}

// TestEarlierAnswersEndNothing: of requests that were under way when the limit was named.
func TestResponsesToEarlierRequestsEndNoLimit(t *testing.T) {
	b := NewRegistry()
	b.Update(Limit{Upstream: "u", PerSecond: 10, ReceivedAt: at(10 * ms)})
	if b.RecordAbsent("u", 0, at(9*ms), at(12*ms)) {
		t.Error("an answer to an earlier request ends the limit")
	}
	if !b.RecordAbsent("u", 0, at(11*ms), at(13*ms)) || b.RecordAbsent("u", 0, at(14*ms), at(15*ms)) {
		t.Error("an answer to a later request ends the limit, once")
	}
	if b.RecordAbsent("other", 0, at(11*ms), at(13*ms)) {
		t.Error("an upstream that never named a limit ends none")
	}
}

// TestForget: ends are kept for a while, limits as long as the upstream is there.
func TestPrune(t *testing.T) {
	b := NewRegistry()
	b.Update(Limit{Upstream: "gone", PerSecond: 1, ReceivedAt: start})
	b.Update(Limit{Upstream: "named", PerSecond: 1, ReceivedAt: start})
	b.Update(Limit{Upstream: "ended", PerSecond: 1, ReceivedAt: start})
	b.Update(Limit{Upstream: "ended", Ended: true, ReceivedAt: at(ms)})
	there := func(id string) bool { return id != "gone" }
	b.Prune(at(endedRetention), there)
	if n := len(b.List()); n != 2 {
		t.Errorf("%d known", n)
	}
	b.Prune(at(time.Hour), there)
	want := []Limit{{Upstream: "named", PerSecond: 1, ReceivedAt: start}}
	if d := cmp.Diff(want, b.List()); d != "" {
		t.Error(d)
	}
}

// TestUnsoundLimits are no limits.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	b := NewRegistry()
	for _, l := range []Limit{
		{PerSecond: 1, ReceivedAt: start}, {Upstream: "u", PerSecond: -1, ReceivedAt: start},
		{Upstream: "u", PerSecond: math.NaN(), ReceivedAt: start}, {Upstream: "u", PerSecond: math.Inf(1), ReceivedAt: start},
	} {
		if b.Update(l) || !b.Empty() {
			t.Errorf("%v is taken over", l)
		}
	}
	for i := range 2 * maxEntries {
		b.Update(Limit{Upstream: string(rune('a' + i)), PerSecond: 1, ReceivedAt: start})
	}
	if n := len(b.List()); n > maxEntries {
		t.Errorf("%d known", n)
	}
}
