package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/relay"
	"github.com/rockcroft/rockcroft/state/settings"
)

// This file tests gateways whose source of news is a process that is frozen for some seconds.

// freeze stalls what one gateway exchanges with the store and with other gateways. Its timers run on.
type freeze struct {
	mu     sync.Mutex
	thawed chan struct{}
}

func newFreeze() *freeze {
	f := &freeze{thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

func (f *freeze) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thawed = make(chan struct{})
}

func (f *freeze) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.thawed)
}

func (f *freeze) ended() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.thawed
}

// freezableConn is a connection that sends nothing during a freeze.
type freezableConn struct {
	net.Conn
	freeze *freeze
}

// Write implements net.Conn.
func (c freezableConn) Write(p []byte) (int, error) {
	<-c.freeze.ended()
	return c.Conn.Write(p)
}

// freezableCluster is a test cluster whose gateways can be frozen.
type freezableCluster struct {
	*testCluster
	// byNode holds the freeze of each gateway.
	byNode map[string]*freeze
}

func newFreezableCluster(t *testing.T) *freezableCluster {
	t.Helper()
	b := &freezableCluster{testCluster: newTestCluster(t), byNode: make(map[string]*freeze)}
	b.limitLinks = true
	return b
}

// freezableGateway starts a gateway that can be frozen.
func (b *freezableCluster) freezableGateway(node string) *testGateway {
	b.t.Helper()
	f := newFreeze()
	b.byNode[node] = f
	b.wrapStoreEndpoint = func(l net.Listener, h http.Handler) (net.Listener, http.Handler) {
		return l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-f.ended():
				h.ServeHTTP(w, r)
			case <-r.Context().Done():
			}
		})
	}
	b.wrapPeerDial = func(_ string, dial dialFunc) dialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			return freezableConn{c, f}, err
		}
	}
	return b.gateway(node)
}

// freezeFor freezes a gateway for a duration.
func (b *freezableCluster) freezeFor(g *testGateway, d time.Duration) {
	f := b.byNode[g.conf.Node]
	f.begin()
	g.peersLink.SetRate(0)
	g.storeLink.SetRate(0)
	time.Sleep(d)
	f.end()
	g.peersLink.SetRate(relay.Unlimited)
	g.storeLink.SetRate(relay.Unlimited)
}

// TestLeavingUpstreamGetsNoLateRequestsAfterLeaderFreeze guards against followers that send to an upstream
// for longer than the drain timeout after the store took its leaving, because their leader was frozen.
func TestLeavingUpstreamGetsNoLateRequestsAfterLeaderFreeze(t *testing.T) {
	t.Parallel()
	const seeds = 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testDrainDuringLeaderFreeze(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

func testDrainDuringLeaderFreeze(t *testing.T, rng *rand.Rand) {
	const followers = 3
	b := newFreezableCluster(t)
	leaving := b.upstream("i-s0", "status")
	b.upstream("i-s1", "status")
	for i := range followers + 1 {
		b.freezableGateway(fmt.Sprint("g", i))
	}
	b.ready()
	leader := b.leader()
	key := -1
	for _, s := range leader.view.spansOf("status").Spans {
		if s.Owner == leaving.ID {
			key = int(s.First)
		}
	}
	// The leader is frozen for longer than its followers wait until they watch the store themselves, and
	// the upstream leaves shortly after the begin.
	delay := time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
	length := 1500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
	var all sync.WaitGroup
	all.Go(func() { b.freezeFor(leader, length) })
	time.Sleep(delay)
	b.register(leaving, "draining")
	drained := time.Now()
	drain := leader.conf.UpstreamDrainTimeout.D()
	for _, g := range b.gateways {
		if g == leader {
			continue
		}
		all.Go(func() {
			for time.Since(drained) < 2*drain {
				b.request(g, http.MethodGet, "/status/x", key)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	last := time.Duration(0)
	for _, a := range leaving.Arrivals() {
		if b.oracle.Runs(a.RequestID) > 0 {
			last = max(last, a.ReceivedAt.Sub(drained))
		}
	}
	t.Logf("drained %s after the begin of a freeze of %s, last request after %s", delay, length, last)
	if last > drain {
		t.Errorf("a request was sent %s after the store took the leaving of its upstream, %s are allowed", last, drain)
	}
}

// TestFollowerCountsChangesFromParentsGap guards against counting the drain time of an upstream from when a
// parent told of it that had lacked the change for a while, whether or not it answered meanwhile.
func TestFollowerCountsChangesFromParentsGap(t *testing.T) {
	for name, c := range map[string]struct {
		silence  time.Duration
		newsMs   uint32
		fetching bool
		earliest time.Duration
	}{
		"parent answers and is current":       {0, 0, false, 0},
		"parent answers and was not current":  {0, 1500, false, -1500 * time.Millisecond},
		"parent was silent":                   {time.Second, 0, false, -time.Second},
		"upstreams are still being fetched":   {time.Second, 0, true, -time.Second},
		"parent was silent and not current":   {time.Second, 1500, false, -1500 * time.Millisecond},
		"parent is behind by a report's time": {0, 100, false, 0},
	} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := &follower{view: newView(), now: clock, traffic: newTraffic(settings.DefaultGateway(), clock, rand.New(rand.NewPCG(1, 1))), fetcher: newFetcher(nil, nil, clock, nil, newMeters())}
		for range 10 {
			now = now.Add(minReportInterval)
			f.recordDoubt(&syncpb.SyncResponse{})
			f.recordCurrent(&syncpb.SyncResponse{})
		}
		now = now.Add(c.silence)
		resp := &syncpb.SyncResponse{NewsMs: c.newsMs}
		if c.fetching {
			f.fetcher.claim(partUpstreams)
		}
		f.recordDoubt(resp)
		if got := f.traffic.currency.EarliestChange(now).Sub(now); got != c.earliest {
			t.Errorf("%s: a change may have been made %s ago, want %s", name, -got, -c.earliest)
		}
		f.recordCurrent(resp)
		if got := f.traffic.currency.EarliestChange(now).Sub(now); got != c.earliest {
			t.Errorf("%s: a change in the next response may have been made %s ago, want %s", name, -got, -c.earliest)
		}
	}
}
