package currency

import (
	"testing"
	"time"
)

// TestLagEndsWithTheSourcesRevision checks that a lag counts from its begin, is reported once, and ends when
// the view has reached the source.
func TestLagEndsWithTheSourcesRevision(t *testing.T) {
	var l Lag
	now := time.Unix(1000, 0)
	notices := 0
	observe := func(own, source uint64) {
		if l.Observe(now, own, source) {
			notices++
		}
		now = now.Add(100 * time.Millisecond)
	}
	observe(5, 5)
	if l.Age(now) != 0 {
		t.Errorf("a view that lacks nothing is %s behind", l.Age(now))
	}
	for range 10 {
		observe(5, 7)
	}
	if l.Age(now) != time.Second || notices != 1 {
		t.Errorf("behind for %s and reported %d times, want 1s and once", l.Age(now), notices)
	}
	observe(7, 7)
	if l.Age(now) != 0 {
		t.Errorf("a view that has caught up is %s behind", l.Age(now))
	}
}
