package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/eventlog"
)

// This file tests the start of all gateways at once, beside upstreams that still run and a store that
// holds the assignment.

const (
	coldStartGateways  = 6
	coldStartUpstreams = 40
	coldStartSeeds     = 3
	// storeDelay is the time that each call to the store takes in these tests.
	storeDelay = 15 * time.Millisecond
)

// newColdStartCluster returns a test cluster that serves, with a store that answers slowly.
func newColdStartCluster(t *testing.T) *testCluster {
	t.Helper()
	b := newTestCluster(t)
	b.wrapStoreEndpoint = delayedStore(storeDelay)
	for i := range coldStartUpstreams {
		b.startUpstream(fmt.Sprintf("i-s%02d", i), "status", 1_000_000)
		b.startUpstream(fmt.Sprintf("i-p%02d", i), "pay", 1_000_000)
	}
	for i := range coldStartGateways {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	return b
}

// delayedStore delays all calls to the store.
func delayedStore(d time.Duration) func(net.Listener, http.Handler) (net.Listener, http.Handler) {
	return func(l net.Listener, h http.Handler) (net.Listener, http.Handler) {
		return l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(d)
			h.ServeHTTP(w, r)
		})
	}
}

// killAll ends all gateways at once.
func (b *testCluster) killAll() []*testGateway {
	var all sync.WaitGroup
	for _, g := range b.gateways {
		all.Go(g.kill)
	}
	all.Wait()
	former := b.gateways
	b.gateways = nil
	return former
}

// startAgain starts gateways again at their former addresses, with the given seeds.
func (b *testCluster) startAgain(seeds []jsonc.Addr, former ...*testGateway) {
	b.t.Helper()
	for _, g := range former {
		g.conf.Seeds = seeds
		b.reopenPorts(g.ports.callers, g.ports.ready, g.ports.peers)
		b.startGateway(g.conf, g.ports)
	}
}

// coldStartRecord is what callers saw after a start.
type coldStartRecord struct {
	began time.Time

	mu sync.Mutex
	// answered counts successful responses by path.
	answered map[string]int
	refused  map[string]*refusals
	// firstAnswered is when the first request of a path was answered, slowest the longest time that a
	// request has waited for its final response.
	firstAnswered map[string]time.Duration
	slowest       time.Duration
	// sentBefore counts the requests that were sent before the gateway was ready.
	sentBefore int
}

// refusals are responses with the same path, status and message.
type refusals struct {
	count int
	// retryAfter are the shortest and the longest Retry-After time, in seconds.
	shortest, longest float64
	// answerless is set if there was no response.
	answerless bool
}

// ask sends requests to all gateways for the duration, every 20 ms one keyed and one other to each.
func (b *testCluster) ask(gateways []*testGateway, d time.Duration) *coldStartRecord {
	r := &coldStartRecord{began: time.Now(), answered: make(map[string]int), refused: make(map[string]*refusals), firstAnswered: make(map[string]time.Duration)}
	var calls sync.WaitGroup
	for n := 0; time.Since(r.began) < d; n++ {
		for i, g := range gateways {
			key := (n*7919 + i*997) % spans.MaxKey
			calls.Go(func() { r.record(b, g, http.MethodGet, "/status/x", key) })
			calls.Go(func() { r.record(b, g, http.MethodPost, "/pay/x", -1) })
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	return r
}

// record sends one request on a connection of its own and records the response.
func (r *coldStartRecord) record(b *testCluster, g *testGateway, method, path string, key int) {
	sent, before := time.Now(), !g.Gateway.ready()
	a := b.requestWith(g, method, path, key, http.Header{"Connection": {"close"}})
	took := time.Since(sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if before {
		r.sentBefore++
	}
	r.slowest = max(r.slowest, took)
	if a.err == nil && a.status == http.StatusOK {
		r.answered[path]++
		if _, ok := r.firstAnswered[path]; !ok {
			r.firstAnswered[path] = time.Since(r.began)
		}
		return
	}
	cause := fmt.Sprintf("%s %d %q, error %v", path, a.status, a.body, a.err)
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if r.refused[cause] == nil {
		r.refused[cause] = &refusals{shortest: seconds, answerless: a.err != nil}
	}
	n := r.refused[cause]
	n.count, n.shortest, n.longest = n.count+1, min(n.shortest, seconds), max(n.longest, seconds)
}

func (r *coldStartRecord) log(t *testing.T) {
	t.Helper()
	t.Logf("answered %v, first %v, slowest %v, sent before ready %d", r.answered, r.firstAnswered, r.slowest, r.sentBefore)
	for _, cause := range slices.Sorted(maps.Keys(r.refused)) {
		n := r.refused[cause]
		t.Logf("%d refused, Retry-After %v to %v: %s", n.count, n.shortest, n.longest, cause)
	}
}

// startTimes are when, after their start, all gateways knew or did something.
type startTimes struct{ configuration, upstreams, owners, ready, leading, granted time.Duration }

// watchStart waits until all gateways serve all keys, and returns when they reached each step.
func (b *testCluster) watchStart(ctx context.Context, began time.Time) startTimes {
	var out startTimes
	step := func(at *time.Duration, reached func(*testGateway) bool) {
		if *at == 0 && !slices.ContainsFunc(b.gateways, func(g *testGateway) bool { return !reached(g) }) {
			*at = time.Since(began)
		}
	}
	for ctx.Err() == nil && (out.ready == 0 || out.granted == 0) {
		step(&out.configuration, func(g *testGateway) bool { return g.view.table.Load() != nil })
		step(&out.upstreams, func(g *testGateway) bool { return g.view.inst.Load() != nil })
		step(&out.owners, func(g *testGateway) bool { return g.view.spansOf("status") != nil })
		step(&out.ready, func(g *testGateway) bool { return g.Gateway.ready() })
		if out.leading == 0 && b.leader() != nil {
			out.leading = time.Since(began)
		}
		if out.granted == 0 && b.allHeld() {
			out.granted = time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	return out
}

// allHeld reports whether each of a sample of keys is held by an upstream.
func (b *testCluster) allHeld() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := 0; key <= spans.MaxKey; key += 256 {
		held := false
		for _, u := range b.upstreams {
			held = held || u.Holds(uint16(key))
		}
		if !held {
			return false
		}
	}
	return true
}

// TestStartOfAllGateways checks that no request is refused because the gateways have only just started,
// whether the upstreams still hold their keys or not, and whether the former leader starts with the others
// or not. Owners that hold no keys any more must be granted them before requests are sent there.
func TestStartOfAllGateways(t *testing.T) {
	for name, c := range map[string]struct {
		off        time.Duration
		leaderGone bool
	}{
		"keys still held":    {off: 500 * time.Millisecond},
		"keys held no more":  {off: 4500 * time.Millisecond},
		"former leader gone": {off: 4500 * time.Millisecond, leaderGone: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newColdStartCluster(t)
			leader := b.leader().conf.Node
			former := b.killAll()
			time.Sleep(c.off)
			var seeds []jsonc.Addr
			for _, g := range former[:coldStartSeeds] {
				seeds = append(seeds, g.conf.Peers)
			}
			if c.leaderGone {
				former = slices.DeleteFunc(former, func(g *testGateway) bool { return g.conf.Node == leader })
			}
			began := time.Now()
			b.startAgain(seeds, former...)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var times startTimes
			var watching sync.WaitGroup
			watching.Go(func() { times = b.watchStart(ctx, began) })
			r := b.ask(b.gateways, 2*time.Second)
			watching.Wait()
			t.Logf("all gateways: %+v", times)
			r.log(t)
			var granted time.Duration
			if l := b.leader(); l != nil {
				k := l.assignments.assigner("status")
				k.mu.Lock()
				granted = k.firstGrants.All()
				k.mu.Unlock()
				t.Logf("all spans granted %v after the takeover", granted)
			}
			for cause, n := range r.refused {
				if strings.Contains(cause, "does not hold the key") && 0 < granted && granted < 400*time.Millisecond {
					t.Errorf("sent to owners without grants: %d requests: %s", n.count, cause)
				}
				if n.answerless || strings.Contains(cause, "no upstream is known") || strings.Contains(cause, "no configuration yet") {
					t.Errorf("%d requests: %s", n.count, cause)
				}
			}
		})
	}
}

// TestRequestsBeforeFirstConfiguration checks that a request that comes before the first configuration is
// refused in the time that its caller has, with a time to come back, and that the configuration's limits on
// callers apply once it is there.
func TestRequestsBeforeFirstConfiguration(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	b.upstream("i-p0", "pay")
	b.store.Endpoint("g0").SetMode(metastore.Unavailable)
	g := b.gateway("g0")
	b.client.Timeout = 2 * time.Second
	if a := b.request(g, http.MethodPost, "/pay/x", -1); a.err != nil || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, error %v", a.status, a.header.Get("Retry-After"), a.err)
	}
	if g.Gateway.ready() {
		t.Error("ready without a configuration")
	}
	b.client.Timeout = 0
	b.store.SetAllModes(metastore.Healthy)
	b.ready()
	b.mustRequest(g, http.MethodPost, "/pay/x", -1)
	long := http.Header{"X-Filler": {strings.Repeat("x", 1<<16)}}
	b.eventually("headers beyond the limit are refused", func() bool {
		return b.requestWith(g, http.MethodGet, "/read/x", -1, long).status == http.StatusRequestHeaderFieldsTooLarge
	})
}

// TestRequestsBeforeListsWait checks that a request that comes before the upstreams or the owners are known
// waits for them within the waiting time of its objective, and not at all while the store is unavailable.
func TestRequestsBeforeListsWait(t *testing.T) {
	t.Parallel()
	unavailable := false
	v, began := newView(), time.Now()
	s := &startup{view: v, now: time.Now, startedAt: began, storeUnavailable: func() bool { return unavailable }, meters: newMeters()}
	ask := func(objective time.Duration) error {
		q := &request{
			route: &routing.Route{Objective: objective}, service: &routing.Service{Name: "status", Keyed: true},
			receivedAt: time.Now(), deadline: time.Now().Add(time.Hour),
		}
		if err := s.awaitUpstreams(context.Background(), q); err != nil {
			return err
		}
		return s.awaitOwners(context.Background(), q)
	}
	refusedWith := func(err error) string {
		var known *answer.Error
		if !errors.As(err, &known) || known.Kind != answer.NoOwner || known.RetryAfter <= 0 {
			t.Errorf("error %v", err)
		}
		return fmt.Sprint(err)
	}
	if cause := refusedWith(ask(time.Millisecond)); !strings.Contains(cause, "upstreams") {
		t.Error(cause)
	}
	unavailable = true
	if cause := refusedWith(ask(time.Hour)); !strings.Contains(cause, "upstreams") {
		t.Error(cause)
	}
	unavailable = false
	ended := make(chan error)
	go func() { ended <- ask(time.Hour) }()
	v.setInstances(1, instances.NewView(1, nil))
	if cause := refusedWith(ask(time.Millisecond)); !strings.Contains(cause, "owners") {
		t.Error(cause)
	}
	v.setSpans(&spans.Table{Service: "status", Version: 1})
	if err := <-ended; err != nil {
		t.Errorf("a request that waited is refused: %v", err)
	}
}

// idleGateway returns a gateway that does not run and calls the store of the cluster.
func (b *testCluster) idleGateway(g *testGateway) *Gateway {
	b.t.Helper()
	conf := g.conf
	conf.Node = "idle"
	ports := gatewayPorts{callers: b.port(), ready: b.port(), peers: b.port()}
	conf.Callers, conf.Ready, conf.Peers = ports.callers.addr(), ports.ready.addr(), ports.peers.addr()
	listeners, err := Listen(conf)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() {
		for _, l := range []net.Listener{listeners.Callers, listeners.Ready, listeners.Peers} {
			_ = l.Close()
		}
	})
	clock, _ := suspendableClock()
	return newGateway(conf, listeners, eventlog.New(time.Now), clock)
}

// TestLoserOfLeaseRaceFollowsWinner checks that a gateway whose write of the lease is refused knows the new
// leader at once, not at its next read, which may be 500 ms later.
func TestLoserOfLeaseRaceFollowsWinner(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	other := b.idleGateway(b.gateways[0])
	other.elector.acquire(context.Background(), leadership.Lease{}, 1, time.Now())
	if l := other.cluster.knownLeader(); l == nil || l.Member.Node != b.leader().conf.Node {
		t.Errorf("the known leader is %v", l)
	}
}

// TestSeedReadsLeaseAtStart checks that a seed's first read of the lease, at its start, counts for the time
// that the lease must be unchanged, and that a gateway that learns that the lease is its former process's
// takes it over without a wait.
func TestSeedReadsLeaseAtStart(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	other := b.idleGateway(b.gateways[0])
	l := other.elector
	l.observe(context.Background())
	if _, ok := l.claim.EarliestTakeOver(true); !ok || l.cluster.knownLeader() == nil {
		t.Error("the first read is not taken note of")
	}
	if l.acquireDue(0, false) {
		t.Error("takes over from another gateway at its start")
	}
	self := l.cluster.self
	l.cluster.setLeader(&syncpb.Leader{Member: &syncpb.Member{Node: self.Node, Address: self.Address, Incarnation: "former"}, Term: 1 << 20})
	if !l.acquireDue(0, false) {
		t.Error("waits for the lease of its own former process")
	}
}
