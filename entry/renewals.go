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

// watchedUpstreams is a lease tracker for concurrent use.
type watchedUpstreams struct {
	mu   sync.Mutex
	book *lease.Tracker
}

// with runs f on the tracker.
func (w *watchedUpstreams) with(f func(*lease.Tracker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.book)
}

func (w *watchedUpstreams) lastSeen(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book.LastAnswer(id)
}

func (w *watchedUpstreams) lost(now time.Time) []lease.RemainingLease {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book.LostLeases(now)
}

func (w *watchedUpstreams) seen(now time.Time) []lease.UpstreamObservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book.Observations(now)
}

// report returns the observations for a beat.
func (w *watchedUpstreams) report(now time.Time) []*peerpb.Observation {
	seen := w.seen(now)
	out := make([]*peerpb.Observation, len(seen))
	for i, s := range seen {
		out[i] = &peerpb.Observation{
			Upstream: s.Upstream, Boot: s.Boot, SilentMs: s.Silent.Milliseconds(), Refused: s.Refused, Leaving: s.Leaving,
		}
	}
	return out
}

// renewLoop renews the leases of the upstreams of the cell. The same message
// shows whether they are alive.
func (e *Entry) renewLoop(ctx context.Context) {
	e.every(ctx, e.conf.RenewInterval.D(), func(ctx context.Context) {
		doc := e.gate.Doc()
		if doc == nil {
			return
		}
		e.watched.with(func(b *lease.Tracker) { b.Prune(doc) })
		for _, u := range doc.Upstreams {
			if c := e.pool.Get(u.ID); c != nil {
				go e.renew(ctx, u, c)
			}
		}
		seen := e.watched.seen(e.clock())
		e.control.note(func(core *controller.Core, now time.Time) {
			for _, s := range seen {
				core.OnObservation(now, e.self.ID, s.Upstream, s.Observation)
			}
		})
	})
}

func (e *Entry) renew(ctx context.Context, u cell.Upstream, c *upstreams.Upstream) {
	e.watched.mu.Lock()
	r, ok := e.watched.book.NextRenewal(e.clock(), e.gate.RightUntil(), u)
	e.watched.mu.Unlock()
	if !ok {
		return
	}
	st, err := c.Renew(ctx, r)
	e.watched.with(func(b *lease.Tracker) {
		if err != nil {
			b.RecordFailure(e.clock(), u.ID, upstreams.IsConnectionRefused(err))
			return
		}
		b.RecordAnswer(e.clock(), u.ID, st)
	})
}
