package lab

import (
	"container/heap"
	"time"
)

// start is the wall-clock time at which every simulation begins; the decision packages take a
// time.Time.
var start = time.Unix(0, 0)

// event is an action scheduled for a point in virtual time. Events that are due at the same time
// run in the order of seq.
type event struct {
	due    time.Duration
	seq    uint64
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// engine is the virtual clock with its event queue.
type engine struct {
	queue   eventQueue
	elapsed time.Duration
	seq     uint64
}

// now returns the virtual time as a time.Time, as the decision packages expect it.
func (e *engine) now() time.Time { return start.Add(e.elapsed) }

// after schedules do to run when d has elapsed.
func (e *engine) after(d time.Duration, do func()) {
	e.seq++
	heap.Push(&e.queue, event{due: e.elapsed + max(d, 0), seq: e.seq, action: do})
}

// runUntil processes all events that are due by the given time.
func (e *engine) runUntil(until time.Duration) {
	for len(e.queue) > 0 && e.queue[0].due <= until {
		next := heap.Pop(&e.queue).(event)
		e.elapsed = next.due
		next.action()
	}
	e.elapsed = until
}
