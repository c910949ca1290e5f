// Package callslots limits how many calls start at a time. Waiting calls get slots in the order of their due
// times. A call without an answer loses its slot, as it uses no CPU while it waits.
package callslots

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A call that takes holdFactor times as long as answered calls do is assumed to be waiting
	// for an upstream that does not answer, which uses no CPU, and loses its slot. Five hundred
	// silent owners at minHold delay the renewals of the others by a third of a second.
	holdFactor = 4
	minHold    = 20 * time.Millisecond
	// callTimeWeight is the weight of an answered call in the moving average of their duration.
	callTimeWeight = 0.1
)

// Slots limits how many calls start at a time. It is safe for concurrent use.
type Slots struct {
	mu      sync.Mutex
	free    int
	size    int
	maxHold time.Duration
	waiting queue
	// arrivals counts the calls that have waited, to order those with equal due times.
	arrivals uint64
	now      func() time.Time
	// meanCallTime is the moving average of the duration of answered calls; zero before the first.
	meanCallTime time.Duration
}

// call is a call that has got a slot.
type call struct {
	slots    *Slots
	began    time.Time
	released atomic.Bool
}

// waiter is a call that waits for a slot.
type waiter struct {
	due     time.Time
	arrival uint64
	// granted is closed when the call gets a slot.
	granted chan struct{}
	// index is the position in the queue, -1 once the call has left it.
	index int
}

// New returns size slots. maxHold bounds how long a call keeps its slot, and is the hold before any call was
// answered: calls on a machine that is short of CPU take longer than minHold while they do use CPU, and
// releasing their slots starts further calls, until all of them time out. It should therefore be the timeout
// of a call.
func New(size int, maxHold time.Duration, now func() time.Time) *Slots {
	return &Slots{free: size, size: size, maxHold: maxHold, now: now}
}

// InUse returns the number of slots in use.
func (s *Slots) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size - s.free
}

// Acquire waits for a slot and returns the function that ends the call, to which it is passed whether
// the call was answered. The slot is released then or after holdTime, whichever is first. Acquire
// reports false if ctx ended first.
func (s *Slots) Acquire(ctx context.Context, due time.Time) (end func(answered bool), ok bool) {
	if !s.wait(ctx, due) {
		return nil, false
	}
	c := &call{slots: s, began: s.now()}
	time.AfterFunc(minHold, c.examine)
	return c.end, true
}

// examine releases the call's slot if it has had it for holdTime, which other calls may change
// meanwhile, and is called again otherwise.
func (c *call) examine() {
	left := c.slots.holdTime() - c.slots.now().Sub(c.began)
	switch {
	case c.released.Load():
	case left <= 0:
		c.release()
	default:
		time.AfterFunc(min(left, minHold), c.examine)
	}
}

// end records the end of a call and releases its slot if it still has it.
func (c *call) end(answered bool) {
	if answered {
		c.slots.recordAnswered(c.slots.now().Sub(c.began))
	}
	c.release()
}

func (c *call) release() {
	if c.released.CompareAndSwap(false, true) {
		c.slots.release()
	}
}

// holdTime returns how long a call keeps its slot.
func (s *Slots) holdTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanCallTime == 0 {
		return s.maxHold
	}
	return min(max(holdFactor*s.meanCallTime, minHold), s.maxHold)
}

// recordAnswered records the duration of an answered call.
func (s *Slots) recordAnswered(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanCallTime == 0 {
		s.meanCallTime = max(took, 1)
		return
	}
	s.meanCallTime += time.Duration(callTimeWeight * float64(took-s.meanCallTime))
}

// wait waits for a slot and reports whether it got one.
func (s *Slots) wait(ctx context.Context, due time.Time) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	s.arrivals++
	w := &waiter{due: due, arrival: s.arrivals, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&s.waiting, w.index)
	return false
}

// release gives a slot to the next call or makes it free.
func (s *Slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.waiting).(*waiter).granted)
}

// queue implements heap.Interface.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(a, b int) bool {
	if !q[a].due.Equal(q[b].due) {
		return q[a].due.Before(q[b].due)
	}
	return q[a].arrival < q[b].arrival
}

func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q, w.index = old[:len(old)-1], -1
	return w
}
