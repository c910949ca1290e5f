package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/bootclock"
	"github.com/rockcroft/rockcroft/transport/eventlog"
)

// This file runs the electors of gateways in virtual time, beside a store that fails.

// successions runs the electors of gateways step by step, by a clock that only the test advances.
type successions struct {
	t     *testing.T
	store *metastore.Store
	began time.Time

	mu  sync.Mutex
	now time.Time
}

// elector is the elector of a gateway that runs none of its loops.
type elector struct {
	*leaderElector
	s         *successions
	transport *faultyTransport
	listener  net.Listener
	server    *http.Server
	// calls counts the calls of other gateways, which wait while gate is locked.
	calls atomic.Int64
	gate  sync.RWMutex
	// unreachable is set while other gateways cannot call this one.
	unreachable atomic.Bool
	// ended is set once the process has ended.
	ended atomic.Bool
	// holdsUntil is until when upstreams may hold keys by its grants.
	holdsUntil time.Time
}

// storeFault tells what becomes of the calls of one elector to the store.
type storeFault int

const (
	storeHealthy storeFault = iota
	// storeDown executes nothing.
	storeDown
	// storeLosesResponses executes calls without a response.
	storeLosesResponses
	// storeDelaysWrites executes writes when deliver is called.
	storeDelaysWrites
)

// faultyTransport makes the calls of one elector to the store. It implements platform.Transport.
type faultyTransport struct {
	endpoint http.Handler

	mu      sync.Mutex
	fault   storeFault
	delayed []platform.Call
}

var errNoResponse = errors.New("no response")

func (f *faultyTransport) Call(_ context.Context, c platform.Call) (int, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.fault == storeDown:
		return 0, nil, errNoResponse
	case f.fault == storeDelaysWrites && c.Method != http.MethodGet:
		f.delayed = append(f.delayed, c)
		return 0, nil, errNoResponse
	}
	w := f.execute(c)
	if f.fault == storeLosesResponses {
		return 0, nil, errNoResponse
	}
	return w.Code, w.Body.Bytes(), nil
}

func (f *faultyTransport) execute(c platform.Call) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.endpoint.ServeHTTP(w, httptest.NewRequest(c.Method, c.Target, strings.NewReader(string(c.Body))))
	return w
}

func (f *faultyTransport) set(fault storeFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// deliver executes the delayed writes and ends the fault.
func (f *faultyTransport) deliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.delayed {
		f.execute(c)
	}
	f.delayed, f.fault = nil, storeHealthy
}

// uptime is how long the gateways have run before the first of them leads: longer than any grant.
const uptime = time.Hour

func newSuccessions(t *testing.T) *successions {
	began := time.Now()
	return &successions{t: t, store: metastore.New(), began: began, now: began}
}

func (s *successions) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *successions) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

// gateway returns the elector of a new gateway.
func (s *successions) gateway(node string) *elector {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	return s.process(node, l)
}

// restart returns the elector of a new process at the address of another one, which has ended.
func (s *successions) restart(former *elector) *elector {
	s.t.Helper()
	former.end()
	l, err := net.Listen("tcp", former.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	return s.process(former.cluster.self.Node, l)
}

func (s *successions) process(node string, l net.Listener) *elector {
	conf := settings.DefaultGateway()
	conf.MemoryMB = 200
	conf.Node, conf.Domain, conf.MaxGrantDuration = node, "a", jsonc.Duration(10*time.Second)
	clock := bootclock.NewFromSources(bootclock.Sources{
		Monotonic: s.clock, Wall: time.Time.UnixNano,
		Boot: func() (time.Duration, error) { return s.clock().Sub(s.began), nil },
	})
	g := newGateway(conf, Listeners{Peers: l}, eventlog.New(s.clock), clock)
	transport := &faultyTransport{endpoint: s.store.Endpoint(node)}
	store := platform.NewStore(transport)
	g.elector.store, g.assignments.store, g.assignments.placements.store = store, store, store
	e := &elector{leaderElector: g.elector, s: s, transport: transport, listener: l}
	peers := g.peerHandler()
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.calls.Add(1)
		if e.unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		e.gate.RLock()
		defer e.gate.RUnlock()
		peers.ServeHTTP(w, r)
	})}
	go func() { _ = e.server.Serve(l) }()
	s.t.Cleanup(e.end)
	return e
}

// end ends the process.
func (e *elector) end() {
	e.ended.Store(true)
	_ = e.server.Close()
	_ = e.listener.Close()
	e.assignments.stopAndWait()
	e.cluster.setLeading(false)
}

// directPeer reaches the process of a gateway as long as it runs, whatever its connections are.
type directPeer struct {
	syncpb.Peer
	to *elector
}

func (p directPeer) Promise(_ context.Context, r *syncpb.PromiseRequest) (*syncpb.PromiseResponse, error) {
	if p.to.ended.Load() {
		return nil, errNoResponse
	}
	return p.to.promises.handle(r), nil
}

// reachDirectly lets the gateway reach another one that is unreachable for others.
func (e *elector) reachDirectly(other *elector) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.cluster.clients[other.cluster.self.Address] = directPeer{to: other}
}

// setMembers sets the gateways that report to this one.
func (e *elector) setMembers(others ...*elector) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.cluster.members = make(map[string]*syncpb.Member)
	for _, o := range others {
		e.cluster.members[o.cluster.self.Node] = o.cluster.self
	}
}

// lead makes the gateway acquire the lease.
func (e *elector) lead(refused bool) {
	e.s.t.Helper()
	e.tryAcquire(context.Background(), refused)
	if !e.cluster.isLeading() {
		e.s.t.Fatalf("%s does not lead", e.cluster.self.Node)
	}
}

// renew renews the lease and checks whether the store accepted that.
func (e *elector) renew(accepted bool) {
	e.s.t.Helper()
	e.renewIfDue(context.Background())
	if renewed := !e.renewedAt.Before(e.s.clock()); renewed != accepted {
		e.s.t.Fatalf("%s renewed its lease: %v", e.cluster.self.Node, renewed)
	}
}

// release gives the lease up.
func (e *elector) release() {
	e.resigning.Store(true)
	e.releaseLease(context.Background())
}

// grant makes a grant that an upstream with a slow clock accepts at once, if the gateway may act as the
// leader.
func (e *elector) grant() (granted bool) {
	if !e.mayAct() {
		return false
	}
	hold := holdDuration
	if e.actsByPromises() {
		hold = e.maxHold
	}
	e.holdsUntil = laterOf(e.holdsUntil, e.s.clock().Add(hold+hold*2/100))
	return true
}

// mustGrant is grant for a gateway that acts as the leader, by promises or not.
func (e *elector) mustGrant(byPromises bool) {
	e.s.t.Helper()
	if e.actsByPromises() != byPromises || !e.grant() {
		e.s.t.Fatalf("%s may act: %v, by promises: %v", e.cluster.self.Node, e.mayAct(), e.actsByPromises())
	}
}

// checkWaitsFor checks that this leader takes no keys for free while upstreams may hold them by the grants
// of the given former leaders.
func (e *elector) checkWaitsFor(former ...*elector) {
	e.s.t.Helper()
	limit := time.Now().Add(time.Minute)
	until, known := e.latestFormerHold()
	for ; !known; until, known = e.latestFormerHold() {
		if time.Now().After(limit) {
			e.s.t.Fatal("the end of the former leaders' grants is not known")
		}
		time.Sleep(time.Millisecond)
	}
	for _, f := range former {
		if early := f.holdsUntil.Sub(until); early > 0 {
			e.s.t.Errorf("%s takes keys for free %s before upstreams have ceased to hold them by grants of %s", e.cluster.self.Node, early, f.cluster.self.Node)
		}
	}
}

// startLeader returns three gateways, of which the first leads. They are the voters of its lease.
func (s *successions) startLeader() (a, b, c *elector) {
	s.t.Helper()
	a, b, c = s.gateway("a"), s.gateway("b"), s.gateway("c")
	s.advance(uptime)
	a.setMembers(b, c)
	a.lead(false)
	a.checkWaitsFor()
	return a, b, c
}
