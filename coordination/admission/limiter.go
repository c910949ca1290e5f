package admission

import (
	"context"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

// Limiter is a Queue for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	queue *Queue
	clock func() time.Time
}

// NewLimiter returns a limiter without requests.
func NewLimiter(l Limits, clock func() time.Time) *Limiter {
	return &Limiter{queue: NewQueue(l), clock: clock}
}

// Acquire waits until a request may be sent. An error of kind Overloaded says
// that it was refused. Every success needs one Release.
func (l *Limiter) Acquire(ctx context.Context, i Importance, deadline time.Time) error {
	verdict := make(chan bool, 1)
	t := &Ticket{Importance: i, Deadline: deadline, Notify: func(ok bool) { verdict <- ok }}
	l.mu.Lock()
	ok, wait := l.queue.Submit(l.clock(), t)
	l.mu.Unlock()
	if !ok {
		return overloaded(wait)
	}
	select {
	case ok = <-verdict:
	case <-ctx.Done():
		ok = l.withdraw(t, verdict)
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

// withdraw takes the ticket out and reports whether it had been let through.
func (l *Limiter) withdraw(t *Ticket, verdict chan bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case ok := <-verdict:
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

// Release ends a request that was sent.
func (l *Limiter) Release(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Done(l.clock(), o)
}

// Load returns the limit and the requests in flight and waiting.
func (l *Limiter) Load() (limit, inflight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Limit(), l.queue.Inflight(), l.queue.Waiting()
}
