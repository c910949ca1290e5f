package currency

import (
	"testing"
	"time"
)

// TestLagCountsFromItsBegin checks that a lag counts from its begin, is reported once and ends.
func TestLagCountsFromItsBegin(t *testing.T) {
	var l Lag
	now := time.Unix(1000, 0)
	notices := 0
	observe := func(lacks bool) {
		if l.Observe(now, lacks) {
			notices++
		}
		now = now.Add(100 * time.Millisecond)
	}
	observe(false)
	if l.Age(now) != 0 {
		t.Errorf("a view that lacks nothing is %s behind", l.Age(now))
	}
	for range 10 {
		observe(true)
	}
	if l.Age(now) != time.Second || notices != 1 {
		t.Errorf("behind for %s and reported %d times, want 1s and once", l.Age(now), notices)
	}
	observe(false)
	if l.Age(now) != 0 {
		t.Errorf("a view that has caught up is %s behind", l.Age(now))
	}
}
