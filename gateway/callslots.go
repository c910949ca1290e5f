package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// maxGrantCalls is the number of call slots for grants. A leader renews each span once a second,
	// and all spans at once after a start. 1,650 calls started together take longer on a machine
	// with a third of a core than the 250 ms timeout of each: all fail, are retried together and
	// fail again.
	maxGrantCalls = 32
	// A call that takes slotHoldFactor times as long as answered calls do is assumed to be waiting
	// for an upstream that does not answer, which uses no CPU, and loses its slot. Five hundred
	// silent owners at minSlotHold delay the renewals of the others by a third of a second.
	slotHoldFactor = 4
	minSlotHold    = 20 * time.Millisecond
	// maxSlotHold is also the hold before any call was answered. Calls on a machine that is short of
	// CPU take longer than minSlotHold while they do use CPU: releasing their slots starts further
	// calls, until all of them time out.
	maxSlotHold = grantTimeout / 2
	// callTimeWeight is the weight of an answered call in the moving average of their duration.
	callTimeWeight = 0.1
)

// callSlots limits how many calls start at a time. Slots are given in no particular order.
type callSlots struct {
	slots chan struct{}
	now   func() time.Time

	mu sync.Mutex
	// meanCallTime is the moving average of the duration of answered calls; zero before the first.
	meanCallTime time.Duration
}

func newCallSlots(size int, now func() time.Time) *callSlots {
	return &callSlots{slots: make(chan struct{}, size), now: now}
}

// inUse returns how many slots are taken.
func (t *callSlots) inUse() int { return len(t.slots) }

// acquire waits for a slot and returns the function that ends the call, to which it is passed whether
// the call was answered. The slot is released then or after holdTime, whichever is first. acquire
// reports false if ctx ended first.
func (t *callSlots) acquire(ctx context.Context) (end func(answered bool), ok bool) {
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	began := t.now()
	var once sync.Once
	release := func() { once.Do(func() { <-t.slots }) }
	timer := time.AfterFunc(t.holdTime(), release)
	return func(answered bool) {
		timer.Stop()
		if answered {
			t.recordAnswered(t.now().Sub(began))
		}
		release()
	}, true
}

// holdTime returns how long a call keeps its slot.
func (t *callSlots) holdTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.meanCallTime == 0 {
		return maxSlotHold
	}
	return min(max(slotHoldFactor*t.meanCallTime, minSlotHold), maxSlotHold)
}

// recordAnswered records the duration of an answered call.
func (t *callSlots) recordAnswered(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.meanCallTime == 0 {
		t.meanCallTime = max(took, 1)
		return
	}
	t.meanCallTime += time.Duration(callTimeWeight * float64(took-t.meanCallTime))
}
