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
	// maxSlotHold is how long a call keeps its slot. A call that takes longer is waiting for an
	// upstream that does not answer and uses no CPU. Five hundred silent owners delay the renewals
	// of the others by a third of a second.
	maxSlotHold = 20 * time.Millisecond
)

// callSlots limits how many calls start at a time. Slots are given in no particular order.
type callSlots chan struct{}

func newCallSlots(size int) callSlots { return make(callSlots, size) }

// acquire waits for a slot and returns the function that releases it. The slot is also released
// after maxSlotHold. acquire reports false if ctx ended first.
func (t callSlots) acquire(ctx context.Context) (func(), bool) {
	select {
	case t <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	var once sync.Once
	release := func() { once.Do(func() { <-t }) }
	timer := time.AfterFunc(maxSlotHold, release)
	return func() {
		timer.Stop()
		release()
	}, true
}
