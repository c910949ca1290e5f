package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/transport/bootclock"
)

// TestSuspendedLeaderMayNotAct checks that a leader that was suspended for longer than its lease
// does not act by it after waking up, and that afterwards some gateway leads and keys are served.
func TestSuspendedLeaderMayNotAct(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{leadership.LeaseDuration, 10 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			leader := b.leader()
			// The leader renews its lease as soon as it has woken up, which the lock delays. Until
			// then it must not act.
			leader.elector.leaseWriteMu.Lock()
			leader.suspend(length)
			if leader.elector.mayAct() || leader.elector.checkMayAct() == nil {
				t.Error("the leader may act by a lease that expired during the suspension")
			}
			leader.elector.leaseWriteMu.Unlock()
			b.eventually("a gateway leads", func() bool { return b.leader() != nil })
			b.eventually("keys are served", func() bool { return b.request(leader, http.MethodGet, "/status/x", 7).status == http.StatusOK })
			b.eventually("the suspension is counted", func() bool { return metricsOf(leader)["clock.suspensions"] == "1" })
			if ms := metricsOf(leader)["clock.suspended_ms"]; ms == "" || ms == "0" {
				t.Errorf("suspended for %s ms", ms)
			}
		})
	}
}

// TestShortSuspensionKeepsLeadership checks that a suspension shorter than the rest of the lease
// has no effect.
func TestShortSuspensionKeepsLeadership(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	leader := b.leader()
	b.eventually("the lease is fresh", func() bool { return leader.elector.rightLeft() > leadership.LeaseDuration/2 })
	leader.suspend(100 * time.Millisecond)
	b.mustRequest(leader, http.MethodGet, "/status/x", 7)
}

// TestNoTwoLeadersAroundSuspension suspends a lease holder at any point of its lease, for various
// times, while another gateway observes the lease and takes it over. With the monotonic clock,
// which stands still during a suspension, both may act at once; with a clock that counts
// suspensions they never do.
func TestNoTwoLeadersAroundSuspension(t *testing.T) {
	const step = 50 * time.Millisecond
	both := func(counts bool) (n int) {
		for at := time.Duration(0); at < leadership.LeaseDuration; at += step {
			for length := step; length < 5*time.Second; length += 4 * step {
				if leadersOverlap(at, length, counts) {
					n++
				}
			}
		}
		return n
	}
	if n := both(false); n == 0 {
		t.Error("the monotonic clock does not reproduce two leaders")
	}
	if n := both(true); n > 0 {
		t.Errorf("two leaders act at once in %d cases", n)
	}
}

// leadersOverlap simulates one suspension of a holder that renewed its lease at time zero. It
// reports whether the holder may still act after another gateway has taken the lease.
func leadersOverlap(at, length time.Duration, counts bool) bool {
	start := time.Unix(1000, 0)
	var awake, asleep time.Duration
	clock := bootclock.NewFromSources(bootclock.Sources{
		Monotonic: func() time.Time { return start.Add(awake) },
		Wall:      func(time.Time) int64 { return start.Add(awake + asleep).UnixNano() },
		Boot:      func() (time.Duration, error) { return awake + asleep, nil },
	})
	now := clock.Now
	if !counts {
		now = func() time.Time { return start.Add(awake) }
	}
	var right leadership.Right
	right.Extend(now())
	var claim leadership.LeaseObservation
	claim.Observe(start, 1)
	awake, asleep = at, length
	taken := claim.CanTakeOver(start.Add(at+length), leadership.Lease{Address: "holder"}, "other", false)
	return taken && right.Valid(now())
}

// TestOverdueRequestsEndAfterWakeUp checks that a request whose deadline passed during a suspension
// is answered at once, and that the response states correctly whether it may have run.
func TestOverdueRequestsEndAfterWakeUp(t *testing.T) {
	start := time.Now()
	open := newOpenRequests()
	f := &proxy{now: time.Now}
	for _, one := range []struct {
		mayHaveRun bool
		kind       answer.Kind
	}{{true, answer.TimedOut}, {false, answer.Unreachable}} {
		q := &request{route: &routing.Route{}, deadline: start.Add(time.Minute), mayHaveRun: one.mayHaveRun}
		ctx, end := open.add(context.Background(), q)
		open.cancelOverdue(start.Add(time.Second))
		if ctx.Err() != nil {
			t.Error("request ended before its deadline")
		}
		open.cancelOverdue(start.Add(2 * time.Minute))
		if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("request ended by %v", context.Cause(ctx))
		}
		if kind := answer.KindOf(f.finalError(ctx, q, context.Cause(ctx))); kind != one.kind {
			t.Errorf("answered as %s, may have run %v", kind, one.mayHaveRun)
		}
		end()
	}
	if len(open.cancels) > 0 {
		t.Errorf("%d ended requests are still registered", len(open.cancels))
	}
}
