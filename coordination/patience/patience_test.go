package patience

import (
	"testing"
	"time"
)

// TestWaitsFitTheTimeLeft: no wait takes the time that a second try needs.
func TestWaitsFitTheTimeLeft(t *testing.T) {
	for _, left := range []time.Duration{0, 10 * time.Millisecond, time.Second, time.Minute} {
		if w := MaxQueueWait(time.Second, left); w > left/leftParts || w > time.Second {
			t.Errorf("waits %s for room with %s left", w, left)
		}
		if w := MaxMoveWait(time.Second, left); w > left/2 || w > time.Second {
			t.Errorf("waits %s for a move with %s left", w, left)
		}
	}
}

// TestComeBackToKey: soon while a planned move goes on, when the hold of a lost owner has
// run out after that, and never at once.
func TestComeBackToKey(t *testing.T) {
	for without, want := range map[time.Duration]time.Duration{
		0:                      lostOwner,
		100 * time.Millisecond: plannedMove - 100*time.Millisecond,
		time.Second:            lostOwner - time.Second,
		time.Minute:            comeBackForRoom,
	} {
		if got := RetryAfterNoOwner(without); got != want {
			t.Errorf("after %s without an owner: come back in %s, want %s", without, got, want)
		}
	}
}

func TestBeforeHedge(t *testing.T) {
	if HedgeDelay(time.Millisecond) != hedgeLeast || HedgeDelay(time.Second) != hedgeFactor*time.Second {
		t.Error("a hedge too soon or too late")
	}
}
