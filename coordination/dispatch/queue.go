package dispatch

import "time"

// queue holds the requests that wait for the same upstreams, by priority and then by age. It is
// built for a small number of priorities in use at a time.
type queue struct {
	levels []level
	size   int
}

// level holds the requests of one priority, oldest first.
type level struct {
	priority int
	waiting  []*Request
}

// add appends a request to the level of its priority.
func (q *queue) add(req *Request) {
	q.size++
	i := 0
	for ; i < len(q.levels); i++ {
		if q.levels[i].priority >= req.Priority {
			break
		}
	}
	if i == len(q.levels) || q.levels[i].priority != req.Priority {
		q.levels = append(q.levels, level{})
		copy(q.levels[i+1:], q.levels[i:])
		q.levels[i] = level{priority: req.Priority}
	}
	q.levels[i].waiting = append(q.levels[i].waiting, req)
}

// remove removes a request if it is in the queue.
func (q *queue) remove(req *Request) {
	for i := range q.levels {
		if q.levels[i].priority != req.Priority {
			continue
		}
		for j, other := range q.levels[i].waiting {
			if other == req {
				q.levels[i].waiting = append(q.levels[i].waiting[:j], q.levels[i].waiting[j+1:]...)
				q.size--
				return
			}
		}
	}
}

// ahead returns how many requests would be served before a new one of the given priority.
func (q *queue) ahead(priority int) int {
	n := 0
	for i := range q.levels {
		if q.levels[i].priority <= priority {
			n += len(q.levels[i].waiting)
		}
	}
	return n
}

// forEach calls visit for each request, the most important first and then the oldest. It removes
// the request if visit returns remove, and ends if visit returns stop.
func (q *queue) forEach(visit func(*Request) (remove, stop bool)) {
	for i := range q.levels {
		waiting := q.levels[i].waiting
		kept := waiting[:0]
		for j, req := range waiting {
			remove, stop := visit(req)
			if remove {
				q.size--
			} else {
				kept = append(kept, req)
			}
			if stop && len(kept) == j+1 {
				// Nothing was removed, so the remaining requests are already in place.
				return
			}
			if stop {
				kept = append(kept, waiting[j+1:]...)
				clear(waiting[len(kept):])
				q.levels[i].waiting = kept
				return
			}
		}
		clear(waiting[len(kept):])
		q.levels[i].waiting = kept
	}
}

// expire removes the requests whose waiting time has ended and calls refuse for each.
func (q *queue) expire(now time.Time, refuse func(*Request)) {
	if q.size == 0 {
		return
	}
	q.forEach(func(req *Request) (remove, stop bool) {
		if now.Before(req.QueueUntil) {
			return false, false
		}
		refuse(req)
		return true, false
	})
}
