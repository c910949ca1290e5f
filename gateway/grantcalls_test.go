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

// TestAllGrantsThatAreDueAtOnceAreMade checks that many grants due at once are all made, a few at
// a time.
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
	lead.right.Extend(time.Now().Add(time.Hour - leadership.LeaseDuration))
	s := &assignmentSupervisor{
		view: newView(), cluster: c, now: time.Now, log: slog.New(slog.DiscardHandler), elector: lead,
		owners: platform.NewOwners(pool.New(upstreamLimits, time.Now)), grantSlots: newGrantSlots(time.Now),
	}
	k := newKeyAssigner(s, "s", 1)
	to := &instances.Instance{ID: "i-1", Address: l.Addr().String()}
	const calls = 300
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			result, err := k.grant(context.Background(), spans.KeyRange{First: uint16(i), Last: uint16(i)}, to, 1, "", nil)
			if err != nil || result != platform.Granted {
				t.Errorf("grant %d: %v, %v", i, result, err)
			}
		})
	}
	running.Wait()
	if inUse := s.grantSlots.InUse(); inUse != 0 {
		t.Errorf("%d call slots not released", inUse)
	}
	if all.Load() != calls {
		t.Errorf("%d of %d grants made", all.Load(), calls)
	}
}
