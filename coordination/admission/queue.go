// Package admission limits the requests that one entry has in flight to one upstream, and orders
// the requests that wait.
//
// The limit adapts: it grows while the upstream accepts requests and shrinks when the upstream
// sheds load. The entries of a cell thus share the slots of an upstream without coordination. The
// number of waiting requests is bounded, and a request that cannot meet its deadline is refused
// immediately.
package admission

import (
	"time"
)

// Importance orders requests under overload.
type Importance int

// The levels of importance, the lowest first.
const (
	Low Importance = iota
	Normal
	High
	importanceLevels
)

// Limits configures one queue.
type Limits struct {
	// MinInflight and MaxInflight bound the adaptive limit.
	MinInflight int
	MaxInflight int
	// StartInflight is the initial value of the adaptive limit.
	StartInflight int
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
}

const (
	// shedFactor is applied to the limit when the upstream sheds load.
	shedFactor = 0.85
	// smoothing is the weight of a new sample in the mean service time.
	smoothing = 0.1
)

// Ticket is one request in the queue.
type Ticket struct {
	Importance Importance
	// Deadline is when the answer is due.
	Deadline time.Time
	// Notify is called once: with true when the request may be sent, with false when it was evicted
	// in favor of a more important one or its deadline passed while it waited.
	Notify func(bool)

	removed bool
}

// Outcome describes how a request ended.
type Outcome struct {
	// Duration is the time from sending the request to its end.
	Duration time.Duration
	// Shed reports whether the upstream refused the request because of overload.
	Shed bool
	// Unsent reports whether the request was admitted but never sent.
	Unsent bool
}

// Queue decides which requests may be sent to one upstream. It is deterministic and not safe for
// concurrent use.
type Queue struct {
	limits       Limits
	limit        float64
	inflight     int
	waiting      [importanceLevels][]*Ticket
	count        int
	meanDuration time.Duration
	lastShrink   time.Time
}

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, limit: float64(l.StartInflight)}
}

// Limit returns the current bound on requests in flight.
func (q *Queue) Limit() int { return int(q.limit) }

// Inflight returns the number of admitted requests that have not ended.
func (q *Queue) Inflight() int { return q.inflight }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.count }

// Wait estimates how long a new request of the given importance would wait.
func (q *Queue) Wait(i Importance) time.Duration {
	if q.inflight < q.Limit() {
		return 0
	}
	ahead := 1
	for level := i; level < importanceLevels; level++ {
		ahead += len(q.waiting[level])
	}
	return time.Duration(ahead) * q.meanDuration / time.Duration(max(q.Limit(), 1))
}

// Submit adds a request. It returns true if the request was admitted immediately or waits for a
// call of Notify. It returns false and the estimated wait if the request is refused.
func (q *Queue) Submit(now time.Time, t *Ticket) (bool, time.Duration) {
	if q.inflight < q.Limit() && q.count == 0 {
		q.inflight++
		t.Notify(true)
		return true, 0
	}
	wait := q.Wait(t.Importance)
	if now.Add(wait + q.meanDuration).After(t.Deadline) {
		return false, wait
	}
	if q.count >= q.limits.MaxWaiting && !q.evictBelow(t.Importance) {
		return false, wait
	}
	q.waiting[t.Importance] = append(q.waiting[t.Importance], t)
	q.count++
	return true, 0
}

// evictBelow removes the newest waiting request of the lowest importance below the given one, and
// reports whether there was one.
func (q *Queue) evictBelow(below Importance) bool {
	for level := Low; level < below; level++ {
		list := q.waiting[level]
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].removed {
				continue
			}
			q.remove(list[i])
			list[i].Notify(false)
			return true
		}
	}
	return false
}

// Withdraw removes a waiting request whose caller has gone away or whose deadline has passed.
func (q *Queue) Withdraw(t *Ticket) {
	if !t.removed {
		q.remove(t)
	}
}

func (q *Queue) remove(t *Ticket) {
	t.removed = true
	q.count--
	list := q.waiting[t.Importance]
	for i, other := range list {
		if other == t {
			q.waiting[t.Importance] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// Done marks the end of an admitted request and admits waiting ones.
func (q *Queue) Done(now time.Time, o Outcome) {
	limited := q.inflight >= q.Limit()
	q.inflight--
	switch {
	case o.Unsent:
	case o.Shed:
		q.shrink(now)
	default:
		q.recordDuration(o.Duration)
		if limited {
			q.limit = min(q.limit+1/q.limit, float64(q.limits.MaxInflight))
		}
	}
	q.admitWaiting(now)
}

// shrink lowers the limit, at most once per mean service time, because requests shed together
// indicate a single overload.
func (q *Queue) shrink(now time.Time) {
	if now.Sub(q.lastShrink) < q.meanDuration {
		return
	}
	q.lastShrink = now
	q.limit = max(q.limit*shedFactor, float64(q.limits.MinInflight))
}

func (q *Queue) recordDuration(duration time.Duration) {
	if q.meanDuration == 0 {
		q.meanDuration = duration
		return
	}
	q.meanDuration += time.Duration(smoothing * float64(duration-q.meanDuration))
}

func (q *Queue) admitWaiting(now time.Time) {
	for q.inflight < q.Limit() {
		t := q.next(now)
		if t == nil {
			return
		}
		q.inflight++
		t.Notify(true)
	}
}

// next removes and returns the oldest waiting request of the highest importance whose deadline has
// not passed.
func (q *Queue) next(now time.Time) *Ticket {
	for level := importanceLevels - 1; level >= Low; level-- {
		for len(q.waiting[level]) > 0 {
			t := q.waiting[level][0]
			q.remove(t)
			if now.After(t.Deadline) {
				t.Notify(false)
				continue
			}
			return t
		}
	}
	return nil
}
