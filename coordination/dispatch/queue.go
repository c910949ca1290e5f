package dispatch

import (
	"sort"
	"time"
)

// queue holds the requests that wait for the same upstreams: by importance, and among requests of equal
// importance the one with the least slack first. It is built for a small number of priorities in use at
// a time. The service's kinds decide which importance goes first.
type queue struct {
	levels []level
	size   int
}

// level holds the requests of one priority, in the order of startBy.
type level struct {
	priority int
	waiting  []waiter
	// work is the sum of the work of those that wait.
	work float64
}

// waiter is a request that waits. The fields that the order needs are copied, because a walk over the
// requests themselves costs a cache miss for each.
type waiter struct {
	// startBy is the latest time at which the request can be sent and be answered in time.
	startBy time.Time
	// work is that of the request's route, as a factor of the service's mean.
	work float64
	req  *Request
}

// level returns the level of a priority, or nil.
func (q *queue) level(priority int) *level {
	for i := range q.levels {
		if q.levels[i].priority == priority {
			return &q.levels[i]
		}
	}
	return nil
}

// add adds a request whose startBy is set.
func (q *queue) add(req *Request) {
	q.size++
	l := q.level(req.Priority)
	if l == nil {
		i := sort.Search(len(q.levels), func(i int) bool { return q.levels[i].priority > req.Priority })
		q.levels = append(q.levels, level{})
		copy(q.levels[i+1:], q.levels[i:])
		q.levels[i] = level{priority: req.Priority}
		l = &q.levels[i]
	}
	w := waiter{startBy: req.startBy, work: req.route.Factor(), req: req}
	i := l.position(req.startBy)
	l.waiting = append(l.waiting, waiter{})
	copy(l.waiting[i+1:], l.waiting[i:])
	l.waiting[i] = w
	l.work += w.work
}

// position returns where a new request with the given startBy would be: behind those with the same one.
func (l *level) position(startBy time.Time) int {
	low, high := 0, len(l.waiting)
	for low < high {
		if mid := (low + high) / 2; l.waiting[mid].startBy.After(startBy) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// remove removes a request if it is in the queue.
func (q *queue) remove(req *Request) {
	l := q.level(req.Priority)
	if l == nil {
		return
	}
	for i := l.position(req.startBy) - 1; i >= 0 && l.waiting[i].startBy.Equal(req.startBy); i-- {
		if l.waiting[i].req == req {
			l.removeAt(i)
			q.size--
			return
		}
	}
}

// removeAt removes the request at index i.
func (l *level) removeAt(i int) {
	l.work -= l.waiting[i].work
	copy(l.waiting[i:], l.waiting[i+1:])
	l.waiting[len(l.waiting)-1] = waiter{}
	l.waiting = l.waiting[:len(l.waiting)-1]
	if len(l.waiting) == 0 {
		l.work = 0
	}
}

// ahead returns the work that would be sent before a new request, and whether there is any.
func (q *queue) ahead(k *kinds, req *Request) (work float64, found bool) {
	if q.size == 0 {
		return 0, false
	}
	for i := range q.levels {
		l := &q.levels[i]
		switch {
		case len(l.waiting) == 0:
		case l.priority == req.Priority:
			n := l.position(req.startBy)
			found = found || n > 0
			if n == len(l.waiting) {
				work += l.work
				continue
			}
			for _, w := range l.waiting[:n] {
				work += w.work
			}
		case k.before(l.priority, req.Priority):
			work, found = work+l.work, true
		}
	}
	return work, found
}

// forEach calls visit for each request in the order in which they are to be sent. It removes the request
// if visit returns remove, and ends if visit returns stop.
func (q *queue) forEach(k *kinds, visit func(*Request) (remove, stop bool)) {
	if q.size == 0 {
		return
	}
	for _, starved := range [...]bool{true, false} {
		for i := range q.levels {
			if len(q.levels[i].waiting) == 0 || k.starved(q.levels[i].priority) != starved {
				continue
			}
			if q.visitLevel(&q.levels[i], visit) {
				return
			}
		}
	}
}

// visitLevel visits the requests of one level and reports whether visit returned stop.
func (q *queue) visitLevel(l *level, visit func(*Request) (remove, stop bool)) bool {
	waiting, kept, stopped := l.waiting, 0, false
	for j := range waiting {
		remove, stop := visit(waiting[j].req)
		if remove {
			q.size--
			l.work -= waiting[j].work
		} else {
			if kept != j {
				waiting[kept] = waiting[j]
			}
			kept++
		}
		if stop {
			if kept <= j {
				kept += copy(waiting[kept:], waiting[j+1:])
			} else {
				kept = len(waiting)
			}
			stopped = true
			break
		}
	}
	clear(waiting[kept:])
	l.waiting = waiting[:kept]
	if kept == 0 {
		l.work = 0
	}
	return stopped
}

// pace is how fast a queue's requests are sent.
type pace struct {
	// saved is the work that may be sent at once, perSecond the work per second after that; zero if it
	// is unknown.
	saved, perSecond float64
}

// wait returns the time after which work is sent that has so much ahead of it.
func (p pace) wait(ahead float64) time.Duration {
	return time.Duration(max(ahead-p.saved, 0) / p.perSecond * float64(time.Second))
}

// maxShed bounds the requests that are removed at once because the queue holds too much. Each takes a
// walk over the queue; the rest follows with the next tick.
const maxShed = 64

// shed removes the requests that cannot be in time and calls refuse for each.
//
// A request whose startBy or waiting time has passed leaves itself. If one cannot be in time only because
// of the work ahead of it, the queue holds more than can be run. The request that leaves is then the one,
// of those up to there, whose caller has the most time left, because it has the most to gain from coming
// back. It returns the numbers of both.
func (q *queue) shed(now time.Time, k *kinds, p pace, refuse func(*Request)) (late, excess int) {
	q.forEach(k, func(req *Request) (remove, stop bool) {
		if now.Before(req.QueueUntil) && !req.isLate(now) {
			return false, false
		}
		late++
		refuse(req)
		return true, false
	})
	if p.perSecond <= 0 {
		return late, 0
	}
	for excess < maxShed {
		victim := q.excess(now, k, p)
		if victim == nil {
			break
		}
		q.remove(victim)
		excess++
		refuse(victim)
	}
	return late, excess
}

// excess returns the request that should leave because another cannot be in time behind the work ahead
// of it, or nil.
func (q *queue) excess(now time.Time, k *kinds, p pace) *Request {
	var victim *Request
	work, over := 0.0, false
	q.forEach(k, func(req *Request) (remove, stop bool) {
		if victim == nil || req.Deadline.After(victim.Deadline) {
			victim = req
		}
		over = req.isLate(now.Add(p.wait(work)))
		work += req.route.Factor()
		return false, over
	})
	if !over {
		return nil
	}
	return victim
}
