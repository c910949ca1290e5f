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

// newStandardCluster returns a cluster with three keyed upstreams, two that are not keyed, and
// three gateways.
func newStandardCluster(t *testing.T) *testCluster {
	t.Helper()
	b := newTestCluster(t)
	b.startStandard()
	return b
}

// startStandard starts three keyed upstreams, two that are not keyed, and three gateways.
func (b *testCluster) startStandard() {
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

func TestGatewayServesRequests(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	for i, g := range b.gateways {
		for key := 0; key <= spans.MaxKey; key += 6553 {
			b.mustRequest(g, http.MethodGet, "/status/x", key)
		}
		b.mustRequest(g, http.MethodPost, fmt.Sprintf("/pay/%d?a=1", i), -1)
		b.mustRequest(g, http.MethodGet, "/read/x", -1)
	}
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/status": http.StatusNotFound, "/status/x": http.StatusBadRequest} {
		if a := b.request(b.gateways[0], http.MethodGet, path, -1); a.status != want || a.header.Get(platform.Signature) != "" {
			t.Errorf("%s: status %d", path, a.status)
		}
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.store.Remove(platform.ConfigKind, platform.ConfigName)
	g := b.gateway("g0")
	b.eventually("requests are refused with a Retry-After time", func() bool {
		a := b.request(g, http.MethodGet, "/none/", -1)
		return a.err == nil && a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	})
	if g.Gateway.ready() {
		t.Error("ready without a configuration")
	}
}

// TestLostLeaderIsReplaced: after the loss of the leader another gateway must lead, and no key
// may change its owner.
func TestLostLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	first := b.leader()
	before := first.view.spansOf("status")
	first.kill()
	b.eventually("another gateway leads", func() bool { return b.leader() != nil })
	b.ready()
	after := b.leader().view.spansOf("status")
	for _, s := range before.Spans {
		if now := after.Find(s.First); now.Owner != s.Owner || now.Fence != s.Fence {
			t.Errorf("span %d-%d moved from %s to %s", s.First, s.Last, s.Owner, now.Owner)
		}
	}
}

// TestStoppingLeaderReleasesLease: a leader that stops gracefully must release its lease, so
// that the next leader need not wait for it to expire.
func TestStoppingLeaderReleasesLease(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	first := b.leader()
	first.stop()
	<-first.done
	b.eventually("another gateway leads", func() bool { return b.leader() != nil })
	b.mustRequest(b.leader(), http.MethodGet, "/status/x", 1)
}

// TestKeysOfSilentOwnerMove: the keys of an upstream that stops responding must get other
// owners once its grants have expired.
func TestKeysOfSilentOwnerMove(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-s0"].SetMode(instance.Unresponsive)
	b.eventually("the silent upstream owns no keys", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
	for key := 0; key <= spans.MaxKey; key += 6553 {
		b.mustRequest(b.gateways[1], http.MethodGet, "/status/x", key)
	}
}

// TestRecoveredOwnerGetsKeysAgain: an upstream that was silent until it lost all its keys must
// get keys again once it responds. The failure: it stayed without keys for good, and one
// upstream was left with half of the load.
func TestRecoveredOwnerGetsKeysAgain(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-s0"].SetMode(instance.Unresponsive)
	b.eventually("the silent upstream owns no keys", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
	b.upstreams["i-s0"].SetMode(instance.Healthy)
	b.eventually("the recovered upstream owns keys", func() bool { return b.spansOwnedBy("i-s0") > 0 })
}

// spansOwnedBy counts the spans of an owner in the leader's view; -1 without a leader.
func (b *testCluster) spansOwnedBy(id string) int {
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

// allHaveConfiguration reports whether all gateways have that version of the configuration.
func (b *testCluster) allHaveConfiguration(version uint64) bool {
	for _, g := range b.gateways {
		if g.view.table.Load().Version != version {
			return false
		}
	}
	return true
}

// startLoad sends requests until stopped, and counts those that were sent and those that did
// not succeed.
func (b *testCluster) startLoad(gateways []*testGateway, method, path string, keyed bool) (stop func() (sent, failed int64)) {
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
				if a := b.request(g, method, path, key); a.err != nil || a.status != http.StatusOK {
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

// TestLeavingUpstream: the keys of a leaving upstream must move with their state while requests
// run, without a failed request.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	stop := b.startLoad(b.gateways, http.MethodGet, "/status/x", true)
	b.register(b.upstreams["i-s1"], "draining")
	b.eventually("the leaving upstream owns no keys", func() bool { return b.spansOwnedBy("i-s1") == 0 })
	b.ready()
	if sent, failed := stop(); failed > 0 || sent == 0 {
		t.Errorf("%d of %d failed", failed, sent)
	}
	ran := b.oracle.InstanceRuns("i-s1")
	for key := 0; key <= spans.MaxKey; key += 997 {
		b.mustRequest(b.gateways[0], http.MethodGet, "/status/x", key)
	}
	if b.oracle.InstanceRuns("i-s1") != ran {
		t.Error("the leaving upstream got requests after its keys had moved")
	}
}

// TestNewUpstreamGetsWork: a new upstream must get keys soon after it has registered.
func TestNewUpstreamGetsWork(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstream("i-s9", "status")
	b.eventually("the new upstream owns keys", func() bool { return b.spansOwnedBy("i-s9") > 0 })
}

// TestLateGrantsAreHarmless: grants that are executed after newer ones must not harm requests.
func TestLateGrantsAreHarmless(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-s0"].SetMode(instance.LateGrants)
	time.Sleep(2 * renewInterval)
	b.register(b.upstreams["i-s1"], "draining")
	b.eventually("the leaving upstream owns no keys", func() bool { return b.spansOwnedBy("i-s1") == 0 })
	b.upstreams["i-s0"].SetMode(instance.Healthy)
	b.ready()
	for key := 0; key <= spans.MaxKey; key += 6553 {
		b.mustRequest(b.gateways[2], http.MethodGet, "/status/x", key)
	}
}

// TestLostResponses: if the response to a request that is not idempotent is lost, the caller
// must get an error that does not promise anything about its execution. An idempotent request
// must be retried.
func TestLostResponses(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-p0"].SetMode(instance.LosesResponses)
	b.upstreams["i-p1"].SetMode(instance.LosesResponses)
	a := b.request(b.gateways[0], http.MethodPost, "/pay/x", -1)
	if a.status != http.StatusBadGateway || b.oracle.Runs(a.id) != 1 {
		t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
	}
	b.upstreams["i-p1"].SetMode(instance.Healthy)
	for range 6 {
		b.mustRequest(b.gateways[0], http.MethodGet, "/read/x", -1)
	}
}

// TestRefusedRequestsHaveNotRun: requests that upstreams refuse for lack of capacity must not
// have been executed, and callers must get a Retry-After time.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-p0"].SetMode(instance.Overloaded)
	b.upstreams["i-p1"].SetMode(instance.Overloaded)
	for range 5 {
		a := b.request(b.gateways[0], http.MethodPost, "/pay/x", -1)
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || b.oracle.Runs(a.id) != 0 {
			t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
		}
	}
}

// TestUpstreamFailureIsForwarded: the failure response of an upstream to a request that is not
// idempotent must be forwarded unchanged.
func TestUpstreamFailureIsForwarded(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.upstreams["i-p0"].SetMode(instance.ReturnsErrors)
	b.upstreams["i-p1"].SetMode(instance.ReturnsErrors)
	a := b.request(b.gateways[0], http.MethodPost, "/pay/x", -1)
	if a.status != http.StatusInternalServerError || a.header.Get(platform.Signature) != "sig-"+a.id || b.oracle.Runs(a.id) != 1 {
		t.Errorf("status %d after %d runs", a.status, b.oracle.Runs(a.id))
	}
}

// TestStopUnderLoadAnswersAllRequests: a gateway that stops under load must answer all requests
// that it was sent.
func TestStopUnderLoadAnswersAllRequests(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[1]
	b.upstreams["i-p0"].ServiceTime = 50 * time.Millisecond
	b.upstreams["i-p1"].ServiceTime = 50 * time.Millisecond
	var failed atomic.Int64
	var all sync.WaitGroup
	var stopping atomic.Bool
	for range 4 {
		all.Go(func() {
			for !stopping.Load() {
				if a := b.request(g, http.MethodPost, "/pay/x", -1); a.err != nil || a.status != http.StatusOK {
					failed.Add(1)
					t.Logf("status %d, error %v", a.status, a.err)
				}
			}
		})
	}
	b.eventually("more than 20 requests are sent", func() bool { return b.requestCount.Load() > 20 })
	g.stop()
	// The load balancer sends no more requests once it has detected that.
	b.eventually("the gateway is not ready", func() bool { return !g.Gateway.ready() })
	stopping.Store(true)
	all.Wait()
	<-g.done
	if failed.Load() > 0 {
		t.Errorf("%d requests failed", failed.Load())
	}
}

// TestOwnersSurviveLossOfAllGateways: gateways that start after the loss of all others must
// continue with the same owners and fences.
func TestOwnersSurviveLossOfAllGateways(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
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
	b.mustRequest(next, http.MethodGet, "/status/x", 77)
}

// TestBodyBytesAreReleased: the count of body bytes held must return to zero after all
// responses, including refusals.
func TestBodyBytesAreReleased(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[0]
	b.mustRequest(g, http.MethodPost, "/pay/x", -1)
	if a := b.request(g, http.MethodPost, "/status/x", -1); a.status != http.StatusBadRequest {
		t.Errorf("status %d", a.status)
	}
	if a := b.request(g, http.MethodPost, "/none/", -1); a.status != http.StatusNotFound {
		t.Errorf("status %d", a.status)
	}
	b.eventually("no body bytes are held", func() bool { return g.proxy.bytes.Stats().Held == 0 })
}

// TestQueuedRequestOfGoneCallerIsDropped: a request that is not idempotent must not be started
// if its caller disconnects while it is queued.
func TestQueuedRequestOfGoneCallerIsDropped(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	g := b.gateway("g0")
	ctx, cancel := context.WithCancel(context.Background())
	q := &request{
		Request: (&http.Request{}).WithContext(ctx), route: &routing.Route{Objective: time.Hour},
		service: &routing.Service{Name: "none", Keyed: true}, traffic: g.traffic.get("none"),
		receivedAt: time.Now(), queueUntil: time.Now().Add(time.Hour), deadline: time.Now().Add(2 * time.Hour),
	}
	done := make(chan error, 1)
	go func() {
		_, err := g.proxy.acquire(context.Background(), q, false)
		done <- err
	}()
	cancel()
	if err := <-done; err == nil {
		t.Error("the request got a grant")
	}
}
