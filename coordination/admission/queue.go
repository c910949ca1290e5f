// Package admission limits the requests that one entry has in flight towards
// one upstream, and orders those that wait.
//
// The limit adapts: it grows while the upstream takes what it is given and
// shrinks when the upstream sheds. So the entries of a cell share the slots of
// an upstream without asking each other. Waiting is bounded in number, and a
// request whose deadline cannot be met is refused at once.
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
	levels
)

// Limits bound one queue.
type Limits struct {
	// MinInflight and MaxInflight bound the adaptive limit.
	MinInflight int
	MaxInflight int
	// StartInflight is the limit before anything is known.
	StartInflight int
	// MaxWaiting bounds the number of requests that wait.
	MaxWaiting int
}

const (
	// shedFactor shrinks the limit when the upstream sheds.
	shedFactor = 0.85
	// smoothing is the weight of a new sample in the mean service time.
	smoothing = 0.1
)

// Ticket is one request in the queue.
type Ticket struct {
	Importance Importance
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Notify is called once: true when the request may be sent, false when
	// it was put out in favour of a more important one.
	Notify func(bool)

	gone bool
}

// Outcome tells the queue how a request ended.
type Outcome struct {
	// Duration is the time from send to end.
	Duration time.Duration
	// Shed says that the upstream refused it for overload.
	Shed bool
	// Unsent says that it was let through but never sent.
	Unsent bool
}

// Queue decides which requests go to one upstream now. It is deterministic and
// not safe for concurrent use.
type Queue struct {
	limits   Limits
	limit    float64
	inflight int
	waiting  [levels][]*Ticket
	count    int
	mean     time.Duration
	shrunk   time.Time
}

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, limit: float64(l.StartInflight)}
}

// Limit returns the present bound on requests in flight.
func (q *Queue) Limit() int { return int(q.limit) }

// Inflight returns the number of requests sent and not ended.
func (q *Queue) Inflight() int { return q.inflight }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.count }

// Wait estimates how long a new request of the importance would wait.
func (q *Queue) Wait(i Importance) time.Duration {
	if q.inflight < q.Limit() {
		return 0
	}
	ahead := 1
	for level := i; level < levels; level++ {
		ahead += len(q.waiting[level])
	}
	return time.Duration(ahead) * q.mean / time.Duration(max(q.Limit(), 1))
}

// Submit adds a request. It returns true when the request may be sent at once or
// waits for its verdict, and false with a time to come back when it is refused.
func (q *Queue) Submit(now time.Time, t *Ticket) (bool, time.Duration) {
	if q.inflight < q.Limit() && q.count == 0 {
		q.inflight++
		t.Notify(true)
		return true, 0
	}
	wait := q.Wait(t.Importance)
	if now.Add(wait + q.mean).After(t.Deadline) {
		return false, wait
	}
	if q.count >= q.limits.MaxWaiting && !q.putOut(t.Importance) {
		return false, wait
	}
	q.waiting[t.Importance] = append(q.waiting[t.Importance], t)
	q.count++
	return true, 0
}

// putOut removes the youngest waiting request of a lower importance.
func (q *Queue) putOut(below Importance) bool {
	for level := Low; level < below; level++ {
		list := q.waiting[level]
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].gone {
				continue
			}
			q.remove(list[i])
			list[i].Notify(false)
			return true
		}
	}
	return false
}

// Withdraw takes a waiting request out, because its caller has left or its
// deadline has passed.
func (q *Queue) Withdraw(t *Ticket) {
	if !t.gone {
		q.remove(t)
	}
}

func (q *Queue) remove(t *Ticket) {
	t.gone = true
	q.count--
	list := q.waiting[t.Importance]
	for i, other := range list {
		if other == t {
			q.waiting[t.Importance] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// Done ends a request that was sent, and sends waiting ones.
func (q *Queue) Done(now time.Time, o Outcome) {
	limited := q.inflight >= q.Limit()
	q.inflight--
	switch {
	case o.Unsent:
	case o.Shed:
		q.shrink(now)
	default:
		q.observe(o.Duration)
		if limited {
			q.limit = min(q.limit+1/q.limit, float64(q.limits.MaxInflight))
		}
	}
	q.fill(now)
}

// shrink lowers the limit, at most once per mean service time: the requests
// shed together are one sign.
func (q *Queue) shrink(now time.Time) {
	if now.Sub(q.shrunk) < q.mean {
		return
	}
	q.shrunk = now
	q.limit = max(q.limit*shedFactor, float64(q.limits.MinInflight))
}

func (q *Queue) observe(took time.Duration) {
	if q.mean == 0 {
		q.mean = took
		return
	}
	q.mean += time.Duration(smoothing * float64(took-q.mean))
}

func (q *Queue) fill(now time.Time) {
	for q.inflight < q.Limit() {
		t := q.next(now)
		if t == nil {
			return
		}
		q.inflight++
		t.Notify(true)
	}
}

// next takes the oldest request of the highest importance that can still be
// answered in time.
func (q *Queue) next(now time.Time) *Ticket {
	for level := levels - 1; level >= Low; level-- {
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
