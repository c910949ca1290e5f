package leadership

import (
	"testing"
	"time"
)

// The right to act counts from the attempt that was stored, not from a later one.
func TestWritesAreToldApart(t *testing.T) {
	var w Writes
	first, second := w.Begin(start), w.Begin(at(RenewInterval))
	if first == second {
		t.Fatal("two attempts have the same number")
	}
	if sent, ok := w.Accepted(first); !ok || !sent.Equal(start) {
		t.Errorf("sent after %s, known %v", sent.Sub(start), ok)
	}
	if _, ok := w.Accepted(second); ok {
		t.Error("an attempt from before the stored one is known")
	}
	old := w.Begin(at(time.Second))
	if next := w.Begin(at(time.Second + LeaseDuration + time.Millisecond)); next <= old {
		t.Error("numbers do not rise")
	}
	if _, ok := w.Accepted(old); ok {
		t.Error("an attempt that gives no right any more is known")
	}
}
