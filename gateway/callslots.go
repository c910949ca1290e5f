package gateway

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// maxGrantCalls is the number of call slots for grants. A leader renews each span once a second,
	// and all spans at once after a start. If a leader with little CPU starts more than a thousand calls
	// together, they take longer than the timeout of each: all fail, are retried together and fail again.
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

// callSlots limits how many calls start at a time. Waiting calls get slots in the order of their due
// times. It is safe for concurrent use.
type callSlots struct {
	mu      sync.Mutex
	free    int
	size    int
	waiting slotQueue
	// arrivals counts the calls that have waited, to order those with equal due times.
	arrivals uint64
	now      func() time.Time
	// meanCallTime is the moving average of the duration of answered calls; zero before the first.
	meanCallTime time.Duration
}

// slotWaiter is a call that waits for a slot.
type slotWaiter struct {
	due     time.Time
	arrival uint64
	// granted is closed when the call gets a slot.
	granted chan struct{}
	// index is the position in the queue, -1 once the call has left it.
	index int
}

func newCallSlots(size int, now func() time.Time) *callSlots {
	return &callSlots{free: size, size: size, now: now}
}

// inUse returns the number of slots in use.
func (t *callSlots) inUse() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.size - t.free
}

// acquire waits for a slot and returns the function that ends the call, to which it is passed whether
// the call was answered. The slot is released then or after holdTime, whichever is first. acquire
// reports false if ctx ended first.
func (t *callSlots) acquire(ctx context.Context, due time.Time) (end func(answered bool), ok bool) {
	if !t.wait(ctx, due) {
		return nil, false
	}
	began := t.now()
	var once sync.Once
	release := func() { once.Do(t.release) }
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

// wait waits for a slot and reports whether it got one.
func (t *callSlots) wait(ctx context.Context, due time.Time) bool {
	t.mu.Lock()
	if t.free > 0 {
		t.free--
		t.mu.Unlock()
		return true
	}
	t.arrivals++
	w := &slotWaiter{due: due, arrival: t.arrivals, granted: make(chan struct{})}
	heap.Push(&t.waiting, w)
	t.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&t.waiting, w.index)
	return false
}

// release gives a slot to the next call or makes it free.
func (t *callSlots) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(heap.Pop(&t.waiting).(*slotWaiter).granted)
}

// slotQueue implements heap.Interface.
type slotQueue []*slotWaiter

func (q slotQueue) Len() int { return len(q) }

func (q slotQueue) Less(a, b int) bool {
	if !q[a].due.Equal(q[b].due) {
		return q[a].due.Before(q[b].due)
	}
	return q[a].arrival < q[b].arrival
}

func (q slotQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

func (q *slotQueue) Push(x any) {
	w := x.(*slotWaiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *slotQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q, w.index = old[:len(old)-1], -1
	return w
}
