package retryafter

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestPlacesFollowRate guards against refused callers that all come back together: within any second
// no more callers with a place may come back than room becomes free.
func TestPlacesFollowRate(t *testing.T) {
	const rate, refusals = 50, 200
	rng := rand.New(rand.NewPCG(1, 2))
	var s Schedule
	var returns []time.Duration
	for range refusals {
		returns = append(returns, s.Next(start, rate, time.Minute, time.Minute, rng.Float64()))
	}
	if s.Placed != refusals || s.Unplaced != 0 {
		t.Fatalf("%d callers with a place, %d without, want %d and 0", s.Placed, s.Unplaced, refusals)
	}
	slices.Sort(returns)
	for i, first := range returns {
		n, _ := slices.BinarySearch(returns, first+time.Second)
		if n-i > rate+1 {
			t.Fatalf("%d callers come back within the second after %s, want at most %d", n-i, first, rate+1)
		}
	}
}

// TestOrderIsKept guards against callers that overtake earlier refused ones by more than one place.
func TestOrderIsKept(t *testing.T) {
	const interval = 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	var s Schedule
	previous, now := time.Time{}, start
	for range 100 {
		at := now.Add(s.Next(now, 10, time.Hour, time.Hour, rng.Float64()))
		if at.Before(previous.Add(-interval)) {
			t.Fatalf("comes back at %s, an earlier one at %s", at, previous)
		}
		previous, now = at, now.Add(10*time.Millisecond)
	}
}

// TestTimesAreBounded guards against times beyond a third of the caller's remaining time, useless
// waits, and overflow from false deadlines and rates.
func TestTimesAreBounded(t *testing.T) {
	day := 24 * time.Hour
	for _, remaining := range []time.Duration{math.MinInt64, -time.Second, 0, time.Millisecond, time.Second, 3 * day, math.MaxInt64} {
		for _, useful := range []time.Duration{math.MinInt64, 0, 200 * time.Millisecond, math.MaxInt64} {
			for _, rate := range []float64{math.NaN(), math.Inf(-1), -1, 0, 1e-300, 5, 1e300, math.Inf(1)} {
				var s Schedule
				for range 1000 {
					got := s.Next(start, rate, remaining, useful, 0.9)
					if got < minDelay || got > max(remaining/3, minDelay) || got > max(useful, minDelay) || got > maxDelay {
						t.Fatalf("remaining %s, useful %s, rate %g: %s", remaining, useful, rate, got)
					}
				}
			}
		}
		if got := Longest(remaining, 0.9); got < minDelay || got > max(remaining/3, minDelay) || got > maxDelay {
			t.Errorf("remaining %s: longest %s", remaining, got)
		}
	}
}

// TestFalseDeadlinesTakeNoPlaces guards against callers that claim to wait for days and push the
// places of all others beyond their reach: a caller takes one place, whatever its deadline.
func TestFalseDeadlinesTakeNoPlaces(t *testing.T) {
	var honest, mixed Schedule
	const rate = 100
	for i := range 20 {
		remaining := 3 * time.Second
		if i%2 == 0 {
			remaining = math.MaxInt64
		}
		honest.Next(start, rate, 3*time.Second, time.Second, 0.5)
		mixed.Next(start, rate, remaining, time.Second, 0.5)
	}
	if !honest.next.Equal(mixed.next) {
		t.Errorf("next place at %s with false deadlines, %s without", mixed.next, honest.next)
	}
}

// TestManyCallers guards against places that a flood of refusals moves into the far future: the first
// caller after the flood finds one within the time for which the flood filled the room.
func TestManyCallers(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var s Schedule
	for range 100_000 {
		s.Next(start, 10, 2500*time.Millisecond, 600*time.Millisecond, rng.Float64())
	}
	if ahead := s.next.Sub(start); ahead > time.Second {
		t.Errorf("the next place is %s away", ahead)
	}
	if s.Placed+s.Unplaced != 100_000 || s.Placed > 10 {
		t.Errorf("%d with a place, %d without", s.Placed, s.Unplaced)
	}
}

// TestScheduleRecovers guards against a moment without free room that blocks the schedule: one refusal at a
// negative rate put the next place 100 s ahead, and callers without a place came back too soon until then.
func TestScheduleRecovers(t *testing.T) {
	var s Schedule
	const remaining, useful = 2500 * time.Millisecond, time.Second
	s.Next(start, -50, remaining, useful, 0.5)
	later := start.Add(Limit(remaining))
	placed := s.Placed
	s.Next(later, 200, remaining, useful, 0.5)
	if s.Placed != placed+1 {
		t.Error("no place after the longest time of a caller")
	}
}
