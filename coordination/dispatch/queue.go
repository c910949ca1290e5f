package dispatch

import "time"

// queue holds requests that wait for the same upstreams: by importance, then by age.
// Few priorities are in use at a time.
type queue struct {
	levels []level
	size   int
}

// level is the part of a queue of one priority, the oldest first.
type level struct {
	priority int
	wants    []*Want
}

// add appends a request to its level.
func (q *queue) add(w *Want) {
	q.size++
	i := 0
	for ; i < len(q.levels); i++ {
		if q.levels[i].priority >= w.Priority {
			break
		}
	}
	if i == len(q.levels) || q.levels[i].priority != w.Priority {
		q.levels = append(q.levels, level{})
		copy(q.levels[i+1:], q.levels[i:])
		q.levels[i] = level{priority: w.Priority}
	}
	q.levels[i].wants = append(q.levels[i].wants, w)
}

// remove takes a request out.
func (q *queue) remove(w *Want) {
	for i := range q.levels {
		if q.levels[i].priority != w.Priority {
			continue
		}
		for j, other := range q.levels[i].wants {
			if other == w {
				q.levels[i].wants = append(q.levels[i].wants[:j], q.levels[i].wants[j+1:]...)
				q.size--
				return
			}
		}
	}
}

// ahead counts the requests that go before one of the priority that comes now.
func (q *queue) ahead(priority int) int {
	n := 0
	for i := range q.levels {
		if q.levels[i].priority <= priority {
			n += len(q.levels[i].wants)
		}
	}
	return n
}

// forEach calls visit with all requests, the most important and then the oldest first,
// and takes out those for which it says so. It ends when visit says that the rest
// stays.
func (q *queue) forEach(visit func(*Want) (taken, rest bool)) {
	for i := range q.levels {
		wants := q.levels[i].wants
		kept := wants[:0]
		for j, w := range wants {
			taken, rest := visit(w)
			if taken {
				q.size--
			} else {
				kept = append(kept, w)
			}
			if rest && len(kept) == j+1 {
				// None was taken: the rest is in its place.
				return
			}
			if rest {
				kept = append(kept, wants[j+1:]...)
				clear(wants[len(kept):])
				q.levels[i].wants = kept
				return
			}
		}
		clear(wants[len(kept):])
		q.levels[i].wants = kept
	}
}

// expire takes out the requests whose time to wait is over.
func (q *queue) expire(now time.Time, refuse func(*Want)) {
	if q.size == 0 {
		return
	}
	q.forEach(func(w *Want) (taken, rest bool) {
		if now.Before(w.Until) {
			return false, false
		}
		refuse(w)
		return true, false
	})
}
