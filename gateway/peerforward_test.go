package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/coordination/reach"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// cutOff cuts gateways off from all upstreams and waits until they have noticed it.
func (b *testCluster) cutOff(cut ...*testGateway) {
	b.t.Helper()
	for _, g := range cut {
		g.upstreamLinks.set(linksReset)
	}
	for _, g := range cut {
		b.eventually("gateway knows that it is cut off", func() bool {
			b.request(g, http.MethodGet, "/read/x", -1)
			return g.reach.cutOff.Load()
		})
	}
}

// callerRequest returns a request of a caller with the given body.
func callerRequest(ctx context.Context, t *testing.T, method, url, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, "2000")
	return r
}

// TestForwardedRequestIsUnchanged guards against requests that are changed on the way through another
// gateway: method, path, query, body, ID and response must be those of a direct request.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	var mu sync.Mutex
	var reached []*http.Request
	b.onUpstreamRequest = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if platform.ID(r.Header) == "whole" {
			reached = append(reached, r.Clone(context.Background()))
		}
	}
	b.startStandard()
	b.cutOff(b.gateways[1])
	const path = "/pay/a%20b//c?x=1&y=%2F"
	resp, err := b.client.Do(callerRequest(context.Background(), t, http.MethodPost, "http://"+b.gateways[1].callers+path, "whole", strings.Repeat("body", 10000)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get(platform.Signature) != "sig-whole" || b.oracle.Runs("whole") != 1 {
		t.Errorf("status %d, signature %q, %d runs, error %v", resp.StatusCode, resp.Header.Get(platform.Signature), b.oracle.Runs("whole"), err)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(reached) != 1 {
		t.Fatalf("%d requests reached upstreams", len(reached))
	}
	r := reached[0]
	left, err := strconv.Atoi(r.Header.Get(platform.Deadline))
	if r.Method != http.MethodPost || r.RequestURI != path || r.ContentLength != 40000 || err != nil || left > 2000 {
		t.Errorf("%s %s with %d bytes and %d ms reached the upstream", r.Method, r.RequestURI, r.ContentLength, left)
	}
	if r.Header.Get(header.Hops) != "" || r.Header.Get(header.Caller) != "" || resp.Header.Get(header.Hops) != "" {
		t.Errorf("headers of the forwarding reached the upstream or the caller: %v, %v", r.Header, resp.Header)
	}
}

// TestForwardedRequestKeepsItsCaller guards against a harmful request that is not recognised, and
// callers that are confused with each other, because another gateway appears as the caller.
func TestForwardedRequestKeepsItsCaller(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[0]
	var crashes []poison.Crash
	for event := range poison.Event(4) {
		crashes = append(crashes, poison.Crash{Digest: poison.DigestOf("/read/same", "10.9.8.7", nil), Event: event, At: g.now()})
	}
	g.suspects.mu.Lock()
	g.suspects.book.Merge(crashes)
	g.suspects.mu.Unlock()
	for caller, want := range map[string]answer.Kind{"10.9.8.7:5000": answer.Harmful, "10.9.8.6:5000": ""} {
		r := callerRequest(context.Background(), t, http.MethodGet, "http://"+g.listeners.Peers.Addr().String()+"/read/same", "same", "")
		r.Header.Set(header.Hops, "1")
		r.Header.Set(header.Caller, caller)
		resp, err := b.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got := answer.Kind(resp.Header.Get(header.Kind)); got != want {
			t.Errorf("caller %s: status %d, kind %q, want %q", caller, resp.StatusCode, got, want)
		}
	}
}

// TestBrokenForwardPromisesNothing guards against a request that is said not to have run although it
// was on its way when the gateway that it was forwarded to ended.
func TestBrokenForwardPromisesNothing(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	running := make(chan struct{}, 1)
	b.onUpstreamRequest = func(r *http.Request) {
		if platform.ID(r.Header) == "broken" {
			running <- struct{}{}
		}
	}
	b.startStandard()
	cut := b.gateways[1]
	b.cutOff(cut)
	for _, u := range b.upstreams {
		u.ServiceTime = 500 * time.Millisecond
	}
	var all sync.WaitGroup
	all.Go(func() {
		<-running
		for _, g := range b.gateways {
			if g != cut {
				g.kill()
			}
		}
	})
	resp, err := b.client.Do(callerRequest(context.Background(), t, http.MethodPost, "http://"+cut.callers+"/pay/x", "broken", ""))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	all.Wait()
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := b.oracle.Runs("broken"); n > 1 {
		t.Errorf("%d runs", n)
	}
}

// TestForwardedRequestEndsWithItsCaller guards against runs that go on behind another gateway after
// the caller has left.
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	running := make(chan context.Context, 1)
	b.onUpstreamRequest = func(r *http.Request) {
		if platform.ID(r.Header) == "left" {
			running <- r.Context()
		}
	}
	b.startStandard()
	b.cutOff(b.gateways[1])
	for _, u := range b.upstreams {
		u.ServiceTime = 1500 * time.Millisecond
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	var run context.Context
	var all sync.WaitGroup
	all.Go(func() {
		run = <-running
		leave()
	})
	if resp, err := b.client.Do(callerRequest(ctx, t, http.MethodGet, "http://"+b.gateways[1].callers+"/read/x", "left", "")); err == nil {
		_ = resp.Body.Close()
		t.Errorf("status %d", resp.StatusCode)
	}
	all.Wait()
	b.eventually("the run ends", func() bool { return run.Err() != nil })
	// A caller that leaves must not make the other gateway look broken.
	for _, g := range []*testGateway{b.gateways[0], b.gateways[2]} {
		if _, ok := b.gateways[1].proxy.forward.choose([]string{g.listeners.Peers.Addr().String()}); !ok {
			t.Errorf("no gateway is left besides %s", g.conf.Node)
		}
	}
}

// forwardTo sends a request to an address as to another gateway.
func forwardTo(t *testing.T, f *proxy, address, id string) (*pool.Response, error) {
	t.Helper()
	r := callerRequest(context.Background(), t, http.MethodPost, "http://h.example/pay/x", id, "")
	q, err := f.parse(r, f.now())
	if err != nil {
		t.Fatal(err)
	}
	response, err := f.expectResponse(q)
	if err != nil {
		t.Fatal(err)
	}
	return f.sendToPeer(context.Background(), q, reach.Peer{Address: address}, response)
}

// TestGatewaysOfEarlierVersionsTakeNoForwardedRequests guards against callers that are told "not found" by
// a gateway that does not know forwarded requests.
func TestGatewaysOfEarlierVersionsTakeNoForwardedRequests(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	f := b.gateways[0].proxy
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	for name, tt := range map[string]struct {
		address string
		want    bool
	}{"earlier": {earlier.Listener.Addr().String(), false}, "present": {b.gateways[1].listeners.Peers.Addr().String(), true}} {
		resp, err := forwardTo(t, f, tt.address, "version-"+name)
		if err != nil || isForwardTaken(resp) != tt.want {
			t.Errorf("%s version: %v, error %v", name, resp, err)
		}
	}
}

// TestForwardedLoadIsBounded guards against a few gateways that are given the work of a whole failure
// domain.
func TestForwardedLoadIsBounded(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[0]
	for _, inProgress := range []int64{0, forwardedFloor, forwardedFloor - 1} {
		g.proxy.forward.inProgress.Store(inProgress)
		r := callerRequest(context.Background(), t, http.MethodGet, "http://"+g.listeners.Peers.Addr().String()+"/read/x", "bounded", "")
		r.Header.Set(header.Hops, "1")
		resp, err := b.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if refused := resp.Header.Get(header.Refused) == header.RefusedOverloaded; refused != (inProgress == forwardedFloor) {
			t.Errorf("status %d, refused: %v, with %d in progress", resp.StatusCode, refused, inProgress)
		}
	}
}

// TestRequestsAreForwardedOnce guards against requests that go from one gateway to the next while none
// reaches an upstream: they are refused.
func TestRequestsAreForwardedOnce(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.cutOff(b.gateways...)
	served := func() (n int) {
		for _, g := range b.gateways {
			count, _ := strconv.Atoi(metricsOf(g)["forward.served"])
			n += count
		}
		return n
	}
	before := served()
	for range 5 {
		for _, g := range b.gateways {
			if a := b.request(g, http.MethodPost, "/pay/x", -1); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || b.oracle.Runs(a.id) != 0 {
				t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
			}
		}
	}
	if n := served(); n != before {
		t.Errorf("%d forwarded requests were taken by gateways that reach no upstream", n-before)
	}
}

// TestStoppingGatewayAnswersForwardedRequests guards against forwarded requests that are lost when the
// gateway that serves them stops as planned.
func TestStoppingGatewayAnswersForwardedRequests(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	cut := b.gateways[1]
	b.cutOff(cut)
	b.upstreams["i-p0"].ServiceTime = 50 * time.Millisecond
	b.upstreams["i-p1"].ServiceTime = 50 * time.Millisecond
	var stopped, failed atomic.Int64
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for stopped.Load() == 0 {
				if a := b.request(cut, http.MethodPost, "/pay/x", -1); a.err != nil || a.status != http.StatusOK {
					failed.Add(1)
					t.Logf("status %d, %q, error %v", a.status, a.body, a.err)
				}
			}
		})
	}
	b.eventually("requests are forwarded", func() bool {
		n, _ := strconv.Atoi(metricsOf(b.gateways[2])["forward.served"])
		return n > 5
	})
	b.gateways[2].stop()
	<-b.gateways[2].done
	stopped.Add(1)
	all.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d requests failed", failed.Load())
	}
}

// TestRefusalAfterBrokenForwardPromisesNothing guards against a request that is said not to have run by one gateway after another one may have run it.
func TestRefusalAfterBrokenForwardPromisesNothing(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	f := b.gateways[0].proxy
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer breaks.Close()
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
		refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.Hops, "1")
			w.Header().Set(platform.RequestID, platform.ID(r.Header))
			w.WriteHeader(status)
		}))
		next := []string{breaks.Listener.Addr().String(), refuses.Listener.Addr().String()}
		f.forward.conns = pool.NewWithDialer(forwardLimits, time.Now, func(ctx context.Context, network, _ string) (net.Conn, error) {
			address := next[0]
			next = next[1:]
			return (&net.Dialer{}).DialContext(ctx, network, address)
		})
		r := callerRequest(context.Background(), t, http.MethodGet, "http://h.example/read/x", fmt.Sprint("refused-", status), "")
		q, err := f.parse(r, f.now())
		if err != nil {
			t.Fatal(err)
		}
		f.forward.peers = reach.NewPeers("a", nil, rand.New(rand.NewPCG(1, 1)))
		resp, handled, err := f.forwardToPeer(context.Background(), q)
		if !handled || len(next) != 0 || answer.KindOf(err) != answer.Broken {
			t.Errorf("second gateway answers %d: %v, error %v, handled: %v, %d gateways not asked", status, resp, err, handled, len(next))
		}
		refuses.Close()
	}
}

// TestUpstreamAtGatewayAddressRunsNoForwardedRequest guards against a request that runs at an upstream which has taken over the address of a gateway, and is then sent on as not run.
func TestUpstreamAtGatewayAddressRunsNoForwardedRequest(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	f := b.gateways[0].proxy
	resp, err := forwardTo(t, f, b.upstreams["i-p0"].address, "astray")
	if err != nil || isForwardTaken(resp) || b.oracle.Runs("astray") != 0 {
		t.Errorf("response %v, error %v, %d runs", resp, err, b.oracle.Runs("astray"))
	}
}

// TestLateForwardKeepsOnlyGateway guards against requests that are refused because one before them, forwarded to the only other gateway, got no answer in its time.
func TestLateForwardKeepsOnlyGateway(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	b.upstream("i-p0", "pay")
	for i := range 2 {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	f := b.gateways[0].proxy
	silent := b.listen()
	f.forward.conns = pool.NewWithDialer(forwardLimits, time.Now, func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, silent.Addr().String())
	})
	b.eventually("the other gateway is known", func() bool { return len(b.gateways[0].cluster.otherGateways()) == 1 })
	q, err := f.parse(callerRequest(t.Context(), t, http.MethodPost, "http://h.example/pay/x", "late", ""), f.now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if resp, handled, err := f.forwardToPeer(ctx, q); !handled || answer.KindOf(err) != answer.TimedOut {
		t.Errorf("response %v, handled: %v, error %v", resp, handled, err)
	}
	if _, ok := f.forward.choose(nil); !ok {
		t.Error("the only other gateway is not asked any more")
	}
}
