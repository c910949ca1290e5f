package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestRandomTroubles runs seeded sequences of overlapping faults under load. The oracle must
// see no key with two owners and no request executed twice, no refused request may have been
// executed, and afterwards every key must be served again. Seeds that once failed stay in the
// list. ROCKCROFT_TROUBLES=FROM-TO runs other seeds.
func TestRandomTroubles(t *testing.T) {
	t.Parallel()
	for _, seed := range faultSeeds(t, "ROCKCROFT_TROUBLES", 1, 2, 3) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newFaultRun(t, seed).run()
		})
	}
}

// faultSeeds returns the seeds FROM-TO that the environment variable gives, or else the usual ones.
func faultSeeds(t *testing.T, variable string, usual ...uint64) []uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return usual
	}
	var from, to uint64
	if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	var out []uint64
	for seed := from; seed <= to; seed++ {
		out = append(out, seed)
	}
	return out
}

const (
	// faultSteps is the number of fault changes in a run, maxFaultGap the longest pause between
	// two of them.
	faultSteps  = 14
	maxFaultGap = 700 * time.Millisecond
)

// faultRun is one run of the test with its seed.
type faultRun struct {
	*testCluster
	rng    *rand.Rand
	nextID int
	// mu guards gateways, which are killed and started under load.
	mu          sync.Mutex
	stopClients chan struct{}
	clients     sync.WaitGroup
	refused     atomic.Int64
	served      atomic.Int64
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	b := newTestCluster(t)
	for i := range 4 {
		b.upstream(fmt.Sprintf("i-s%d", i), "status")
	}
	for i := range 3 {
		b.upstream(fmt.Sprintf("i-p%d", i), "pay")
	}
	for i := range 4 {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	return &faultRun{testCluster: b, rng: rand.New(rand.NewPCG(seed, seed)), nextID: 100, stopClients: make(chan struct{})}
}

func (p *faultRun) run() {
	for n := range 6 {
		p.clients.Go(func() { p.client(n) })
	}
	for range faultSteps {
		p.changeFaults()
		time.Sleep(time.Duration(p.rng.Int64N(int64(maxFaultGap))))
	}
	p.endFaults()
	p.eventually("every key served again", p.allServed)
	close(p.stopClients)
	p.clients.Wait()
	p.t.Logf("%d served, %d refused", p.served.Load(), p.refused.Load())
}

// client sends requests of all kinds and checks the responses.
func (p *faultRun) client(n int) {
	for i := 0; ; i++ {
		select {
		case <-p.stopClients:
			return
		default:
		}
		g := p.runningGateway(i + n)
		if g == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		switch i % 3 {
		case 0, 1:
			p.check(p.request(g, http.MethodGet, "/status/x", (i*7919+n*131)%(spans.MaxKey+1)))
		case 2:
			p.check(p.request(g, http.MethodPost, "/pay/x", -1))
		}
	}
}

func (p *faultRun) check(a callerResponse) {
	switch {
	case a.err != nil:
	case a.status == http.StatusOK:
		p.served.Add(1)
		if want := "done " + a.id + " by "; len(a.body) < len(want) || a.body[:len(want)] != want {
			p.t.Errorf("request %s got %q", a.id, a.body)
		}
	case a.status == http.StatusServiceUnavailable:
		p.refused.Add(1)
		if n := p.oracle.Runs(a.id); n != 0 {
			p.t.Errorf("request %s was refused and ran %d times", a.id, n)
		}
	}
}

// runningGateway returns a running gateway, starting the search at index i, or nil.
func (p *faultRun) runningGateway(i int) *testGateway {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.gateways {
		if g := p.gateways[(i+k)%len(p.gateways)]; g.running() {
			return g
		}
	}
	return nil
}

// anyUpstream returns a random upstream.
func (p *faultRun) anyUpstream() *upstream {
	p.testCluster.mu.Lock()
	defer p.testCluster.mu.Unlock()
	names := []string{"i-s0", "i-s1", "i-s2", "i-s3", "i-p0", "i-p1", "i-p2"}
	return p.upstreams[names[p.rng.IntN(len(names))]]
}

// changeFaults starts one random fault, or ends some.
func (p *faultRun) changeFaults() {
	switch p.rng.IntN(10) {
	case 0:
		p.killOne(false)
	case 1:
		p.killOne(true)
	case 2, 3:
		modes := []instance.Mode{instance.Unresponsive, instance.LosesResponses, instance.Overloaded, instance.LateGrants, instance.Healthy}
		p.anyUpstream().SetMode(modes[p.rng.IntN(len(modes))])
	case 4:
		modes := []metastore.Mode{metastore.Unavailable, metastore.ResetConnection, metastore.Unresponsive, metastore.LoseResponse, metastore.ApplyLate}
		if g := p.runningGateway(p.rng.IntN(8)); g != nil {
			g.storeEndpoint.SetMode(modes[p.rng.IntN(len(modes))])
		}
	case 5:
		modes := []metastore.Mode{metastore.Unavailable, metastore.Unresponsive, metastore.LoseResponse, metastore.ApplyLate}
		p.store.SetAllModes(modes[p.rng.IntN(len(modes))])
	case 6:
		p.store.SetAllModes(metastore.Healthy)
	case 7:
		p.store.Compact()
	case 8:
		states := []string{"ready", "draining"}
		p.register(p.anyUpstream(), states[p.rng.IntN(len(states))])
	case 9:
		p.nextID++
		p.configure(uint64(p.nextID))
	}
}

// killOne kills the leader or any gateway and starts a new one.
func (p *faultRun) killOne(leader bool) {
	g := p.runningGateway(p.rng.IntN(8))
	if l := p.leader(); leader && l != nil {
		g = l
	}
	if g == nil {
		return
	}
	g.kill()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	p.gateway(fmt.Sprintf("g%d", p.nextID))
}

// endFaults ends all faults.
func (p *faultRun) endFaults() {
	p.store.SetAllModes(metastore.Healthy)
	for _, u := range p.upstreams {
		u.SetMode(instance.Healthy)
		p.register(u, "ready")
	}
}

// allServed reports whether a sample of keys across the key space is served.
func (p *faultRun) allServed() bool {
	g := p.runningGateway(0)
	if g == nil {
		return false
	}
	for key := 0; key <= spans.MaxKey; key += 3121 {
		if a := p.request(g, http.MethodGet, "/status/x", key); a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// TestRandomOwnershipFaults runs seeded sequences of faults that strike the moves of keys: hot keys that wander,
// control calls without responses, upstreams that leave meanwhile, and leaders whose right lapses and returns.
// The oracle must see no key with two owners, and afterwards every key must be served again.
// ROCKCROFT_OWNERSHIP_FAULTS=FROM-TO runs other seeds.
func TestRandomOwnershipFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range faultSeeds(t, "ROCKCROFT_OWNERSHIP_FAULTS", 1, 2, 3) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newOwnershipFaultRun(t, seed).run()
		})
	}
}

const (
	ownershipFaultSteps = 30
	// maxOwnershipFaultGap is the longest pause between two fault changes. Holds of 4 s outlast several of them.
	maxOwnershipFaultGap = 500 * time.Millisecond
	// keyedRequestTime makes the hot keys overload one upstream.
	keyedRequestTime = 40 * time.Millisecond
	// hotKeyCount is the number of adjacent hot keys, which get hotShare of ten requests.
	hotKeyCount = 24
	hotShare    = 6
	keyedCount  = 5
	hotClients  = 24
)

// controlFault tells how an upstream treats control calls. Requests are not affected.
type controlFault int

const (
	controlHealthy controlFault = iota
	// controlIgnored: calls are neither carried out nor answered.
	controlIgnored
	// controlUnanswered: calls are carried out, but their responses are lost.
	controlUnanswered
	// controlHalfUnanswered: every second response is lost.
	controlHalfUnanswered
	// controlSlow: calls are carried out and answered after controlDelay, so that plans are made while
	// renewals are in flight.
	controlSlow
	// controlFailsOnRelease: as controlSlow, but the first release and all calls after it are ignored.
	controlFailsOnRelease
)

// controlDelay is shorter than the timeout of a grant.
const controlDelay = grantTimeout * 2 / 3

var controlFaults = []controlFault{
	controlHealthy, controlIgnored, controlUnanswered, controlHalfUnanswered, controlSlow, controlFailsOnRelease, controlFailsOnRelease,
}

// ownershipFaultRun is one run of TestRandomOwnershipFaults.
type ownershipFaultRun struct {
	*faultRun
	firstHot     atomic.Int64
	controlCalls atomic.Int64
	faultMu      sync.Mutex
	// faults are the faults of control calls by address.
	faults map[string]controlFault
	// away are the upstreams that are leaving or not listed.
	away map[string]bool
}

func newOwnershipFaultRun(t *testing.T, seed uint64) *ownershipFaultRun {
	b := newTestCluster(t)
	p := &ownershipFaultRun{
		faultRun: &faultRun{testCluster: b, rng: rand.New(rand.NewPCG(seed, 2)), nextID: 100, stopClients: make(chan struct{})},
		faults:   make(map[string]controlFault), away: make(map[string]bool),
	}
	b.onUpstreamRequest = p.onRequest
	for i := range keyedCount {
		b.upstream(fmt.Sprintf("i-s%d", i), "status")
	}
	b.upstream("i-p0", "pay")
	for i := range 3 {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	return p
}

func (p *ownershipFaultRun) run() {
	for n := range hotClients {
		p.clients.Go(func() { p.client(n) })
	}
	for range ownershipFaultSteps {
		p.changeFaults()
		time.Sleep(time.Duration(p.rng.Int64N(int64(maxOwnershipFaultGap))))
	}
	p.endFaults()
	p.eventually("every key served again", p.allServed)
	close(p.stopClients)
	p.clients.Wait()
	p.eventually("a leader", func() bool { return p.leader() != nil })
	table := p.leader().view.spansOf("status")
	p.t.Logf("%d served, %d refused, %d spans, last fence %d, %d expired holds, %d outdated grants", p.served.Load(), p.refused.Load(),
		len(table.Spans), table.LastFence, p.count(ownersExpiredHolds), p.count(ownersOutdatedGrants))
}

// count returns the sum of a counter of the keyed service over all gateways.
func (p *ownershipFaultRun) count(name string) int64 {
	sum := int64(0)
	for _, g := range p.gateways {
		sum += g.meters.counter(g.meters.service(name, "status")).Count()
	}
	return sum
}

// client sends requests for hot keys and for others.
func (p *ownershipFaultRun) client(n int) {
	for i := n; ; i++ {
		select {
		case <-p.stopClients:
			return
		default:
		}
		g := p.runningGateway(i)
		if g == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		key := (i*7919 + n*131) % (spans.MaxKey + 1)
		if i%10 < hotShare {
			key = int(p.firstHot.Load()) + i%hotKeyCount
		}
		p.check(p.request(g, http.MethodGet, "/status/x", key))
	}
}

// onRequest applies the faults of control calls, and makes requests last longer.
func (p *ownershipFaultRun) onRequest(r *http.Request) {
	if _, ok := controlCall(r); !ok {
		time.Sleep(keyedRequestTime)
		return
	}
	u := p.upstreamAt(r.Host)
	p.faultMu.Lock()
	fault := p.faults[r.Host]
	if fault == controlFailsOnRelease && r.URL.Path == platform.ReleasePath {
		fault = controlIgnored
		p.faults[r.Host] = fault
	}
	p.faultMu.Unlock()
	switch {
	case fault == controlSlow, fault == controlFailsOnRelease:
		delayCall(r)
	case fault == controlHealthy, fault == controlHalfUnanswered && p.controlCalls.Add(1)%2 == 0:
	case u != nil && (fault == controlUnanswered || fault == controlHalfUnanswered):
		loseResponse(u, r)
	default:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// delayCall delays a call that the upstream then carries out, unless its sender has given it up.
func delayCall(r *http.Request) {
	select {
	case <-time.After(controlDelay):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// upstreamAt returns the upstream that runs at an address, or nil.
func (p *ownershipFaultRun) upstreamAt(address string) *upstream {
	p.testCluster.mu.Lock()
	defer p.testCluster.mu.Unlock()
	for _, u := range p.upstreams {
		if u.address == address {
			return u
		}
	}
	return nil
}

// keyed returns a random keyed upstream.
func (p *ownershipFaultRun) keyed() *upstream {
	return p.upstreamWith(fmt.Sprintf("i-s%d", p.rng.IntN(keyedCount)))
}

// hotOwner returns the owner of the first hot key, or any keyed upstream if it has none.
func (p *ownershipFaultRun) hotOwner() *upstream {
	g := p.runningGateway(0)
	if g == nil || g.view.spansOf("status") == nil {
		return p.keyed()
	}
	owner := g.view.spansOf("status").Find(uint16(p.firstHot.Load())).Owner
	if u := p.upstreamWith(owner); u != nil {
		return u
	}
	return p.keyed()
}

func (p *ownershipFaultRun) upstreamWith(id string) *upstream {
	p.testCluster.mu.Lock()
	defer p.testCluster.mu.Unlock()
	return p.upstreams[id]
}

func (p *ownershipFaultRun) setControlFault(u *upstream, f controlFault) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.faults[u.address] = f
}

// changeFaults starts one random fault, or ends some.
func (p *ownershipFaultRun) changeFaults() {
	switch p.rng.IntN(18) {
	case 0, 14, 15:
		p.setControlFault(p.keyed(), controlFaults[p.rng.IntN(len(controlFaults))])
	case 1, 2, 3, 4, 16, 17:
		// The owner of the hot keys is about to lose some of them.
		p.firstHot.Store(p.rng.Int64N(spans.MaxKey - hotKeyCount))
		p.setControlFault(p.hotOwner(), controlFaults[p.rng.IntN(len(controlFaults))])
	case 5, 6:
		p.leave(p.keyed())
	case 7:
		p.register(p.keyed(), "ready")
	case 8, 9:
		p.lapse()
	case 10:
		p.restart(p.keyed())
	case 11:
		p.killOne(p.rng.IntN(3) > 0)
	case 12:
		modes := []metastore.Mode{metastore.Unavailable, metastore.TooManyRequests, metastore.Unresponsive, metastore.LoseResponse, metastore.ApplyLate}
		mode := modes[p.rng.IntN(len(modes))]
		if l := p.leader(); l != nil && p.rng.IntN(2) > 0 {
			l.storeEndpoint.SetMode(mode)
			return
		}
		p.store.SetAllModes(mode)
	case 13:
		p.store.SetAllModes(metastore.Healthy)
	}
}

// leave lets an upstream leave, which may answer no control call any more and may not be listed any more. Its
// process goes on. At most two are away at a time.
func (p *ownershipFaultRun) leave(u *upstream) {
	if len(p.away) >= 2 {
		for id := range p.away {
			p.register(p.upstreams[id], "ready")
		}
		clear(p.away)
		return
	}
	p.away[u.ID] = true
	p.setControlFault(u, controlFaults[p.rng.IntN(len(controlFaults))])
	if p.rng.IntN(2) > 0 {
		p.register(u, "draining")
		return
	}
	p.store.Remove(platform.InstancesKind, u.ID)
}

// lapse ends the leader's right to act until its next renewal or promise.
func (p *ownershipFaultRun) lapse() {
	l := p.leader()
	if l == nil {
		return
	}
	l.elector.mu.Lock()
	defer l.elector.mu.Unlock()
	l.elector.right.Revoke()
	l.elector.promisedRight.Revoke()
}

// endFaults ends all faults.
func (p *ownershipFaultRun) endFaults() {
	p.faultMu.Lock()
	clear(p.faults)
	p.faultMu.Unlock()
	p.faultRun.endFaults()
}
