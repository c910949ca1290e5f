package callslots

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const testMaxHold = 125 * time.Millisecond

// TestEndedCallWaitsForNoSlot guards against calls that wait for a slot after their context has ended.
func TestEndedCallWaitsForNoSlot(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	full := New(0, testMaxHold, time.Now)
	if _, ok := full.Acquire(ended, time.Now()); ok {
		t.Error("a slot was acquired after the context ended")
	}
	if len(full.waiting) != 0 {
		t.Error("a call that ended still waits for a slot")
	}
}

// TestSilentUpstreamsReleaseCallSlots checks that calls waiting for a response do not keep others
// from starting.
func TestSilentUpstreamsReleaseCallSlots(t *testing.T) {
	one := New(1, testMaxHold, time.Now)
	waits, ok := one.Acquire(context.Background(), time.Now())
	if !ok {
		t.Fatal("no slot")
	}
	next, ok := one.Acquire(context.Background(), time.Now())
	if !ok {
		t.Fatal("the silent call kept its slot")
	}
	// The first call must not release the slot of the second.
	waits(false)
	if one.InUse() != 1 {
		t.Error("the slot of the second call was released")
	}
	next(true)
}

// TestSlowCallsKeepTheirSlots guards against calls that lose their slots because the machine is short
// of CPU: as many again were started, and all of them timed out.
func TestSlowCallsKeepTheirSlots(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	slots := New(2, testMaxHold, func() time.Time { return now })
	if got := slots.holdTime(); got != testMaxHold {
		t.Errorf("hold before the first answer %v instead of %v", got, testMaxHold)
	}
	answerAfter := func(took time.Duration) {
		end, ok := slots.Acquire(context.Background(), now)
		if !ok {
			t.Fatal("no slot")
		}
		now = now.Add(took)
		end(true)
	}
	for range 40 {
		answerAfter(2 * time.Millisecond)
	}
	if got := slots.holdTime(); got != minHold {
		t.Errorf("hold with fast answers %v instead of %v", got, minHold)
	}
	for range 40 {
		answerAfter(60 * time.Millisecond)
	}
	if got := slots.holdTime(); got != testMaxHold {
		t.Errorf("hold with slow answers %v instead of %v", got, testMaxHold)
	}
	if end, ok := slots.Acquire(context.Background(), now); ok {
		now = now.Add(time.Hour)
		end(false)
	}
	if got := slots.holdTime(); got != testMaxHold || slots.InUse() != 0 {
		t.Errorf("an unanswered call changed the hold to %v, %d slots in use", got, slots.InUse())
	}
}

// TestSilentUpstreamsDelayOthersLittle guards against calls that wait for a response and hold up the calls
// which are answered, because these make the machine look short of CPU.
func TestSilentUpstreamsDelayOthersLittle(t *testing.T) {
	const calls, size, callTime, timeout = 500, 32, 2 * time.Millisecond, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		slots, began := New(size, testMaxHold, time.Now), time.Now()
		var all sync.WaitGroup
		var lastAnswer atomic.Int64
		for i := range 2 * calls {
			all.Go(func() {
				end, ok := slots.Acquire(t.Context(), began.Add(time.Duration(i)))
				if !ok {
					t.Error("no slot")
					return
				}
				if silent := i%2 == 0; silent {
					time.Sleep(timeout)
					end(false)
					return
				}
				time.Sleep(callTime)
				end(true)
				lastAnswer.Store(int64(time.Since(began)))
			})
		}
		all.Wait()
		t.Logf("the last answer comes after %v", time.Duration(lastAnswer.Load()))
		if got := time.Duration(lastAnswer.Load()); got > time.Second {
			t.Errorf("the last answer comes after %v, grants are renewed each second", got)
		}
	})
}

// TestCallSlotsAreGivenInOrderOfDueTimes checks that keys in demand are granted before others. Slots used
// to be given in no particular order, so after a start of all gateways callers waited for the grants of
// keys that nobody asked for.
func TestCallSlotsAreGivenInOrderOfDueTimes(t *testing.T) {
	const calls = 50
	slots, now := New(0, testMaxHold, time.Now), time.Now()
	var mu sync.Mutex
	var order []time.Duration
	var all sync.WaitGroup
	for i := range calls {
		due := time.Duration(i*7919%calls) * time.Millisecond
		all.Go(func() {
			if !slots.wait(context.Background(), now.Add(due)) {
				t.Error("no slot")
				return
			}
			mu.Lock()
			order = append(order, due)
			mu.Unlock()
			slots.release()
		})
	}
	for {
		slots.mu.Lock()
		waiting := len(slots.waiting)
		slots.mu.Unlock()
		if waiting == calls {
			break
		}
		time.Sleep(time.Millisecond)
	}
	slots.release()
	all.Wait()
	if !slices.IsSorted(order) || len(order) != calls {
		t.Errorf("slots were given in the order %v", order)
	}
}
