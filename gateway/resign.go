package gateway

import (
	"context"
	"time"
)

const (
	// resignTimeout bounds giving the lease up at the end.
	resignTimeout = 1000 * time.Millisecond
	// resignPause is the time between tries to give it up while the store is away.
	resignRetryInterval = 200 * time.Millisecond
)

// resign gives the lease up, so that another gateway can take it at once. While the
// store is away nobody could take it: this process then leads on until the store is
// back or ctx is about to end, so that owners have the longest grants when it ends.
func (l *leaderElector) resign(ctx context.Context) {
	l.resigning.Store(true)
	for l.cluster.isLeading() && !l.renewNow(ctx) && timeLeft(ctx) > resignTimeout {
		pause(ctx, resignRetryInterval)
	}
	l.releaseLease(ctx)
}

// untilEnd returns the time until the deadline of ctx; zero when it has ended.
func timeLeft(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok || ctx.Err() != nil {
		return 0
	}
	return time.Until(end)
}

// renewNow renews the lease before that is due, and reports whether the store has
// taken it.
func (l *leaderElector) renewNow(ctx context.Context) bool {
	asked := l.now()
	l.mu.Lock()
	l.renewedAt = time.Time{}
	l.mu.Unlock()
	l.renewIfDue(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.renewedAt.Before(asked)
}

// giveUp ends the role and tells the store so.
func (l *leaderElector) releaseLease(ctx context.Context) {
	l.leaseWriteMu.Lock()
	defer l.leaseWriteMu.Unlock()
	if !l.cluster.isLeading() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	l.assignments.finish(ctx)
	l.cluster.setLeading(false)
	l.mu.Lock()
	l.right.Drop()
	l.promisedRight.Drop()
	next, revision := l.lease, l.revision
	l.mu.Unlock()
	next.Released = true
	if _, err := l.store.Replace(ctx, leaseKind, leaseName, revision, next); err != nil {
		l.log.Warn("lease not given up", "error", err)
		return
	}
	l.log.Info("lease given up", "term", next.Term)
}
