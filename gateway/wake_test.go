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

// TestSuspendedLeaderHasNoRight: a leader that was suspended for longer than its lease does not
// act by it when it wakes up; afterwards some gateway leads, and keys are served.
func TestSuspendedLeaderHasNoRight(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{leadership.LeaseDuration, 10 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			leader := b.leader()
			// It renews its lease as soon as it has woken up; until then it must not act.
			leader.leading.writing.Lock()
			leader.suspend(length)
			if leader.leading.mayAct() || leader.leading.stillMayAct() == nil {
				t.Error("it may act by a lease that has run out meanwhile")
			}
			leader.leading.writing.Unlock()
			b.eventually("one leads", func() bool { return b.leader() != nil })
			b.eventually("keys are served", func() bool { return b.request(leader, http.MethodGet, "/status/x", 7).status == http.StatusOK })
			b.eventually("it is counted", func() bool { return metricsOf(leader)["clock.suspensions"] == "1" })
			if ms := metricsOf(leader)["clock.suspended_ms"]; ms == "" || ms == "0" {
				t.Errorf("suspended for %s ms", ms)
			}
		})
	}
}

// TestShortSuspension: one shorter than what is left of the lease changes nothing.
func TestShortSuspension(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	leader := b.leader()
	b.eventually("the lease is fresh", func() bool { return leader.leading.rightLeft() > leadership.LeaseDuration/2 })
	leader.suspend(100 * time.Millisecond)
	b.mustRequest(leader, http.MethodGet, "/status/x", 7)
}

// TestTwoLeadersAroundASuspension: a holder is suspended at any point of its lease's term, for any
// time, and another takes the lease by what it sees. By the steady clock, which stands still in a
// suspension, both act at once; by one that counts it they never do.
func TestTwoLeadersAroundASuspension(t *testing.T) {
	const step = 50 * time.Millisecond
	both := func(counts bool) (n int) {
		for at := time.Duration(0); at < leadership.LeaseDuration; at += step {
			for length := step; length < 5*time.Second; length += 4 * step {
				if overlap(at, length, counts) {
					n++
				}
			}
		}
		return n
	}
	if n := both(false); n == 0 {
		t.Error("the test does not show the fault")
	}
	if n := both(true); n > 0 {
		t.Errorf("two act at once in %d cases", n)
	}
}

// overlap plays one suspension of a holder that renewed its lease at zero, and reports whether it
// acts once another has taken the lease.
func overlap(at, length time.Duration, counts bool) bool {
	start := time.Unix(1000, 0)
	var awake, asleep time.Duration
	clock := bootclock.From(bootclock.Sources{
		Steady: func() time.Time { return start.Add(awake) },
		Wall:   func(time.Time) int64 { return start.Add(awake + asleep).UnixNano() },
		Boot:   func() (time.Duration, error) { return awake + asleep, nil },
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

// TestOverdueAfterWaking: a request whose deadline has passed in a suspension is answered at once,
// and truly.
func TestOverdueAfterWaking(t *testing.T) {
	start := time.Now()
	open := newOpenRequests()
	f := &proxy{now: time.Now}
	for _, one := range []struct {
		mayHaveRun bool
		kind       answer.Kind
	}{{true, answer.TimedOut}, {false, answer.Unreachable}} {
		q := &request{route: &routing.Route{}, deadline: start.Add(time.Minute), mayHaveRun: one.mayHaveRun}
		ctx, end := open.add(context.Background(), q)
		open.endOverdue(start.Add(time.Second))
		if ctx.Err() != nil {
			t.Error("ended before its deadline")
		}
		open.endOverdue(start.Add(2 * time.Minute))
		if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("ended by %v", context.Cause(ctx))
		}
		if kind := answer.KindOf(f.finalError(ctx, q, context.Cause(ctx))); kind != one.kind {
			t.Errorf("answered as %s, may have run %v", kind, one.mayHaveRun)
		}
		end()
	}
	if len(open.ends) > 0 {
		t.Errorf("%d requests remembered", len(open.ends))
	}
}
