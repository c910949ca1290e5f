package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/bootclock"
	"github.com/rockcroft/rockcroft/transport/eventlog"
)

// testCluster is a small deployment in one process: a store, upstreams and gateways that
// communicate over real connections.
type testCluster struct {
	// keepIdle disables the idle timeout of connections between gateways.
	keepIdle bool
	// limitLinks puts bandwidth limits, wide at first, on each gateway's listener for other
	// gateways and on each connection path to the store.
	limitLinks bool
	// wrapStoreEndpoint, if set, wraps the listener and the handler of each gateway's access to the
	// store.
	wrapStoreEndpoint func(net.Listener, http.Handler) (net.Listener, http.Handler)
	// wrapPeerDial, if set, wraps the function with which the named gateway connects to other gateways.
	wrapPeerDial func(node string, dial dialFunc) dialFunc
	// onUpstreamRequest, if set, is called with each request that reaches an upstream.
	onUpstreamRequest func(*http.Request)
	// changeSettings, if set, changes the settings of each gateway before it starts.
	changeSettings func(*settings.Gateway)
	t              *testing.T
	store          *metastore.Store
	oracle         *instance.Oracle
	gateways       []*testGateway
	client         *http.Client
	requestCount   atomic.Int64
	mu             sync.Mutex
	upstreams      map[string]*upstream
	ports          []*port
	// written holds when gateways last wrote to upstreams, by the local address of the connection.
	written sync.Map
}

// testGateway is a gateway that can be stopped or killed.
type testGateway struct {
	*Gateway
	// suspendedNs is the time for which the clocks report that the machine was suspended, in
	// nanoseconds.
	suspendedNs   *atomic.Int64
	eventLog      *eventlog.Log
	storeEndpoint *metastore.Endpoint
	callers       string
	// peersLink carries this gateway's responses to other gateways, storeLink the store's
	// responses to it. Both are nil unless limitLinks is set.
	peersLink, storeLink *relay.Link
	// upstreamLinks are the links to all upstreams.
	upstreamLinks *upstreamLinks
	stop          context.CancelFunc
	done          chan struct{}
	ports         gatewayPorts
}

// upstream is a stand-in instance with its server.
type upstream struct {
	*instance.Instance
	service string
	domain  string
	address string
	// born is the start time that it reports, in Unix milliseconds; zero if it reports none.
	born   uint64
	server *http.Server
}

// config returns a configuration with one keyed service and one that is not keyed.
func config(version uint64) platform.ConfigBody {
	route := func(path, kind, service string, priority int) platform.RouteBody {
		return platform.RouteBody{
			Host: "h.example", Path: path, Kind: kind, Timeout: 2, TargetLatency: 1, Priority: priority,
			Service: service, MaxAttempts: 2,
		}
	}
	return platform.ConfigBody{
		Version: version,
		Routes: map[string]platform.RouteBody{
			"status": route("/status/", "safe", "status", 2),
			"pay":    route("/pay/", "unsafe", "pay", 0),
			"read":   route("/read/", "safe", "pay", 1),
		},
		Services: map[string]platform.ServiceBody{
			"status": {MaxConns: 100, Keyed: true, WarmUp: 1},
			"pay":    {MaxConns: 100},
		},
		Limits: platform.LimitsBody{MaxHeader: 16384, MaxBody: 100000, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	b := &testCluster{t: t, store: metastore.New(), oracle: instance.NewOracle(), upstreams: make(map[string]*upstream), client: &http.Client{}}
	b.configure(2)
	t.Cleanup(b.close)
	return b
}

// configure writes the given version of the configuration to the store.
func (b *testCluster) configure(version uint64) {
	b.store.Put(platform.ConfigKind, platform.ConfigName, config(version))
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// upstream starts an instance and registers it.
func (b *testCluster) upstream(id, service string) *upstream {
	b.t.Helper()
	return b.startUpstream(id, service, 0)
}

// upstreamIn is upstream in a given failure domain.
func (b *testCluster) upstreamIn(domain, id, service string) *upstream {
	b.t.Helper()
	return b.startUpstreamIn(domain, id, service, 0)
}

// restart ends an upstream's process and starts it again with the same ID at another address.
func (b *testCluster) restart(u *upstream) *upstream {
	b.t.Helper()
	_ = u.server.Close()
	u.Terminate()
	return b.startUpstreamIn(u.domain, u.ID, u.service, u.born+1)
}

func (b *testCluster) startUpstream(id, service string, born uint64) *upstream {
	b.t.Helper()
	return b.startUpstreamIn("a", id, service, born)
}

func (b *testCluster) startUpstreamIn(domain, id, service string, born uint64) *upstream {
	b.t.Helper()
	u := b.serveUpstream(b.listen(), domain, id, service, born)
	b.register(u, "ready")
	return u
}

// restartAtSameAddress starts the next process of an upstream at the address of the former one, which has
// ended. Its entry is not written.
func (b *testCluster) restartAtSameAddress(former *upstream) *upstream {
	l := b.listenAgain(former.address)
	return b.serveUpstream(l, former.domain, former.ID, former.service, former.born+1)
}

// serveUpstream starts an upstream without an entry.
func (b *testCluster) serveUpstream(l net.Listener, domain, id, service string, born uint64) *upstream {
	u := &upstream{
		Instance: instance.New(id, service == "status", 5*time.Millisecond, b.oracle),
		service:  service, domain: domain, address: l.Addr().String(), born: born,
	}
	u.ArrivedAt = b.arrivedAt
	u.server = &http.Server{ConnContext: instance.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.onUpstreamRequest != nil {
			b.onUpstreamRequest(r)
		}
		u.ServeHTTP(w, r)
	})}
	go func() { _ = u.server.Serve(l) }()
	b.mu.Lock()
	b.upstreams[id] = u
	b.mu.Unlock()
	return u
}

// arrivedAt returns when a gateway last wrote to an upstream on the connection from an address: on the loopback
// interface the bytes have arrived then.
func (b *testCluster) arrivedAt(remote string) time.Time {
	at, _ := b.written.Load(remote)
	arrived, _ := at.(time.Time)
	return arrived
}

func (b *testCluster) register(u *upstream, state string) {
	var body platform.InstanceBody
	body.Address, body.StartedMs = u.address, u.born
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, 4
	body.Status.State = state
	b.store.Put(platform.InstancesKind, u.ID, body)
}

// gateway starts a gateway.
func (b *testCluster) gateway(name string) *testGateway {
	b.t.Helper()
	conf := settings.DefaultGateway()
	conf.Node, conf.Domain = name, "a"
	ports := gatewayPorts{callers: b.port(), ready: b.port(), peers: b.port()}
	conf.Callers, conf.Ready, conf.Peers = ports.callers.addr(), ports.ready.addr(), ports.peers.addr()
	conf.DrainNotice, conf.StopLimit = jsonc.Duration(200*time.Millisecond), jsonc.Duration(6*time.Second)
	conf.UpstreamDrainTimeout, conf.MaxGrantDuration = jsonc.Duration(2*time.Second), jsonc.Duration(10*time.Second)
	conf.RetryShare, conf.RetryAllowance, conf.RetryWindow = 0.2, 50, jsonc.Duration(10*time.Second)
	conf.MemoryMB = 200
	for _, g := range b.gateways {
		conf.Seeds = append(conf.Seeds, jsonc.Addr{AddrPort: netip.MustParseAddrPort(g.listeners.Peers.Addr().String())})
	}
	if b.changeSettings != nil {
		b.changeSettings(&conf)
	}
	return b.startGateway(conf, ports)
}

// gatewayPorts are the ports of one gateway.
type gatewayPorts struct{ callers, ready, peers *port }

// startGateway starts a gateway with the given settings. It completes the address of the store.
func (b *testCluster) startGateway(conf settings.Gateway, ports gatewayPorts) *testGateway {
	b.t.Helper()
	endpoint := b.store.Endpoint(conf.Node)
	storeListener := b.listen()
	var peersLink, storeLink *relay.Link
	if b.limitLinks {
		storeLink = relay.LimitRate(storeListener, relay.Unlimited)
		storeListener = storeLink
	}
	storeServer, at := &http.Server{Handler: endpoint}, storeListener
	if b.wrapStoreEndpoint != nil {
		at, storeServer.Handler = b.wrapStoreEndpoint(storeListener, endpoint)
	}
	go func() { _ = storeServer.Serve(at) }()
	conf.Store = jsonc.Addr{AddrPort: netip.MustParseAddrPort(storeListener.Addr().String())}
	listeners, err := Listen(conf)
	if err != nil {
		b.t.Fatal(err)
	}
	b.claimPorts(ports.callers, ports.ready, ports.peers)
	if b.limitLinks {
		peersLink = relay.LimitRate(listeners.Peers, relay.Unlimited)
		listeners.Peers = peersLink
	}
	eventLog := eventlog.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	clock, asleep := suspendableClock()
	g := &testGateway{
		Gateway: newGateway(conf, listeners, eventLog, clock), suspendedNs: asleep, eventLog: eventLog, storeEndpoint: endpoint, callers: listeners.Callers.Addr().String(),
		peersLink: peersLink, storeLink: storeLink, stop: cancel, done: make(chan struct{}), ports: ports,
	}
	g.upstreamLinks = cuttableLinks(g.Gateway)
	g.upstreamLinks.written = &b.written
	if b.keepIdle {
		// By default idle connections to other gateways are closed after a while.
		g.cluster.http.Transport.(*progressTransport).base.IdleConnTimeout = 0
	}
	if base := g.cluster.http.Transport.(*progressTransport).base; b.wrapPeerDial != nil {
		base.DialContext = b.wrapPeerDial(conf.Node, base.DialContext)
	}
	go func() {
		defer close(g.done)
		_ = g.Run(ctx)
		_ = storeServer.Close()
	}()
	b.gateways = append(b.gateways, g)
	return g
}

// suspendableClock returns a clock that reports a suspension of the machine as long as the
// returned number of nanoseconds.
func suspendableClock() (*bootclock.Clock, *atomic.Int64) {
	var asleep atomic.Int64
	began := time.Now()
	return bootclock.NewFromSources(bootclock.Sources{
		Monotonic: time.Now,
		Wall:      func(t time.Time) int64 { return t.UnixNano() + asleep.Load() },
		Boot:      func() (time.Duration, error) { return time.Since(began) + time.Duration(asleep.Load()), nil },
	}), &asleep
}

// suspend makes the gateway's clocks report that the machine has just resumed from a
// suspension. The gateway does not actually pause, so what others would do meanwhile is not
// simulated.
func (g *testGateway) suspend(d time.Duration) { g.suspendedNs.Add(int64(d)) }

// kill ends a gateway without a graceful stop, like a lost process.
func (g *testGateway) kill() {
	select {
	case <-g.done:
	default:
		close(g.killed)
		<-g.done
	}
}

func (b *testCluster) close() {
	defer b.releasePorts()
	for _, g := range b.gateways {
		g.kill()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		_ = u.server.Close()
	}
	for _, v := range b.oracle.Violations() {
		b.t.Error(v)
	}
}

// eventually waits until the condition holds. The deadline only ends a test that hangs.
func (b *testCluster) eventually(what string, condition func() bool) {
	b.t.Helper()
	limit := time.Now().Add(time.Minute)
	for !condition() {
		if time.Now().After(limit) {
			b.t.Fatalf("condition not reached within a minute: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ready waits until all gateways are ready and every key has an owner.
func (b *testCluster) ready() {
	b.t.Helper()
	b.eventually("all gateways are ready and all keys have an owner", func() bool {
		for _, g := range b.gateways {
			if !g.running() {
				continue
			}
			if !g.Gateway.ready() || !g.allOwned() {
				return false
			}
		}
		return true
	})
}

func (g *testGateway) running() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

func (g *testGateway) allOwned() bool {
	t := g.view.spansOf("status")
	if t == nil {
		return false
	}
	for _, s := range t.Spans {
		if s.Moving() || s.Owner == "" {
			return false
		}
	}
	return true
}

// leader returns the gateway that leads, or nil.
func (b *testCluster) leader() *testGateway {
	for _, g := range b.gateways {
		if g.running() && g.cluster.isLeading() && g.elector.mayAct() {
			return g
		}
	}
	return nil
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// request sends one request through a gateway.
func (b *testCluster) request(g *testGateway, method, path string, key int) callerResponse {
	return b.requestWith(g, method, path, key, nil)
}

// requestWith is request with additional headers.
func (b *testCluster) requestWith(g *testGateway, method, path string, key int, header http.Header) callerResponse {
	id := fmt.Sprintf("r%d", b.requestCount.Add(1))
	body := ""
	if method == http.MethodPost {
		body = "body of " + id
	}
	return b.send(g, id, method, path, key, header, body)
}

// upload sends a request with the given body, which must not run twice and has no key.
func (b *testCluster) upload(g *testGateway, path, body string) callerResponse {
	return b.send(g, fmt.Sprintf("r%d", b.requestCount.Add(1)), http.MethodPost, path, -1, nil, body)
}

func (b *testCluster) send(g *testGateway, id, method, path string, key int, header http.Header, body string) callerResponse {
	r, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, "2000")
	if key >= 0 {
		r.Header.Set(platform.ShardKey, fmt.Sprint(key))
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return callerResponse{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{id: id, status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

// mustRequest sends a request and fails the test unless it gets the upstream's response.
func (b *testCluster) mustRequest(g *testGateway, method, path string, key int) callerResponse {
	b.t.Helper()
	a := b.request(g, method, path, key)
	if a.err != nil || a.status != http.StatusOK || !strings.HasPrefix(a.body, "done "+a.id+" by ") {
		b.t.Fatalf("%s %s: status %d, body %q, error %v", method, path, a.status, a.body, a.err)
	}
	return a
}
