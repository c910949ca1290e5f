package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/spans"
)

// standard starts three keyed and two other upstreams and three gateways.
func standard(t *testing.T) *bed {
	t.Helper()
	b := newBed(t)
	b.fill()
	return b
}

// fill starts three keyed and two other upstreams and three gateways.
func (b *bed) fill() {
	b.t.Helper()
	for i := range 3 {
		b.upstream(fmt.Sprintf("i-s%d", i), "status")
	}
	for i := range 2 {
		b.upstream(fmt.Sprintf("i-p%d", i), "pay")
	}
	for i := range 3 {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
}

func TestServes(t *testing.T) {
	t.Parallel()
	b := standard(t)
	for i, g := range b.gateways {
		for key := 0; key <= spans.MaxKey; key += 6553 {
			b.mustAsk(g, http.MethodGet, "/status/x", key)
		}
		b.mustAsk(g, http.MethodPost, fmt.Sprintf("/pay/%d?a=1", i), -1)
		b.mustAsk(g, http.MethodGet, "/read/x", -1)
	}
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/status": http.StatusNotFound, "/status/x": http.StatusBadRequest} {
		if a := b.ask(b.gateways[0], http.MethodGet, path, -1); a.status != want || a.header.Get(platform.Signature) != "" {
			t.Errorf("%s: status %d", path, a.status)
		}
	}
}

func TestWithoutConfiguration(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.store.Remove(platform.ConfigKind, platform.ConfigName)
	g := b.gateway("g0")
	b.eventually("refused", func() bool {
		a := b.ask(g, http.MethodGet, "/none/", -1)
		return a.err == nil && a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	})
	if g.Gateway.ready() {
		t.Error("ready without a configuration")
	}
}

// TestLeaderLost: another gateway leads, and no key changes its owner.
func TestLeaderLost(t *testing.T) {
	t.Parallel()
	b := standard(t)
	first := b.leader()
	before := first.view.spansOf("status")
	first.kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.ready()
	after := b.leader().view.spansOf("status")
	for _, s := range before.Spans {
		if now := after.Find(s.First); now.Owner != s.Owner || now.Fence != s.Fence {
			t.Errorf("span %d-%d went from %s to %s", s.First, s.Last, s.Owner, now.Owner)
		}
	}
}

// TestLeaderStops: it gives the lease up, and nobody waits for it to run out.
func TestLeaderStops(t *testing.T) {
	t.Parallel()
	b := standard(t)
	first := b.leader()
	first.stop()
	<-first.done
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.mustAsk(b.leader(), http.MethodGet, "/status/x", 1)
}

// TestOwnerLost: the keys of an upstream that falls silent get other owners,
// after its hold has run out.
func TestOwnerLost(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-s0"].SetMode(instance.Unresponsive)
	b.eventually("nothing owned by the lost one", func() bool { return b.ownedBy("i-s0") == 0 })
	b.ready()
	for key := 0; key <= spans.MaxKey; key += 6553 {
		b.mustAsk(b.gateways[1], http.MethodGet, "/status/x", key)
	}
}

// TestLostOwnerComesBack: an upstream that was silent for so long that it lost
// all its keys gets keys again once it answers. (Own day cut-servers: it stayed
// without keys for good, and one upstream was left with half of the load.)
func TestLostOwnerComesBack(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-s0"].SetMode(instance.Unresponsive)
	b.eventually("nothing owned by the lost one", func() bool { return b.ownedBy("i-s0") == 0 })
	b.ready()
	b.ups["i-s0"].SetMode(instance.Healthy)
	b.eventually("keys for the one that came back", func() bool { return b.ownedBy("i-s0") > 0 })
}

// ownedBy counts the spans of an owner in the leader's view.
func (b *bed) ownedBy(id string) int {
	l := b.leader()
	if l == nil {
		return -1
	}
	n := 0
	for _, s := range l.view.spansOf("status").Spans {
		if s.Owner == id {
			n++
		}
	}
	return n
}

// inForce reports whether all gateways have the version.
func (b *bed) inForce(version uint64) bool {
	for _, g := range b.gateways {
		if g.view.table.Load().Version != version {
			return false
		}
	}
	return true
}

// load sends requests until stopped and counts those not answered by an
// upstream.
func (b *bed) load(gateways []*testGateway, method, path string, keyed bool) (stop func() (sent, failed int64)) {
	var sent, failed atomic.Int64
	end := make(chan struct{})
	var all sync.WaitGroup
	for n, g := range gateways {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				key := -1
				if keyed {
					key = (i*7919 + n*31) % (spans.MaxKey + 1)
				}
				sent.Add(1)
				if a := b.ask(g, method, path, key); a.err != nil || a.status != http.StatusOK {
					failed.Add(1)
					b.t.Logf("%s %s key %d: status %d, %q, error %v", method, path, key, a.status, a.body, a.err)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(end)
		all.Wait()
		return sent.Load(), failed.Load()
	}
}

// TestLeavingUpstream: its keys move with their state while requests run, and
// none is lost.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	b := standard(t)
	stop := b.load(b.gateways, http.MethodGet, "/status/x", true)
	b.register(b.ups["i-s1"], "draining")
	b.eventually("nothing owned by the leaving one", func() bool { return b.ownedBy("i-s1") == 0 })
	b.ready()
	if sent, failed := stop(); failed > 0 || sent == 0 {
		t.Errorf("%d of %d failed", failed, sent)
	}
	ran := b.oracle.InstanceRuns("i-s1")
	for key := 0; key <= spans.MaxKey; key += 997 {
		b.mustAsk(b.gateways[0], http.MethodGet, "/status/x", key)
	}
	if b.oracle.InstanceRuns("i-s1") != ran {
		t.Error("the leaving upstream got requests after its keys had moved")
	}
}

// TestNewUpstreamGetsWork within the first plans after it registered.
func TestNewUpstreamGetsWork(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.upstream("i-s9", "status")
	b.eventually("keys for the new one", func() bool { return b.ownedBy("i-s9") > 0 })
}

// TestLateGrants: grants that are carried out after newer ones harm nobody.
func TestLateGrants(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-s0"].SetMode(instance.LateGrants)
	time.Sleep(2 * renewInterval)
	b.register(b.ups["i-s1"], "draining")
	b.eventually("nothing owned by the leaving one", func() bool { return b.ownedBy("i-s1") == 0 })
	b.ups["i-s0"].SetMode(instance.Healthy)
	b.ready()
	for key := 0; key <= spans.MaxKey; key += 6553 {
		b.mustAsk(b.gateways[2], http.MethodGet, "/status/x", key)
	}
}

// TestLostAnswers: a request that must not run twice and whose answer is lost
// gets an answer that promises nothing; one that may is sent once more.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-p0"].SetMode(instance.LosesResponses)
	b.ups["i-p1"].SetMode(instance.LosesResponses)
	a := b.ask(b.gateways[0], http.MethodPost, "/pay/x", -1)
	if a.status != http.StatusBadGateway || b.oracle.Runs(a.id) != 1 {
		t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
	}
	b.ups["i-p1"].SetMode(instance.Healthy)
	for range 6 {
		b.mustAsk(b.gateways[0], http.MethodGet, "/read/x", -1)
	}
}

// TestRefusalsAreTrue: what upstreams refuse for want of room has not run and is
// refused with a time to come back.
func TestRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-p0"].SetMode(instance.Overloaded)
	b.ups["i-p1"].SetMode(instance.Overloaded)
	for range 5 {
		a := b.ask(b.gateways[0], http.MethodPost, "/pay/x", -1)
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || b.oracle.Runs(a.id) != 0 {
			t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
		}
	}
}

// TestOwnFailure of an upstream is passed on as it is for a request that must
// not run twice.
func TestOwnFailure(t *testing.T) {
	t.Parallel()
	b := standard(t)
	b.ups["i-p0"].SetMode(instance.ReturnsErrors)
	b.ups["i-p1"].SetMode(instance.ReturnsErrors)
	a := b.ask(b.gateways[0], http.MethodPost, "/pay/x", -1)
	if a.status != http.StatusInternalServerError || a.header.Get(platform.Signature) != "sig-"+a.id || b.oracle.Runs(a.id) != 1 {
		t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
	}
}

// TestStopCutsNothing: a gateway that stops under load answers everything it
// was sent.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	b := standard(t)
	g := b.gateways[1]
	b.ups["i-p0"].ServiceTime = 50 * time.Millisecond
	b.ups["i-p1"].ServiceTime = 50 * time.Millisecond
	var failed atomic.Int64
	var all sync.WaitGroup
	var stopping atomic.Bool
	for range 4 {
		all.Go(func() {
			for !stopping.Load() {
				if a := b.ask(g, http.MethodPost, "/pay/x", -1); a.err != nil || a.status != http.StatusOK {
					failed.Add(1)
					t.Logf("status %d, error %v", a.status, a.err)
				}
			}
		})
	}
	b.eventually("some requests", func() bool { return b.next.Load() > 20 })
	g.stop()
	// The balancer sends no more once it has noticed.
	b.eventually("not ready", func() bool { return !g.Gateway.ready() })
	stopping.Store(true)
	all.Wait()
	<-g.done
	if failed.Load() > 0 {
		t.Errorf("%d requests cut off", failed.Load())
	}
}

// TestAllKilled: after the loss of all gateways the next ones go on with the
// same owners and fences.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	b := standard(t)
	before := b.gateways[0].view.spansOf("status")
	for _, g := range b.gateways {
		g.kill()
	}
	next := b.gateway("g9")
	b.ready()
	for _, s := range before.Spans {
		if now := next.view.spansOf("status").Find(s.First); now.Owner != s.Owner || now.Fence != s.Fence {
			t.Errorf("span %d-%d: %s with %d, was %s with %d", s.First, s.Last, now.Owner, now.Fence, s.Owner, s.Fence)
		}
	}
	b.mustAsk(next, http.MethodGet, "/status/x", 77)
}

// TestBodiesAreLetGo: the bytes of bodies held are counted down after every
// answer, refusals among them.
func TestBodiesAreLetGo(t *testing.T) {
	t.Parallel()
	b := standard(t)
	g := b.gateways[0]
	b.mustAsk(g, http.MethodPost, "/pay/x", -1)
	if a := b.ask(g, http.MethodPost, "/status/x", -1); a.status != http.StatusBadRequest {
		t.Errorf("status %d", a.status)
	}
	if a := b.ask(g, http.MethodPost, "/none/", -1); a.status != http.StatusNotFound {
		t.Errorf("status %d", a.status)
	}
	b.eventually("nothing held", func() bool { return g.front.bodies.Load() == 0 })
}

// TestCallerLeavesBeforeItsTurn: a request that must not run twice and still waits
// when its caller leaves is not begun.
func TestCallerLeavesBeforeItsTurn(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	g := b.gateway("g0")
	ctx, cancel := context.WithCancel(context.Background())
	q := &request{
		Request: (&http.Request{}).WithContext(ctx), route: &routing.Route{Objective: time.Hour},
		service: &routing.Service{Name: "none", Keyed: true}, traffic: g.traffic.get("none"),
		began: time.Now(), until: time.Now().Add(time.Hour), deadline: time.Now().Add(2 * time.Hour),
	}
	done := make(chan error, 1)
	go func() {
		_, err := g.front.acquire(context.Background(), q, false)
		done <- err
	}()
	cancel()
	if err := <-done; err == nil {
		t.Error("let through")
	}
}
