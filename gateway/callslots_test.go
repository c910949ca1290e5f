package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
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
		owners: platform.NewOwners(pool.New(upstreamLimits, time.Now)), grantSlots: newCallSlots(maxGrantCalls, time.Now),
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
	if inUse := s.grantSlots.inUse(); inUse != 0 {
		t.Errorf("%d call slots not released", inUse)
	}
	if all.Load() != calls {
		t.Errorf("%d of %d grants made", all.Load(), calls)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	full := newCallSlots(0, time.Now)
	if _, ok := full.acquire(ended, time.Now()); ok {
		t.Error("a slot was acquired after the context ended")
	}
	if len(full.waiting) != 0 {
		t.Error("a call that ended still waits for a slot")
	}
}

// TestSilentUpstreamsReleaseCallSlots checks that calls waiting for a response do not keep others
// from starting.
func TestSilentUpstreamsReleaseCallSlots(t *testing.T) {
	one := newCallSlots(1, time.Now)
	waits, ok := one.acquire(context.Background(), time.Now())
	if !ok {
		t.Fatal("no slot")
	}
	next, ok := one.acquire(context.Background(), time.Now())
	if !ok {
		t.Fatal("the silent call kept its slot")
	}
	// The first call must not release the slot of the second.
	waits(false)
	if one.inUse() != 1 {
		t.Error("the slot of the second call was released")
	}
	next(true)
}

// TestSlowCallsKeepTheirSlots guards against calls that lose their slots because the machine is short
// of CPU: as many again were started, and all of them timed out.
func TestSlowCallsKeepTheirSlots(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	slots := newCallSlots(2, func() time.Time { return now })
	if got := slots.holdTime(); got != maxSlotHold {
		t.Errorf("hold before the first answer %v instead of %v", got, maxSlotHold)
	}
	answerAfter := func(took time.Duration) {
		end, ok := slots.acquire(context.Background(), now)
		if !ok {
			t.Fatal("no slot")
		}
		now = now.Add(took)
		end(true)
	}
	for range 40 {
		answerAfter(2 * time.Millisecond)
	}
	if got := slots.holdTime(); got != minSlotHold {
		t.Errorf("hold with fast answers %v instead of %v", got, minSlotHold)
	}
	for range 40 {
		answerAfter(60 * time.Millisecond)
	}
	if got := slots.holdTime(); got != maxSlotHold {
		t.Errorf("hold with slow answers %v instead of %v", got, maxSlotHold)
	}
	if end, ok := slots.acquire(context.Background(), now); ok {
		now = now.Add(time.Hour)
		end(false)
	}
	if got := slots.holdTime(); got != maxSlotHold || slots.inUse() != 0 {
		t.Errorf("an unanswered call changed the hold to %v, %d slots in use", got, slots.inUse())
	}
}

// TestCallSlotsAreGivenInOrderOfDueTimes checks that keys in demand are granted before others. Slots used
// to be given in no particular order, so after a start of all gateways callers waited for the grants of
// keys that nobody asked for.
func TestCallSlotsAreGivenInOrderOfDueTimes(t *testing.T) {
	const calls = 50
	slots, now := newCallSlots(0, time.Now), time.Now()
	var mu sync.Mutex
	var order []time.Duration
	var all sync.WaitGroup
	for i := range calls {
		due := time.Duration(i*7919%calls) * time.Millisecond
		all.Go(func() {
			if !slots.wait(context.Background(), now.Add(due)) {
				t.Error("no slot")
				return
			}
			mu.Lock()
			order = append(order, due)
			mu.Unlock()
			slots.release()
		})
	}
	for {
		slots.mu.Lock()
		waiting := len(slots.waiting)
		slots.mu.Unlock()
		if waiting == calls {
			break
		}
		time.Sleep(time.Millisecond)
	}
	slots.release()
	all.Wait()
	if !slices.IsSorted(order) || len(order) != calls {
		t.Errorf("slots were given in the order %v", order)
	}
}
