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
	// reachProbeDuration is how long a connection must last to show that the link works: where links are
	// cut, some devices accept connections and reset them.
	reachProbeDuration = 50 * time.Millisecond
	// reachProbeInterval is the time between attempts to connect to upstreams while none answers.
	reachProbeInterval = 200 * time.Millisecond
	// reachProbes is the number of upstreams that are connected to at a time. It is more than
	// reach.MinFailing, as requests may have ended most upstreams of a service.
	reachProbes = 8
)

// upstreamReach knows whether this gateway reaches upstreams. It is safe for concurrent use.
type upstreamReach struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// probeLink opens a connection to an upstream and checks that it lasts.
	probeLink func(ctx context.Context, addr string) error
	// onCutOff is called when this gateway has noticed that it is cut off, with the time of the last
	// answer of an upstream.
	onCutOff func(lastAnswer time.Time)

	mu      sync.Mutex
	tracker *reach.Tracker
	rng     *rand.Rand
	// cutSince is when the present cut was noticed.
	cutSince time.Time
	// reached is the address that was reached last, by a response or by a connection that lasted.
	reached string

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
	if o == reach.Answered {
		r.reached = addr
	}
}

// run checks the state until ctx ends. While it is doubtful it tries to connect to some upstreams.
func (r *upstreamReach) run(ctx context.Context) {
	var probed time.Time
	for ctx.Err() == nil {
		state := r.check()
		if state.Doubtful && r.now().Sub(probed) >= reachProbeInterval {
			probed = r.now()
			r.probe(ctx)
		}
		pause(ctx, reachInterval)
	}
}

// check updates the state and logs its changes.
func (r *upstreamReach) check() reach.State {
	now := r.now()
	r.mu.Lock()
	state := r.tracker.State(now, upstreamCount(r.view.inst.Load()))
	since, lastAnswer, reached := r.cutSince, r.tracker.LastAnswer(), r.reached
	if state.CutOff && !r.cutOff.Load() {
		r.cutSince = now
	}
	r.mu.Unlock()
	r.noNewConnections.Store(state.NoNewConnections)
	switch was := r.cutOff.Swap(state.CutOff); {
	case was == state.CutOff:
	case was:
		r.log.Info("upstreams can be reached again", "after_ms", now.Sub(since).Milliseconds(), "address", reached)
	default:
		r.meters.inc(reachCuts)
		r.log.Warn("no upstream can be reached")
		r.onCutOff(lastAnswer)
	}
	return state
}

// probe tries to connect to a few upstreams at random, all at the same time. One connection that lasts
// shows that this gateway is not cut off.
func (r *upstreamReach) probe(ctx context.Context) {
	began := r.now()
	var all sync.WaitGroup
	var lasted atomic.Bool
	for _, addr := range r.randomUpstreams(reachProbes) {
		all.Go(func() {
			if r.probeLink(ctx, addr) == nil {
				lasted.Store(true)
				r.restored(addr)
			}
		})
	}
	all.Wait()
	if lasted.Load() || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.ProbesFailed(began)
}

// restored records that a connection to an address has lasted.
func (r *upstreamReach) restored(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = addr
	r.tracker.Restored(r.now())
}

// randomUpstreams returns the addresses of up to n different upstreams at random.
func (r *upstreamReach) randomUpstreams(n int) []string {
	v := r.view.inst.Load()
	count := upstreamCount(v)
	if count == 0 {
		return nil
	}
	r.mu.Lock()
	first := r.rng.IntN(count)
	r.mu.Unlock()
	var out []string
	for i := range min(n, count) {
		out = append(out, v.At((first+i*count/min(n, count))%count).Address)
	}
	return out
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
