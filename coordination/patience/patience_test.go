package patience

import (
	"testing"
	"time"
)

// No wait may use up the time needed for a second attempt.
func TestWaitsFitRemainingTime(t *testing.T) {
	for _, remaining := range []time.Duration{0, 10 * time.Millisecond, time.Second, time.Minute} {
		if w := MaxQueueWait(time.Second, remaining); w > remaining/waitDivisor || w > time.Second {
			t.Errorf("waits %s for capacity with %s remaining", w, remaining)
		}
		if w := MaxMoveWait(time.Second, remaining); w > remaining/2 || w > time.Second {
			t.Errorf("waits %s for a move with %s remaining", w, remaining)
		}
	}
}

// During a planned move, callers retry when it is due to end; after that, when the hold of a lost
// owner expires. They are never told to retry immediately.
func TestRetryAfterNoOwner(t *testing.T) {
	for ownerless, want := range map[time.Duration]time.Duration{
		0:                      ownerLossDuration,
		100 * time.Millisecond: plannedMoveDuration - 100*time.Millisecond,
		time.Second:            ownerGapDuration - time.Second,
		time.Minute:            retryAfterNoCapacity,
	} {
		if got := RetryAfterNoOwner(ownerless); got != want {
			t.Errorf("after %s without an owner: retry after %s, want %s", ownerless, got, want)
		}
	}
}

// A request that arrives before the first configuration leaves the caller time for a second attempt,
// and a refused one comes back when the start is due to be complete, never at once.
func TestWaitsAtStart(t *testing.T) {
	for remaining, want := range map[time.Duration]time.Duration{
		0:                      0,
		300 * time.Millisecond: 100 * time.Millisecond,
		time.Minute:            configurationWait,
	} {
		if got := MaxConfigurationWait(remaining); got != want {
			t.Errorf("with %s remaining: waits %s, want %s", remaining, got, want)
		}
	}
	for since, want := range map[time.Duration]time.Duration{
		0:                      startDuration,
		600 * time.Millisecond: startDuration - 600*time.Millisecond,
		time.Hour:              minRetryAfterStart,
	} {
		if got := RetryAfterStart(since); got != want {
			t.Errorf("%s after the start: retry after %s, want %s", since, got, want)
		}
	}
}

// Callers of a key whose owner is known to be lost come back when its hold is due to have ended, also at the
// beginning, when a planned move would soon be complete.
func TestRetryAfterLostOwner(t *testing.T) {
	for _, ownerless := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		if got := RetryAfterLostOwner(ownerless); got != ownerGapDuration-ownerless {
			t.Errorf("after %s without an owner: retry after %s", ownerless, got)
		}
	}
	if got := RetryAfterLostOwner(time.Minute); got != retryAfterNoCapacity {
		t.Errorf("after the hold: retry after %s", got)
	}
}

func TestHedgeDelay(t *testing.T) {
	if HedgeDelay(time.Millisecond) != minHedgeDelay || HedgeDelay(time.Second) != hedgeFactor*time.Second {
		t.Error("hedge delay differs from the minimum or from hedgeFactor times the expected duration")
	}
}
