package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/settings"
)

// maxRefusedShare bounds the requests that are not answered while two of three upstreams go on: one in so many.
const maxRefusedShare = 50

// removalWatch records how the view of one gateway follows the removal of an upstream.
type removalWatch struct {
	known atomic.Bool
	// returns counts the views in which the upstream serves after an earlier one without it.
	returns atomic.Int64
}

// watchRemoval watches a gateway's view of an upstream that does not register again.
func watchRemoval(g *testGateway, upstream string) *removalWatch {
	w := &removalWatch{}
	g.view.mu.Lock()
	defer g.view.mu.Unlock()
	next := g.view.onInstances
	g.view.onInstances = func(v *instances.View) {
		switch u := v.Get(upstream); {
		case u == nil || u.Leaving:
			w.known.Store(true)
		case w.known.Load():
			w.returns.Add(1)
		}
		next(v)
	}
	return w
}

// TestRemovedUpstreamStaysRemovedAfterLeaderFreeze guards against going back to the list of a process that was frozen.
func TestRemovedUpstreamStaysRemovedAfterLeaderFreeze(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{1800, 2400, 2600, 3200, 4000} {
		t.Run(fmt.Sprint("freeze of ", int64(length), " ms"), func(t *testing.T) {
			t.Parallel()
			testRemovalDuringLeaderFreeze(t, length*time.Millisecond)
		})
	}
}

func testRemovalDuringLeaderFreeze(t *testing.T, length time.Duration) {
	const gateways, watched, requestInterval = 6, 6 * time.Second, 50 * time.Millisecond
	b := newFreezableCluster(t)
	b.changeSettings = func(conf *settings.Gateway) { conf.Domain = string('a' + rune(len(b.gateways)%2)) }
	removed := b.upstream("i-p0", "pay")
	b.upstream("i-p1", "pay")
	b.upstreamIn("b", "i-p2", "pay")
	b.upstream("i-s0", "status")
	for i := range gateways {
		b.freezableGateway(fmt.Sprint("g", i))
	}
	b.ready()
	leader := b.leader()
	var callers, freeze sync.WaitGroup
	var answered, refused atomic.Int64
	stop := make(chan struct{})
	watches := make(map[*testGateway]*removalWatch)
	for _, g := range b.gateways {
		watches[g] = watchRemoval(g, removed.ID)
		if g == leader {
			continue
		}
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(requestInterval):
				}
				if b.request(g, http.MethodGet, "/read/x", -1).status == http.StatusOK {
					answered.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	b.eventually("the upstream gets requests", func() bool { return len(removed.Arrivals()) > 0 })
	freeze.Go(func() { b.freezeFor(leader, length) })
	time.Sleep(50 * time.Millisecond)
	b.store.Remove(platform.InstancesKind, removed.ID)
	began := time.Now()
	time.Sleep(watched)
	close(stop)
	callers.Wait()
	freeze.Wait()
	last := time.Duration(0)
	for _, a := range removed.Arrivals() {
		if b.oracle.Runs(a.RequestID) > 0 {
			last = max(last, a.ReceivedAt.Sub(began))
		}
	}
	t.Logf("last request %s after the removal, %d answered, %d not", last, answered.Load(), refused.Load())
	for g, w := range watches {
		b.eventually("the gateway knows of the removal", w.known.Load)
		if n := w.returns.Load(); n > 0 {
			t.Errorf("%s took the removal back in %d views", g.conf.Node, n)
		}
	}
	if refused.Load() > answered.Load()/maxRefusedShare {
		t.Errorf("%d requests were not answered, %d were", refused.Load(), answered.Load())
	}
}
