package gateway

import (
	"context"
	"time"
)

const (
	// resignTimeout bounds the release of the lease at the end of a stop.
	resignTimeout = 1000 * time.Millisecond
	// handOverInterval is the minimum time between two releases of the lease because no upstream can be
	// reached: if no other gateway reaches any either, nothing is gained.
	handOverInterval = 10 * time.Second
	// resignRetryInterval is the time between attempts to release it while the store is
	// unavailable.
	resignRetryInterval = 200 * time.Millisecond
)

// resign releases the lease so that another gateway can acquire it at once. While the store is
// unavailable no gateway could acquire it, so this process keeps leading until the store is
// reachable again or ctx is about to end. Owners then have the longest possible grants when it
// stops.
func (l *leaderElector) resign(ctx context.Context) {
	l.resigning.Store(true)
	for l.cluster.isLeading() && !l.renewNow(ctx) && timeLeft(ctx) > resignTimeout {
		pause(ctx, resignRetryInterval)
	}
	l.releaseLease(ctx)
}

// handOverDue reports whether this leader should give the lease up because it reaches no upstream:
// nobody renews the grants of keys. It keeps the lease if there is no other gateway, or while the
// store is unavailable, as no gateway could acquire it.
func (l *leaderElector) handOverDue() bool {
	return l.cutOff() && l.cluster.gatewayCount() > 1 && !l.renewalOverdue() &&
		(l.handedOverAt.IsZero() || l.now().Sub(l.handedOverAt) >= handOverInterval)
}

// handOver gives the lease up so that another gateway can lead.
func (l *leaderElector) handOver(ctx context.Context) {
	l.log.Warn("giving the lease up, no upstream can be reached", "right_left_ms", l.rightLeft().Milliseconds())
	l.meters.inc(reachHandOvers)
	l.handedOverAt = l.now()
	l.releaseLease(ctx)
	// The time in which no leader is heard counts from now, also for this gateway.
	l.follower.recordLeaderHeard()
}

// timeLeft returns the time until the deadline of ctx; zero when it has ended or has none.
func timeLeft(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok || ctx.Err() != nil {
		return 0
	}
	return time.Until(end)
}

// renewNow renews the lease before that is due, and reports whether the store accepted it.
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

// releaseLease ends this process's leadership and marks the lease in the store as released.
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
	l.revokeRights()
	next, revision := l.lease, l.revision
	next.Released, next.FormerHoldsMs = true, l.formerHolds.Milliseconds(l.now(), normalHold)
	l.mu.Unlock()
	if _, err := l.store.Replace(ctx, leaseKind, leaseName, revision, next); err != nil {
		l.log.Warn("lease could not be released", "error", err)
		return
	}
	l.log.Info("lease given up", "term", next.Term)
}
