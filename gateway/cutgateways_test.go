package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/reach"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// cutStates are the ways in which a gateway can lose its links to upstreams.
var cutStates = map[string]linkState{"reset": linksReset, "hang": linksHang, "refuse new": linksRefuseNew, "break": linksBreak}

const (
	// cutSettleTime is how long after the begin of a cut requests may fail.
	cutSettleTime = 3 * time.Second
	// cutMeasureTime is how long requests are counted after that: longer than a grant of keys.
	cutMeasureTime = 5 * time.Second
)

// served counts the requests of one kind at one gateway.
type served struct{ sent, answered atomic.Int64 }

// tooFew reports whether more than ten requests and one in fifty were not answered.
func (s *served) tooFew() bool { return s.sent.Load()-s.answered.Load() > 10+s.sent.Load()/50 }

func (s *served) String() string { return fmt.Sprintf("%d of %d", s.answered.Load(), s.sent.Load()) }

// requestKinds are the paths of the three kinds of requests and whether they need a key.
var requestKinds = []struct {
	name, method, path string
	keyed              bool
}{{"with keys", http.MethodGet, "/status/x", true}, {"without keys", http.MethodGet, "/read/x", false}, {"not idempotent", http.MethodPost, "/pay/x", false}}

// serveDuringCut cuts gateways off from all upstreams and returns what each gateway served after
// cutSettleTime, by gateway and kind of request.
func (b *testCluster) serveDuringCut(state linkState, cut ...*testGateway) [][]*served {
	b.t.Helper()
	out := make([][]*served, len(b.gateways))
	var all sync.WaitGroup
	began := time.Now()
	for _, g := range cut {
		g.upstreamLinks.set(state)
	}
	for i, g := range b.gateways {
		for range requestKinds {
			out[i] = append(out[i], &served{})
		}
		for n, kind := range requestKinds {
			all.Go(func() {
				for k := 0; time.Since(began) < cutSettleTime+cutMeasureTime; k++ {
					key := -1
					if kind.keyed {
						key = (k*7919 + i*31) % (spans.MaxKey + 1)
					}
					counted := time.Since(began) >= cutSettleTime
					a := b.request(g, kind.method, kind.path, key)
					if counted {
						out[i][n].sent.Add(1)
					}
					if counted && a.err == nil && a.status == http.StatusOK {
						out[i][n].answered.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	for _, g := range cut {
		g.upstreamLinks.set(linksUp)
	}
	return out
}

// requireServed fails the test if a gateway served too few requests of a kind.
func (b *testCluster) requireServed(results [][]*served) {
	b.t.Helper()
	for i, kinds := range results {
		for n, s := range kinds {
			if s.tooFew() {
				b.t.Errorf("%s served %s requests %s", b.gateways[i].conf.Node, s, requestKinds[n].name)
			}
		}
	}
}

// TestFollowersCutOffFromUpstreamsServe guards against gateways that refuse all requests because
// their own links to upstreams are lost, while other gateways reach these.
func TestFollowersCutOffFromUpstreamsServe(t *testing.T) {
	for name, state := range cutStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			var cut []*testGateway
			for _, g := range b.gateways {
				if g != b.leader() {
					cut = append(cut, g)
				}
			}
			b.requireServed(b.serveDuringCut(state, cut...))
		})
	}
}

// TestLeaderCutOffFromUpstreamsHandsOver guards against a leader that leads on although it reaches no
// upstream: all keys lapsed at all gateways.
func TestLeaderCutOffFromUpstreamsHandsOver(t *testing.T) {
	for name, state := range cutStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			b.requireServed(b.serveDuringCut(state, b.leader()))
		})
	}
}

// TestLeaderAndOthersCutOffFromUpstreamsHandOver is the same with all gateways but one.
func TestLeaderAndOthersCutOffFromUpstreamsHandOver(t *testing.T) {
	for name, state := range cutStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			cut := []*testGateway{b.leader()}
			for _, g := range b.gateways[:2] {
				if g != cut[0] {
					cut = append(cut, g)
				}
			}
			b.requireServed(b.serveDuringCut(state, cut...))
		})
	}
}

// TestGatewayThatReachesUpstreamsLeadsFirst guards against a lease that goes from one gateway that is cut
// off to the next while another one could lead.
func TestGatewayThatReachesUpstreamsLeadsFirst(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	last := b.gateway("g9")
	b.ready()
	b.cutOff(b.gateways[1], b.gateways[2])
	b.store.SetAllModes(metastore.Unavailable)
	b.gateways[0].kill()
	time.Sleep(cutSettleTime)
	b.store.SetAllModes(metastore.Healthy)
	var leader *testGateway
	b.eventually("a gateway leads", func() bool { leader = b.leader(); return leader != nil })
	if leader != last {
		t.Errorf("%s leads, which is cut off", leader.conf.Node)
	}
}

// TestGatewaysThatAreAllCutOffServeAfterwards guards against gateways that pass the lease on and on, or
// are left without a leader, when none of them reaches an upstream.
func TestGatewaysThatAreAllCutOffServeAfterwards(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.cutOff(b.gateways...)
	time.Sleep(cutSettleTime)
	handOvers := 0
	for _, g := range b.gateways {
		n, _ := strconv.Atoi(metricsOf(g)["reach.hand_overs"])
		handOvers += n
	}
	if handOvers > len(b.gateways) {
		t.Errorf("the lease was given up %d times by %d gateways", handOvers, len(b.gateways))
	}
	for _, g := range b.gateways {
		g.upstreamLinks.set(linksUp)
	}
	b.eventually("all requests are served", func() bool {
		for _, g := range b.gateways {
			for _, kind := range requestKinds {
				key := -1
				if kind.keyed {
					key = 77
				}
				if b.request(g, kind.method, kind.path, key).status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

// TestUpstreamsThatAreDownAreNoCut guards against a gateway that takes itself for cut off because most of the
// upstreams have ended.
func TestUpstreamsThatAreDownAreNoCut(t *testing.T) {
	const upstreams, up = 13, 2
	for seed := range uint64(50) {
		now := time.Now()
		r := newUpstreamReach(newView(), func() time.Time { return now }, slog.New(slog.DiscardHandler), newMeters(), rand.New(rand.NewPCG(seed, 1)))
		r.onCutOff = func(time.Time) {}
		var list []instances.Instance
		running := make(map[string]bool)
		for i := range upstreams {
			list = append(list, instances.Instance{ID: fmt.Sprintf("u%02d", i), Address: fmt.Sprint("address ", i), Service: "read"})
			running[list[i].Address] = i < up
		}
		r.view.setInstances(1, instances.NewView(1, list))
		r.probeLink = func(_ context.Context, addr string) error {
			if running[addr] {
				return nil
			}
			return pool.ErrRefused
		}
		for _, inst := range list[up:] {
			r.record(inst.Address, reach.Refused, 0)
		}
		now = now.Add(time.Second)
		if !r.check().Doubtful {
			t.Fatal("refused connections are not noticed")
		}
		r.probe(t.Context())
		if r.check().CutOff {
			t.Fatalf("seed %d: cut off with %d upstreams in reach", seed, up)
		}
	}
}
