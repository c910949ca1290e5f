package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// leaseTracker wraps a lease.Tracker for concurrent use.
type leaseTracker struct {
	mu      sync.Mutex
	tracker *lease.Tracker
}

// withLock runs f on the tracker while holding the lock.
func (l *leaseTracker) withLock(f func(*lease.Tracker)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tracker)
}

func (l *leaseTracker) lastResponse(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.LastAnswer(id)
}

func (l *leaseTracker) lostLeases(now time.Time) []lease.RemainingLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.LostLeases(now)
}

func (l *leaseTracker) observations(now time.Time) []lease.UpstreamObservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Observations(now)
}

// observationsToProto returns the observations of the upstreams for a heartbeat.
func (l *leaseTracker) observationsToProto(now time.Time) []*peerpb.Observation {
	observations := l.observations(now)
	out := make([]*peerpb.Observation, len(observations))
	for i, o := range observations {
		out[i] = &peerpb.Observation{
			Upstream: o.Upstream, Boot: o.Boot, SilentMs: o.Silent.Milliseconds(), Refused: o.Refused, Leaving: o.Leaving,
		}
	}
	return out
}

// renewLoop renews the leases of the upstreams of the cell. The renewals also serve
// as health checks.
func (e *Entry) renewLoop(ctx context.Context) {
	e.every(ctx, e.conf.RenewInterval.D(), func(ctx context.Context) {
		doc := e.gate.Doc()
		if doc == nil {
			return
		}
		e.leases.withLock(func(tracker *lease.Tracker) { tracker.Prune(doc) })
		for _, u := range doc.Upstreams {
			if client := e.pool.Get(u.ID); client != nil {
				go e.renew(ctx, u, client)
			}
		}
		observations := e.leases.observations(e.clock())
		e.control.record(func(core *controller.Core, now time.Time) {
			for _, o := range observations {
				core.OnObservation(now, e.self.ID, o.Upstream, o.Observation)
			}
		})
	})
}

func (e *Entry) renew(ctx context.Context, u cell.Upstream, client *upstreams.Upstream) {
	e.leases.mu.Lock()
	r, ok := e.leases.tracker.NextRenewal(e.clock(), e.gate.RightUntil(), u)
	e.leases.mu.Unlock()
	if !ok {
		return
	}
	status, err := client.Renew(ctx, r)
	e.leases.withLock(func(tracker *lease.Tracker) {
		if err != nil {
			tracker.RecordFailure(e.clock(), u.ID, upstreams.IsConnectionRefused(err))
			return
		}
		tracker.RecordAnswer(e.clock(), u.ID, status)
	})
}
