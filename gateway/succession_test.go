package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/bootclock"
	"github.com/rockcroft/rockcroft/transport/eventlog"
)

// This file tests successions of leaders in virtual time: a leader must not take keys for free while an
// upstream may hold them by a grant of any earlier leader.

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
	_ = e.server.Close()
	_ = e.listener.Close()
	e.assignments.stopAndWait()
	e.cluster.setLeading(false)
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

// nearlyAll is a little less than the time for which a renewal gives the right to act.
const nearlyAll = leadership.LeaseDuration - time.Millisecond

// missedRenewal is when the lease of a holder that refuses connections may be taken over.
const missedRenewal = 950 * time.Millisecond

// TestShortLivedSuccessorHandsOnFormerHolds guards against keys that the second successor of a leader takes
// for free while the leader, which seemed to have ended, could still grant them.
func TestShortLivedSuccessorHandsOnFormerHolds(t *testing.T) {
	t.Parallel()
	for name, succeed := range map[string]func(s *successions, b, c *elector) *elector{
		"released": func(_ *successions, b, c *elector) *elector {
			b.lead(true)
			b.release()
			c.lead(false)
			return c
		},
		"replaced by a new process": func(s *successions, b, _ *elector) *elector {
			b.lead(true)
			next := s.restart(b)
			next.lead(false)
			return next
		},
		"acquired by a late write": func(_ *successions, b, _ *elector) *elector {
			b.transport.set(storeDelaysWrites)
			b.tryAcquire(context.Background(), true)
			b.transport.deliver()
			b.lead(false)
			return b
		},
		"released twice": func(s *successions, b, c *elector) *elector {
			b.lead(true)
			b.release()
			c.lead(false)
			c.release()
			next := s.restart(b)
			next.lead(false)
			return next
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSuccessions(t)
			a, b, c := s.startLeader()
			b.observe(t.Context())
			s.advance(missedRenewal)
			last := succeed(s, b, c)
			s.advance(nearlyAll - missedRenewal)
			a.mustGrant(false)
			last.checkWaitsFor(a)
		})
	}
}

// TestOrdinaryStopHandsOnNoHolds checks that the successor of a leader that has led for seconds waits only
// for the grants of that leader.
func TestOrdinaryStopHandsOnNoHolds(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	b.observe(t.Context())
	s.advance(missedRenewal)
	b.lead(true)
	for range 10 {
		s.advance(leadership.RenewInterval)
		b.renew(true)
	}
	b.grant()
	b.release()
	c.lead(false)
	c.checkWaitsFor(a, b)
	until, _ := c.latestFormerHold()
	if wait := until.Sub(s.clock()); wait > 4300*time.Millisecond {
		t.Errorf("the successor waits for %s", wait)
	}
	if spec := string(s.store.Spec(leaseKind, leaseName)); strings.Contains(spec, "former_holds_ms") {
		t.Errorf("the lease names former holds: %s", spec)
	}
}

// TestShortLivedSuccessorLeavesOneOwner guards against two owners after a leader that refuses connections
// has granted keys for as long as it might, while its successor gave up the lease at once.
func TestShortLivedSuccessorLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	owner := b.upstream("i-s0", "status")
	owner.address = b.port().addr().String()
	b.register(owner, "ready")
	b.upstream("i-s1", "status")
	b.upstream("i-p0", "pay")
	all := spans.KeyRange{First: 0, Last: spans.MaxKey}
	b.store.Put(spansKind, "status", spans.Table{Service: "status", LastFence: 2, Version: 1 << termShift, Spans: []spans.Span{
		{KeyRange: all, Owner: owner.ID, Fence: 2},
	}})
	lease := leadership.Lease{Node: "former", Address: b.port().addr().String(), Domain: "a", Incarnation: "former", Term: 1}
	write := func() {
		lease.Renewals++
		b.store.Put(leaseKind, leaseName, lease)
	}
	write()
	gateways := []*testGateway{b.gateway("g0"), b.gateway("g1")}
	for _, g := range gateways {
		lease.Voters = append(lease.Voters, g.cluster.self.Address)
		g.elector.promises.mu.Lock()
		g.elector.promises.state = leadership.NewPromises(time.Now().Add(-uptime))
		g.elector.promises.mu.Unlock()
	}
	b.eventually("both gateways have seen the lease", func() bool {
		write()
		time.Sleep(leadership.RenewInterval / 4)
		return gateways[0].cluster.knownLeader() != nil && gateways[1].cluster.knownLeader() != nil
	})
	write()
	renewed := time.Now()
	for _, g := range gateways {
		g.elector.observe(t.Context())
	}
	var first *testGateway
	b.eventually("a gateway takes the lease over", func() bool { first = b.leader(); return first != nil })
	first.elector.resigning.Store(true)
	first.elector.releaseLease(t.Context())
	next := gateways[0]
	if next == first {
		next = gateways[1]
	}
	b.eventually("the other gateway leads", func() bool {
		if !next.cluster.isLeading() {
			next.elector.tryAcquire(t.Context(), true)
		}
		return next.cluster.isLeading()
	})
	t.Logf("the second successor leads %s after the last renewal", time.Since(renewed))
	time.Sleep(time.Until(renewed.Add(nearlyAll)))
	call, err := json.Marshal(platform.GrantRequest{From: all.First, Target: all.Last, Fence: 2, Hold: holdDuration.Seconds()})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	owner.ServeHTTP(w, httptest.NewRequest(http.MethodPost, platform.GrantPath, bytes.NewReader(call)))
	if w.Code != http.StatusOK {
		t.Fatalf("grant of the former leader: status %d", w.Code)
	}
	b.eventually("the keys have another owner", func() bool { return next.allOwned() && b.spansOwnedBy(owner.ID) == 0 })
}

// voters returns the voters in the stored lease.
func (s *successions) voters() []string {
	s.t.Helper()
	var l leadership.Lease
	if err := platform.Decode(platform.Object{Spec: s.store.Spec(leaseKind, leaseName)}, &l); err != nil {
		s.t.Fatal(err)
	}
	return l.Voters
}

// actByPromises makes the store fail for the leader until it acts by promises.
func (e *elector) actByPromises() {
	e.s.t.Helper()
	e.transport.set(storeDown)
	e.s.advance(leadership.LeaseDuration - leadership.RenewInterval/2)
	e.extend(context.Background())
	e.s.advance(leadership.RenewInterval)
	e.mustGrant(true)
	e.transport.set(storeHealthy)
}

// TestNewVotersHideNoPromises guards against keys that a successor takes for free because the voters that
// it asks have replaced those that promised the former leader its support.
func TestNewVotersHideNoPromises(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	d, e := s.gateway("d"), s.gateway("e")
	s.advance(uptime)
	a.renew(true)
	a.actByPromises()
	a.renew(true)
	b.end()
	c.end()
	a.setMembers(d, e)
	s.advance(leadership.RenewInterval)
	a.renew(true)
	d.observe(t.Context())
	a.end()
	if voters := s.voters(); slices.Contains(voters, b.cluster.self.Address) {
		t.Errorf("lost gateways remain voters: %v", voters)
	}
	s.advance(missedRenewal)
	d.lead(true)
	d.checkWaitsFor(a)
}

// TestLatePromisesGiveNoRight guards against a right to act by promises that were requested before the
// lease was renewed: the voters may have changed since.
func TestLatePromisesGiveNoRight(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	d := s.gateway("d")
	s.advance(uptime)
	a.renew(true)
	s.advance(leadership.LeaseDuration - leadership.RenewInterval/2)
	b.gate.Lock()
	c.gate.Lock()
	before := b.calls.Load()
	extended := make(chan struct{})
	go func() {
		defer close(extended)
		a.extend(t.Context())
	}()
	for b.calls.Load() == before {
		time.Sleep(time.Millisecond)
	}
	a.renew(true)
	a.setMembers(d)
	s.advance(leadership.RenewInterval)
	a.renew(true)
	b.gate.Unlock()
	c.gate.Unlock()
	<-extended
	if a.actsByPromises() {
		t.Errorf("the leader acts by promises of former voters; the voters are %v", s.voters())
	}
}

// TestLostResponseExtendsNoRight guards against a right to act that counts from the repetition of a renewal
// whose first attempt was accepted: others have seen the lease unchanged since then.
func TestLostResponseExtendsNoRight(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, _ := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.transport.set(storeLosesResponses)
	a.renew(false)
	b.observe(t.Context())
	a.transport.set(storeHealthy)
	s.advance(leadership.RenewInterval)
	a.renewIfDue(t.Context())
	a.transport.set(storeDown)
	for !b.cluster.isLeading() {
		s.advance(10 * time.Millisecond)
		a.grant()
		b.tryAcquire(t.Context(), false)
	}
	for a.grant() {
		s.advance(10 * time.Millisecond)
	}
	b.checkWaitsFor(a)
}

// TestLostResponseKeepsStoredVoters guards against voters that are not those of the stored lease: a
// successor would not ask them.
func TestLostResponseKeepsStoredVoters(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.transport.set(storeLosesResponses)
	a.setMembers(b)
	a.renew(false)
	a.transport.set(storeHealthy)
	a.setMembers(c)
	a.renewIfDue(t.Context())
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.voterLists {
		if slices.Equal(list, s.voters()) {
			return
		}
	}
	t.Errorf("voter lists of the leader: %v, stored: %v", a.voterLists, s.voters())
}

// TestRestartedVoterSupportsNoFormerLeader guards against a voter that has told a successor of its promises
// and, after a restart, supports the former leader again.
func TestRestartedVoterSupportsNoFormerLeader(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, b, c := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.renew(true)
	c.observe(t.Context())
	// The former leader is cut off from the store and from its successor.
	a.transport.set(storeDown)
	_ = a.server.Close()
	s.advance(missedRenewal)
	c.lead(true)
	c.checkWaitsFor()
	s.restart(b)
	for range 100 {
		s.advance(100 * time.Millisecond)
		a.extend(t.Context())
		a.grant()
	}
	c.checkWaitsFor(a)
}

// TestLapsedLeaderResumesByPromises checks that a leader whose right has lapsed leads again by promises of
// voters that have run since before.
func TestLapsedLeaderResumesByPromises(t *testing.T) {
	t.Parallel()
	s := newSuccessions(t)
	a, _, _ := s.startLeader()
	s.advance(leadership.RenewInterval)
	a.renew(true)
	a.transport.set(storeDown)
	s.advance(holdDuration)
	if a.mayAct() {
		t.Fatal("the right has not lapsed")
	}
	a.extend(t.Context())
	a.mustGrant(true)
}

// randomSuccession drives four gateways through random faults of the store, cuts between gateways,
// restarts, takeovers, changes of the voters and late writes, and checks after each step that no
// leader takes keys for free while an upstream may hold them by a grant of another.
type randomSuccession struct {
	*successions
	rng  *rand.Rand
	live []*elector
	// ended are the processes that have ended.
	ended []*elector
}

func (r *randomSuccession) step() string {
	i := r.rng.IntN(len(r.live))
	e := r.live[i]
	node := e.cluster.self.Node
	switch r.rng.IntN(18) {
	case 0:
		fault := storeFault(r.rng.IntN(int(storeDelaysWrites) + 1))
		e.transport.set(fault)
		return fmt.Sprintf("store fault %d for %s", fault, node)
	case 1:
		e.transport.deliver()
		return "late writes of " + node
	case 2:
		if !e.cluster.isLeading() || r.rng.IntN(2) == 0 {
			return "nothing"
		}
		e.release()
		e.resigning.Store(false)
		return "release by " + node
	case 3:
		if r.rng.IntN(8) > 0 {
			return "nothing"
		}
		r.replace(i)
		return "restart of " + node
	case 4:
		var others []*elector
		for _, o := range r.live {
			if o != e && r.rng.IntN(3) > 0 {
				others = append(others, o)
			}
		}
		e.setMembers(others...)
		return "members of " + node
	case 5:
		// Nobody reaches the gateway for a while, which may reach others.
		e.unreachable.Store(!e.unreachable.Load())
		return "cut of " + node
	case 6:
		e.observe(r.t.Context())
		return "observation by " + node
	case 7, 8, 9:
		if e.cluster.isLeading() {
			return "nothing"
		}
		e.tryAcquire(r.t.Context(), r.rng.IntN(2) == 0)
		switch leads := e.cluster.isLeading(); {
		case leads && r.rng.IntN(3) == 0:
			// The process goes on, so that its promises do not count as made at its start.
			e.release()
			e.resigning.Store(false)
			return "short leadership of " + node
		}
		return "attempt of " + node
	case 10, 11:
		if !e.cluster.isLeading() || !e.renewalOverdue() {
			return "nothing"
		}
		e.extend(r.t.Context())
		return "extension by " + node
	default:
		d := time.Duration(r.rng.IntN(700)) * time.Millisecond
		r.advance(d)
		for _, o := range r.live {
			if o.cluster.isLeading() && r.rng.IntN(2) == 0 {
				o.renewIfDue(r.t.Context())
			}
			o.grant()
		}
		return fmt.Sprint("advance by ", d)
	}
}

// replace ends a process and starts another one at its address.
func (r *randomSuccession) replace(i int) {
	r.ended = append(r.ended, r.live[i])
	late := r.live[i].transport.delayed
	r.live[i] = r.restart(r.live[i])
	r.live[i].transport.delayed = late
}

// check returns how early a leader takes keys for free.
func (r *randomSuccession) check() (early time.Duration, by string) {
	for _, e := range r.live {
		until, known := e.latestFormerHold()
		if !known || !e.cluster.isLeading() {
			continue
		}
		for _, o := range append(slices.Clone(r.live), r.ended...) {
			if o != e && o.holdsUntil.Sub(until) > early && o.term() < e.term() {
				early, by = o.holdsUntil.Sub(until), fmt.Sprintf("%s after %s", e.cluster.self.Node, o.cluster.self.Node)
			}
		}
	}
	return early, by
}

func (e *elector) term() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Term
}

// TestRandomSuccessions runs seeded series of such faults.
func TestRandomSuccessions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(successionSeeds) {
		s := newSuccessions(t)
		r := &randomSuccession{successions: s, rng: rand.New(rand.NewPCG(seed, 1))}
		for _, node := range []string{"a", "b", "c", "d"} {
			r.live = append(r.live, s.gateway(node))
		}
		s.advance(uptime)
		var steps []string
		for range stepsPerSuccession {
			steps = append(steps, r.step())
			if early, by := r.check(); early > 0 {
				t.Errorf("seed %d: %s: keys are taken for free %s early; last steps: %s", seed, by, early, strings.Join(steps[max(0, len(steps)-40):], "; "))
				break
			}
		}
		for _, e := range r.live {
			e.end()
		}
	}
}

const (
	successionSeeds    = 100
	stepsPerSuccession = 300
)
