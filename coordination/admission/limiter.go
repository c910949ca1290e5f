package admission

import (
	"context"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

// Limiter is a Queue that is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	queue *Queue
	clock func() time.Time
}

// NewLimiter returns a limiter without requests.
func NewLimiter(l Limits, clock func() time.Time) *Limiter {
	return &Limiter{queue: NewQueue(l), clock: clock}
}

// Acquire waits until a request may be sent. It returns an error of kind Overloaded if the request
// is refused. Each successful call must be paired with a call of Release.
func (l *Limiter) Acquire(ctx context.Context, i Importance, deadline time.Time) error {
	admitted := make(chan bool, 1)
	t := &Ticket{Importance: i, Deadline: deadline, Notify: func(ok bool) { admitted <- ok }}
	l.mu.Lock()
	ok, wait := l.queue.Submit(l.clock(), t)
	l.mu.Unlock()
	if !ok {
		return overloaded(wait)
	}
	select {
	case ok = <-admitted:
	case <-ctx.Done():
		ok = l.withdraw(t, admitted)
		if ok {
			l.Release(Outcome{Unsent: true})
		}
		return answer.Wrap(answer.DeadlinePassed, context.Cause(ctx))
	}
	if !ok {
		return overloaded(0)
	}
	return nil
}

// withdraw removes the ticket from the queue and reports whether it had already been admitted.
func (l *Limiter) withdraw(t *Ticket, admitted chan bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case ok := <-admitted:
		return ok
	default:
		l.queue.Withdraw(t)
		return false
	}
}

func overloaded(wait time.Duration) error {
	err := answer.New(answer.Overloaded, "the owner has no room within the deadline")
	err.RetryAfter = wait
	return err
}

// Release marks the end of an admitted request.
func (l *Limiter) Release(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Done(l.clock(), o)
}

// Load returns the limit and the numbers of requests in flight and waiting.
func (l *Limiter) Load() (limit, inflight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Limit(), l.queue.Inflight(), l.queue.Waiting()
}
