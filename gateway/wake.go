package gateway

import (
	"context"
	"sync"
	"time"
)

// This file is what a gateway does when its machine wakes up from a suspension. Rights need
// nothing here: they go by a clock that has counted the time.

// woken is called after a suspension of the length.
func (g *Gateway) woken(length time.Duration) {
	g.meters.inc(clockSuspensions)
	g.meters.add(clockSuspended, int(length.Milliseconds()))
	g.log.Warn("machine was suspended", "for_ms", length.Milliseconds())
	// The other sides may have dropped connections meanwhile, and what cannot be repeated must not
	// be the first to find out.
	g.conns.Forget()
	g.storeCalls.conns.Forget()
	g.cluster.http.CloseIdleConnections()
	// Timers have stood still as well: requests whose time has gone are answered now.
	g.proxy.openRequests.endOverdue(g.now())
}

// openRequests are those that this gateway works on. It is safe for concurrent use.
type openRequests struct {
	mu   sync.Mutex
	ends map[*request]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{ends: make(map[*request]context.CancelCauseFunc)}
}

// add returns a context that ends with that of a request, or when its deadline has passed in a
// suspension.
func (o *openRequests) add(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	o.mu.Lock()
	o.ends[q] = end
	o.mu.Unlock()
	return ctx, func() {
		o.mu.Lock()
		delete(o.ends, q)
		o.mu.Unlock()
		end(nil)
	}
}

// endOverdue ends the work on requests whose deadline has passed.
func (o *openRequests) endOverdue(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for q, end := range o.ends {
		if now.After(q.deadline) {
			end(context.DeadlineExceeded)
		}
	}
}
