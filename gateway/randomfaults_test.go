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
	for _, seed := range faultSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newFaultRun(t, seed).run()
		})
	}
}

func faultSeeds(t *testing.T) []uint64 {
	text := os.Getenv("ROCKCROFT_TROUBLES")
	if text == "" {
		return []uint64{1, 2, 3}
	}
	var from, to uint64
	if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil {
		t.Fatalf("ROCKCROFT_TROUBLES: %v", err)
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
