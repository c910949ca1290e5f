package gateway

import (
	"context"
	"sync"
	"time"
)

// This file handles the wake-up of a gateway's machine from a suspension. Leases and rights need
// no handling here: they are measured by a clock that counts the time of suspensions.

// handleWakeUp is called after the machine was suspended for the given time.
func (g *Gateway) handleWakeUp(length time.Duration) {
	g.meters.inc(clockSuspensions)
	g.meters.add(clockSuspended, int(length.Milliseconds()))
	g.log.Warn("machine was suspended", "for_ms", length.Milliseconds())
	// The remote ends may have dropped their connections during the suspension. A request that
	// cannot be repeated must not be the first one sent over such a connection.
	g.conns.CloseIdle()
	g.storeCalls.conns.CloseIdle()
	g.cluster.http.CloseIdleConnections()
	// Timers have stood still as well, so requests whose deadline has passed are ended now.
	g.proxy.openRequests.cancelOverdue(g.now())
}

// openRequests are the requests in progress at this gateway. It is safe for concurrent use.
type openRequests struct {
	mu      sync.Mutex
	cancels map[*request]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{cancels: make(map[*request]context.CancelCauseFunc)}
}

// add registers a request. The returned context ends with ctx, or when cancelOverdue finds that
// the request's deadline has passed during a suspension. The returned function removes the
// request.
func (o *openRequests) add(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	o.mu.Lock()
	o.cancels[q] = end
	o.mu.Unlock()
	return ctx, func() {
		o.mu.Lock()
		delete(o.cancels, q)
		o.mu.Unlock()
		end(nil)
	}
}

// count returns the number of requests in progress.
func (o *openRequests) count() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(len(o.cancels))
}

// cancelOverdue cancels the requests whose deadline has passed.
func (o *openRequests) cancelOverdue(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for q, end := range o.cancels {
		if now.After(q.deadline) {
			end(context.DeadlineExceeded)
		}
	}
}
