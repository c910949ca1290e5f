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

// bed is a small deployment in one process: a store, upstreams and gateways,
// over real connections.
type bed struct {
	// keepIdle lets connections between gateways stay idle for as long as they like.
	keepIdle bool
	// limitLinks puts limits, wide at first, on what each gateway's listener for other
	// gateways and each way to the store can send.
	limitLinks bool
	// atDoor, if set, stands between gateways and their doors to the store.
	atDoor   func(net.Listener, http.Handler) (net.Listener, http.Handler)
	t        *testing.T
	store    *metastore.Store
	oracle   *instance.Oracle
	gateways []*testGateway
	client   *http.Client
	next     atomic.Int64
	mu       sync.Mutex
	ups      map[string]*upstream
	ports    []*port
}

// testGateway is a gateway that can be stopped or killed.
type testGateway struct {
	*Gateway
	// asleep is for how long its machine was suspended, as its clocks say.
	asleep  *atomic.Int64
	lines   *eventlog.Log
	door    *metastore.Door
	callers string
	// peersLink carries this gateway's answers to others, storeLink the store's answers
	// to it; nil unless the bed limits links.
	peersLink, storeLink *relay.Link
	stop                 context.CancelFunc
	done                 chan struct{}
}

// upstream is a stand-in instance with its server.
type upstream struct {
	*instance.Instance
	service string
	domain  string
	address string
	// born is the Unix millisecond of its start, as it says; zero when it does not.
	born   uint64
	server *http.Server
}

// config is a configuration of the version with one keyed and one other service.
func config(version uint64) platform.ConfigBody {
	route := func(path, kind, service string, priority int) platform.RouteBody {
		return platform.RouteBody{
			Host: "h.example", Path: path, Kind: kind, Timeout: 2, Objective: 1, Priority: priority,
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

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{t: t, store: metastore.New(), oracle: instance.NewOracle(), ups: make(map[string]*upstream), client: &http.Client{}}
	b.configure(2)
	t.Cleanup(b.close)
	return b
}

// configure writes a version of the configuration.
func (b *bed) configure(version uint64) {
	b.store.Put(platform.ConfigKind, platform.ConfigName, config(version))
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// upstream starts an instance and registers it.
func (b *bed) upstream(id, service string) *upstream {
	b.t.Helper()
	return b.startUpstream(id, service, 0)
}

// upstreamIn is upstream in a failure domain.
func (b *bed) upstreamIn(domain, id, service string) *upstream {
	b.t.Helper()
	return b.startUpstreamIn(domain, id, service, 0)
}

// restart ends an upstream's process and starts it again under its ID, at another address.
func (b *bed) restart(u *upstream) *upstream {
	b.t.Helper()
	_ = u.server.Close()
	u.End()
	return b.startUpstreamIn(u.domain, u.ID, u.service, u.born+1)
}

func (b *bed) startUpstream(id, service string, born uint64) *upstream {
	b.t.Helper()
	return b.startUpstreamIn("a", id, service, born)
}

func (b *bed) startUpstreamIn(domain, id, service string, born uint64) *upstream {
	b.t.Helper()
	l := b.listen()
	u := &upstream{
		Instance: instance.New(id, service == "status", 5*time.Millisecond, b.oracle),
		service:  service, domain: domain, address: l.Addr().String(), born: born,
	}
	u.server = &http.Server{Handler: u.Instance}
	go func() { _ = u.server.Serve(l) }()
	b.mu.Lock()
	b.ups[id] = u
	b.mu.Unlock()
	b.register(u, "ready")
	return u
}

func (b *bed) register(u *upstream, state string) {
	var body platform.InstanceBody
	body.Address, body.Born = u.address, u.born
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, 4
	body.Status.State = state
	b.store.Put(platform.InstancesKind, u.ID, body)
}

// gateway starts a gateway.
func (b *bed) gateway(name string) *testGateway {
	b.t.Helper()
	door := b.store.Door(name)
	doorListener := b.listen()
	var peersLink, storeLink *relay.Link
	if b.limitLinks {
		storeLink = relay.Narrow(doorListener, relay.Wide)
		doorListener = storeLink
	}
	doorServer, at := &http.Server{Handler: door}, doorListener
	if b.atDoor != nil {
		at, doorServer.Handler = b.atDoor(doorListener, door)
	}
	go func() { _ = doorServer.Serve(at) }()
	conf := settings.DefaultGateway()
	conf.Node, conf.Domain = name, "a"
	callers, ready, peers := b.port(), b.port(), b.port()
	conf.Callers, conf.Ready, conf.Peers = callers.addr(), ready.addr(), peers.addr()
	conf.Store = jsonc.Addr{AddrPort: netip.MustParseAddrPort(doorListener.Addr().String())}
	conf.DrainNotice, conf.StopLimit = jsonc.Duration(200*time.Millisecond), jsonc.Duration(6*time.Second)
	conf.UpstreamDrain, conf.LongestHold = jsonc.Duration(2*time.Second), jsonc.Duration(10*time.Second)
	conf.RetryShare, conf.RetryAllowance, conf.RetryWindow = 0.2, 50, jsonc.Duration(10*time.Second)
	conf.Memory = 200
	for _, g := range b.gateways {
		conf.Seeds = append(conf.Seeds, jsonc.Addr{AddrPort: netip.MustParseAddrPort(g.open.Peers.Addr().String())})
	}
	open, err := Listen(conf)
	if err != nil {
		b.t.Fatal(err)
	}
	b.claimPorts(callers, ready, peers)
	if b.limitLinks {
		peersLink = relay.Narrow(open.Peers, relay.Wide)
		open.Peers = peersLink
	}
	lines := eventlog.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	clock, asleep := suspendable()
	g := &testGateway{
		Gateway: newGateway(conf, open, lines, clock), asleep: asleep, lines: lines, door: door, callers: open.Callers.Addr().String(),
		peersLink: peersLink, storeLink: storeLink, stop: cancel, done: make(chan struct{}),
	}
	if b.keepIdle {
		// Else idle connections to other gateways end by themselves after a while.
		g.cluster.http.Transport.(*progressTransport).base.IdleConnTimeout = 0
	}
	go func() {
		defer close(g.done)
		_ = g.Run(ctx)
		_ = doorServer.Close()
	}()
	b.gateways = append(b.gateways, g)
	return g
}

// suspendable returns a clock of a machine that is suspended for as long as the number says, in
// nanoseconds.
func suspendable() (*bootclock.Clock, *atomic.Int64) {
	var asleep atomic.Int64
	began := time.Now()
	return bootclock.NewFromSources(bootclock.Sources{
		Monotonic: time.Now,
		Wall:      func(t time.Time) int64 { return t.UnixNano() + asleep.Load() },
		Boot:      func() (time.Duration, error) { return time.Since(began) + time.Duration(asleep.Load()), nil },
	}), &asleep
}

// suspend lets the clocks of the gateway's machine say that it has just woken up from a suspension.
// What ran meanwhile at the others is not played.
func (g *testGateway) suspend(d time.Duration) { g.asleep.Add(int64(d)) }

// kill ends a gateway as a lost process ends.
func (g *testGateway) kill() {
	select {
	case <-g.done:
	default:
		close(g.abrupt)
		<-g.done
	}
}

func (b *bed) close() {
	defer b.releasePorts()
	for _, g := range b.gateways {
		g.kill()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.ups {
		_ = u.server.Close()
	}
	for _, v := range b.oracle.Violations() {
		b.t.Error(v)
	}
}

// eventually waits until the condition holds. The limit only ends a test that
// hangs.
func (b *bed) eventually(what string, condition func() bool) {
	b.t.Helper()
	limit := time.Now().Add(time.Minute)
	for !condition() {
		if time.Now().After(limit) {
			b.t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ready waits until all gateways are ready and every key has an owner.
func (b *bed) ready() {
	b.t.Helper()
	b.eventually("all ready", func() bool {
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
func (b *bed) leader() *testGateway {
	for _, g := range b.gateways {
		if g.running() && g.cluster.isLeading() && g.leading.mayAct() {
			return g
		}
	}
	return nil
}

// reply is what a caller got.
type reply struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// ask sends one request through a gateway.
func (b *bed) ask(g *testGateway, method, path string, key int) reply {
	id := fmt.Sprintf("r%d", b.next.Add(1))
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	r, err := http.NewRequest(method, "http://"+g.callers+path, body)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, "2000")
	if key >= 0 {
		r.Header.Set(platform.ShardKey, fmt.Sprint(key))
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

// mustAsk asks and wants the upstream's answer.
func (b *bed) mustAsk(g *testGateway, method, path string, key int) reply {
	b.t.Helper()
	a := b.ask(g, method, path, key)
	if a.err != nil || a.status != http.StatusOK || !strings.HasPrefix(a.body, "done "+a.id+" by ") {
		b.t.Fatalf("%s %s: status %d, body %q, error %v", method, path, a.status, a.body, a.err)
	}
	return a
}
