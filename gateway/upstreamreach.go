package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/reach"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file tracks whether this gateway reaches any upstream.

const (
	// reachInterval is the time between checks of the state.
	reachInterval = 50 * time.Millisecond
	// reachProbeInterval is the time between attempts to connect to an upstream while none answers.
	reachProbeInterval = 200 * time.Millisecond
)

// upstreamReach knows whether this gateway reaches upstreams. It is safe for concurrent use.
type upstreamReach struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// connect opens a connection to an upstream for later use.
	connect func(ctx context.Context, addr string) error

	mu      sync.Mutex
	tracker *reach.Tracker
	rng     *rand.Rand
	// cutSince is when the present cut was noticed.
	cutSince time.Time

	// cutOff and noNewConnections are the state at the last check.
	cutOff, noNewConnections atomic.Bool
}

func newUpstreamReach(v *view, now func() time.Time, log *slog.Logger, m *meters, rng *rand.Rand) *upstreamReach {
	return &upstreamReach{view: v, now: now, log: log, meters: m, tracker: reach.NewTracker(), rng: rng}
}

// record records an outcome of a connection to an upstream.
func (r *upstreamReach) record(addr string, o reach.Outcome, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Record(r.now(), addr, o, waited)
}

// run checks the state until ctx ends. While no upstream answers it tries to connect to one at a time.
func (r *upstreamReach) run(ctx context.Context) {
	var probed time.Time
	for ctx.Err() == nil {
		r.check()
		if r.cutOff.Load() && r.now().Sub(probed) >= reachProbeInterval {
			probed = r.now()
			r.probe(ctx)
		}
		pause(ctx, reachInterval)
	}
}

// check updates the state and logs its changes.
func (r *upstreamReach) check() {
	now := r.now()
	r.mu.Lock()
	state := r.tracker.State(now, upstreamCount(r.view.inst.Load()))
	since := r.cutSince
	if state.CutOff && !r.cutOff.Load() {
		r.cutSince = now
	}
	r.mu.Unlock()
	r.noNewConnections.Store(state.NoNewConnections)
	if r.cutOff.Swap(state.CutOff) == state.CutOff {
		return
	}
	if state.CutOff {
		r.meters.inc(reachCuts)
		r.log.Warn("no upstream answers this gateway", "no_new_connections", state.NoNewConnections)
		return
	}
	r.log.Info("upstreams answer this gateway again", "after_ms", now.Sub(since).Milliseconds())
}

// probe tries to connect to an upstream at random.
func (r *upstreamReach) probe(ctx context.Context) {
	addr := r.randomUpstream()
	if addr == "" || r.connect(ctx, addr) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Restored(r.now())
}

// randomUpstream returns the address of an upstream at random, or "" without upstreams.
func (r *upstreamReach) randomUpstream() string {
	v := r.view.inst.Load()
	n := upstreamCount(v)
	if n == 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return v.At(r.rng.IntN(n)).Address
}

// upstreamCount returns the number of upstreams in a view, which may be nil.
func upstreamCount(v *instances.View) int {
	if v == nil {
		return 0
	}
	return v.Len()
}

// updateGauges updates the gauges of the state.
func (r *upstreamReach) updateGauges() {
	r.meters.gauge(reachCutOff, boolGauge(r.cutOff.Load()))
	r.meters.gauge(reachNoNewConnections, boolGauge(r.noNewConnections.Load()))
}
