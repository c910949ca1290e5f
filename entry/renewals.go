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
func (w *leaseTracker) withLock(f func(*lease.Tracker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.tracker)
}

func (w *leaseTracker) lastAnswer(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.LastAnswer(id)
}

func (w *leaseTracker) lostLeases(now time.Time) []lease.RemainingLease {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.LostLeases(now)
}

func (w *leaseTracker) observations(now time.Time) []lease.UpstreamObservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Observations(now)
}

// observationsToProto returns the observations of the upstreams for a beat.
func (w *leaseTracker) observationsToProto(now time.Time) []*peerpb.Observation {
	observations := w.observations(now)
	out := make([]*peerpb.Observation, len(observations))
	for i, s := range observations {
		out[i] = &peerpb.Observation{
			Upstream: s.Upstream, Boot: s.Boot, SilentMs: s.Silent.Milliseconds(), Refused: s.Refused, Leaving: s.Leaving,
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
			for _, s := range observations {
				core.OnObservation(now, e.self.ID, s.Upstream, s.Observation)
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
	st, err := client.Renew(ctx, r)
	e.leases.withLock(func(tracker *lease.Tracker) {
		if err != nil {
			tracker.RecordFailure(e.clock(), u.ID, upstreams.IsConnectionRefused(err))
			return
		}
		tracker.RecordAnswer(e.clock(), u.ID, st)
	})
}
