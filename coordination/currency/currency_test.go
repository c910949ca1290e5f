package currency

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func expectEarliest(t *testing.T, what string, tr *Tracker, now, want time.Duration) {
	t.Helper()
	if got := tr.EarliestChange(at(now)); !got.Equal(at(want)) {
		t.Errorf("%s: at %s the earliest change is at %s, want %s", what, now, got.Sub(start), want)
	}
}

func TestNothingKnownCountsAsNow(t *testing.T) {
	expectEarliest(t, "no confirmation", &Tracker{}, time.Second, time.Second)
}

// A change that arrives after a silent source counts from the begin of the silence, also if the first
// answer after it does not bring the change yet.
func TestChangeAfterGapCountsFromItsBegin(t *testing.T) {
	tr := &Tracker{}
	for d := time.Duration(0); d <= time.Second; d += 100 * time.Millisecond {
		tr.Confirm(at(d), at(d))
	}
	expectEarliest(t, "in contact", tr, 1100*time.Millisecond, time.Second)
	tr.Confirm(at(3*time.Second), at(3*time.Second))
	expectEarliest(t, "gap has just ended", tr, 3*time.Second, time.Second)
	tr.Confirm(at(3100*time.Millisecond), at(3100*time.Millisecond))
	expectEarliest(t, "within the hold", tr, 3*time.Second+gapHold-1, time.Second)
	expectEarliest(t, "after the hold", tr, 3*time.Second+gapHold, 3100*time.Millisecond)
}

func TestGapsThatFollowEachOtherAreJoined(t *testing.T) {
	tr := &Tracker{}
	tr.Confirm(at(0), at(0))
	tr.Confirm(at(time.Second), at(time.Second))
	tr.Confirm(at(1450*time.Millisecond), at(1450*time.Millisecond))
	expectEarliest(t, "second gap", tr, 1500*time.Millisecond, 0)
}

// A source that states late that it may lack changes withdraws what it stated before.
func TestDoubtWithdrawsConfirmation(t *testing.T) {
	tr := &Tracker{}
	tr.Confirm(at(time.Second), at(time.Second))
	tr.Doubt(at(2*time.Second), at(900*time.Millisecond))
	expectEarliest(t, "no doubt within the interval of reports", tr, 2*time.Second, time.Second)
	tr.Doubt(at(2*time.Second), at(100*time.Millisecond))
	expectEarliest(t, "doubt", tr, 2*time.Second, 100*time.Millisecond)
	tr.Extend(at(2 * time.Second))
	expectEarliest(t, "doubt holds", tr, 2100*time.Millisecond, 100*time.Millisecond)
}

func TestExtendLeavesNoGap(t *testing.T) {
	tr := &Tracker{}
	tr.Extend(at(time.Second))
	expectEarliest(t, "nothing to extend", tr, 2*time.Second, 2*time.Second)
	tr.Confirm(at(0), at(0))
	tr.Extend(at(1200 * time.Millisecond))
	expectEarliest(t, "extended", tr, 1200*time.Millisecond, 1200*time.Millisecond)
	tr.Confirm(at(1300*time.Millisecond), at(1100*time.Millisecond))
	expectEarliest(t, "an older confirmation changes nothing", tr, 1300*time.Millisecond, 1200*time.Millisecond)
}
