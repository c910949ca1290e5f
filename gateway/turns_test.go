package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// TestAllGrantsThatAreDueAtOnceAreMade, a few at a time.
func TestAllGrantsThatAreDueAtOnceAreMade(t *testing.T) {
	var all atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		all.Add(1)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c := newCluster(&syncpb.Member{Incarnation: "a"}, http.DefaultClient, time.Now, nil)
	lead := &leaderElector{now: time.Now, cluster: c}
	lead.right.Renewed(time.Now().Add(time.Hour - leadership.Term))
	s := &assignmentSupervisor{
		view: newView(), cluster: c, now: time.Now, log: slog.New(slog.DiscardHandler), elector: lead,
		owners: platform.NewOwners(pool.New(upstreamLimits, time.Now)), turns: newTurns(mostGrantCalls),
	}
	k := newKeyAssigner(s, "s", 1)
	to := &instances.Instance{ID: "i-1", Address: l.Addr().String()}
	const calls = 300
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			verdict, err := k.grant(context.Background(), spans.Keys{First: uint16(i), Last: uint16(i)}, to, 1, "")
			if err != nil || verdict != platform.Granted {
				t.Errorf("grant %d: %v, %v", i, verdict, err)
			}
		})
	}
	running.Wait()
	if len(s.turns) != 0 {
		t.Errorf("%d turns not given back", len(s.turns))
	}
	if all.Load() != calls {
		t.Errorf("%d of %d made", all.Load(), calls)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	full := newTurns(0)
	if _, ok := full.take(ended); ok {
		t.Error("a turn is given after the end")
	}
}

// TestSilentUpstreamsKeepNoTurn: calls that wait for an answer do not keep others from
// beginning.
func TestSilentUpstreamsKeepNoTurn(t *testing.T) {
	one := newTurns(1)
	waits, ok := one.take(context.Background())
	if !ok {
		t.Fatal("no turn")
	}
	next, ok := one.take(context.Background())
	if !ok {
		t.Fatal("the silent one kept the turn")
	}
	// The first gives nothing back that is not its own.
	waits()
	if len(one) != 1 {
		t.Error("the second's turn was given back")
	}
	next()
}
