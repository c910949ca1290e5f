package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// mostGrantCalls bounds the grants that begin together. A leader renews each span once a
	// second, and after a start all at once: 1,650 calls that begin together take a machine of
	// a third of a core longer than the 250 ms that each has, all fail, are tried again
	// together, and fail again.
	maxGrantCalls = 32
	// longestTurn is how long a call keeps its turn: one that takes longer waits for an
	// upstream that does not answer, and keeps no processor busy. Five hundred silent owners
	// delay the renewals of the others by a third of a second.
	maxSlotHold = 20 * time.Millisecond
)

// turns lets so many calls begin at a time, in no order.
type callSlots chan struct{}

func newCallSlots(most int) callSlots { return make(callSlots, most) }

// take waits for a turn and returns what gives it back, which longestTurn does as well. It
// reports false when ctx has ended before.
func (t callSlots) acquire(ctx context.Context) (func(), bool) {
	select {
	case t <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	var once sync.Once
	giveBack := func() { once.Do(func() { <-t }) }
	timer := time.AfterFunc(maxSlotHold, giveBack)
	return func() {
		timer.Stop()
		giveBack()
	}, true
}
