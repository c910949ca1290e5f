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

// The newest limit wins, from whichever source and in whichever order limits arrive.
func TestNewestLimitWins(t *testing.T) {
	registry := NewRegistry()
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
		if got := registry.Update(step.l); got != step.changed {
			t.Errorf("step %d: changed %v", i, got)
		}
	}
	if got, ok := registry.Get("u", 2); !ok || got != 0 {
		t.Errorf("%g, %v", got, ok)
	}
	if _, ok := registry.Get("u", 3); ok {
		t.Error("the limit of another start was returned")
	}
}

// A limit that changes only slightly with each response is still updated once the sum of the
// changes is large enough.
func TestGradualChangeIsReported(t *testing.T) {
	registry := NewRegistry()
	changes := 0
	for i := range 100 {
		if registry.Update(Limit{Upstream: "u", PerSecond: 100 - float64(i)/2, ReceivedAt: at(time.Duration(i+1) * ms)}) {
			changes++
		}
	}
	if got, _ := registry.Get("u", 0); math.Abs(got-50.5) > minRelativeChange*51 || changes < 5 {
		t.Errorf("%g after %d changes, the last announced limit is 50.5", got, changes)
	}
}

// Responses to requests that were in flight when the limit was announced do not end it.
func TestResponsesToEarlierRequestsEndNoLimit(t *testing.T) {
	registry := NewRegistry()
	registry.Update(Limit{Upstream: "u", PerSecond: 10, ReceivedAt: at(10 * ms)})
	if registry.RecordAbsent("u", 0, at(9*ms), at(12*ms)) {
		t.Error("a response to an earlier request ended the limit")
	}
	if !registry.RecordAbsent("u", 0, at(11*ms), at(13*ms)) || registry.RecordAbsent("u", 0, at(14*ms), at(15*ms)) {
		t.Error("a response to a later request did not end the limit exactly once")
	}
	if registry.RecordAbsent("other", 0, at(11*ms), at(13*ms)) {
		t.Error("an upstream without a limit ended one")
	}
}

// Ended limits are kept for endedRetention, other limits as long as the upstream exists.
func TestPrune(t *testing.T) {
	registry := NewRegistry()
	registry.Update(Limit{Upstream: "gone", PerSecond: 1, ReceivedAt: start})
	registry.Update(Limit{Upstream: "named", PerSecond: 1, ReceivedAt: start})
	registry.Update(Limit{Upstream: "ended", PerSecond: 1, ReceivedAt: start})
	registry.Update(Limit{Upstream: "ended", Ended: true, ReceivedAt: at(ms)})
	exists := func(id string) bool { return id != "gone" }
	registry.Prune(at(endedRetention), exists)
	if n := len(registry.List()); n != 2 {
		t.Errorf("%d known", n)
	}
	registry.Prune(at(time.Hour), exists)
	want := []Limit{{Upstream: "named", PerSecond: 1, ReceivedAt: start}}
	if d := cmp.Diff(want, registry.List()); d != "" {
		t.Error(d)
	}
}

// Invalid limits are not recorded, and the number of entries is bounded.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	registry := NewRegistry()
	for _, l := range []Limit{
		{PerSecond: 1, ReceivedAt: start}, {Upstream: "u", PerSecond: -1, ReceivedAt: start},
		{Upstream: "u", PerSecond: math.NaN(), ReceivedAt: start}, {Upstream: "u", PerSecond: math.Inf(1), ReceivedAt: start},
	} {
		if registry.Update(l) || !registry.Empty() {
			t.Errorf("%v was recorded", l)
		}
	}
	for i := range 2 * maxEntries {
		registry.Update(Limit{Upstream: string(rune('a' + i)), PerSecond: 1, ReceivedAt: start})
	}
	if n := len(registry.List()); n > maxEntries {
		t.Errorf("%d known", n)
	}
}
