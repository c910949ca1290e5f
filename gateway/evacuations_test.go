package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tests evacuations of failure domains.

// twoDomainCluster returns a test cluster with upstreams in the failure domains a and b and three
// gateways.
func twoDomainCluster(t *testing.T) *testCluster {
	t.Helper()
	b := newTestCluster(t)
	for _, domain := range []string{"a", "b"} {
		for _, n := range []string{"0", "1"} {
			b.upstreamIn(domain, "i-s"+n+domain, "status")
			b.upstreamIn(domain, "i-p"+n+domain, "pay")
		}
	}
	for _, name := range []string{"g0", "g1", "g2"} {
		b.gateway(name)
	}
	b.ready()
	return b
}

func (b *testCluster) evacuate(domain string) {
	b.store.Put(platform.EvacuationsKind, domain, struct{}{})
}

// allKnowEvacuated reports whether all running gateways know that the domain is evacuated, or that
// it is not.
func (b *testCluster) allKnowEvacuated(domain string, evacuated bool) bool {
	for _, g := range b.gateways {
		if g.running() && g.view.evacuated(domain) != evacuated {
			return false
		}
	}
	return true
}

// keysIn returns how many keys upstreams in the domain own or are about to own, according to the
// gateway.
func (b *testCluster) keysIn(g *testGateway, domain string) int {
	keys := 0
	for _, s := range g.view.spansOf("status").Spans {
		for _, id := range []string{s.Owner, s.Next} {
			if id != "" && b.upstreams[id].domain == domain {
				keys += s.Count()
			}
		}
	}
	return keys
}

// mustServeOutside sends requests for both services to all gateways and requires that only
// upstreams outside the domain answer.
func (b *testCluster) mustServeOutside(domain string) {
	b.t.Helper()
	for _, g := range b.gateways {
		if !g.running() {
			continue
		}
		for key := 0; key <= spans.MaxKey; key += 4369 {
			keyed := b.mustRequest(g, http.MethodGet, "/status/x", key)
			other := b.mustRequest(g, http.MethodPost, "/pay/x", -1)
			for _, a := range []callerResponse{keyed, other} {
				if strings.HasSuffix(strings.TrimSpace(a.body), domain) {
					b.t.Fatalf("request ran in the evacuated domain: %s", a.body)
				}
			}
		}
	}
}

// operatorSeesEvacuated reports whether the operator interface shows that the domain is evacuated,
// owns no keys any more and is known to be evacuated by all gateways.
func (b *testCluster) operatorSeesEvacuated(domain string) bool {
	state, err := b.operatorClient().Evacuations(context.Background(), &placementpb.EvacuationsRequest{})
	if err != nil || len(state.Domains) != 1 || len(state.Gateways) != len(b.gateways) {
		return false
	}
	for _, g := range state.Gateways {
		if g.Revision < state.Domains[0].Revision {
			return false
		}
	}
	d := state.Domains[0]
	return d.Domain == domain && d.Upstreams == 4 && d.Keys == 0 && d.KnownMs > 0
}

// TestEvacuatedDomainReceivesNoRequests checks that all gateways learn of an evacuation, that keys
// owned in the domain are handed over, and that they return when the evacuation ends. The content
// of the entry does not matter.
func TestEvacuatedDomainReceivesNoRequests(t *testing.T) {
	t.Parallel()
	b := twoDomainCluster(t)
	if b.keysIn(b.gateways[1], "a") == 0 {
		t.Fatal("no keys are owned in the domain")
	}
	b.store.Put(platform.EvacuationsKind, "a", "no object")
	b.eventually("evacuation known to all gateways", func() bool { return b.allKnowEvacuated("a", true) })
	b.eventually("keys owned outside the domain", func() bool {
		return b.keysIn(b.gateways[1], "a") == 0 && b.gateways[1].allOwned()
	})
	for _, s := range b.gateways[1].view.spansOf("status").Spans {
		if s.Cold {
			t.Errorf("keys %d-%d were not handed over", s.First, s.Last)
		}
	}
	b.mustServeOutside("a")
	b.eventually("evacuation shown to operators", func() bool { return b.operatorSeesEvacuated("a") })
	b.store.Remove(platform.EvacuationsKind, "a")
	b.eventually("end of the evacuation known to all gateways", func() bool { return b.allKnowEvacuated("a", false) })
	b.eventually("keys owned in the domain again", func() bool { return b.keysIn(b.gateways[1], "a") > 0 })
}

// TestEvacuationSurvivesLeaderLoss checks that the next leader, and a gateway that starts while the
// store is unavailable, know of the evacuation, and that the next leader moves the keys.
func TestEvacuationSurvivesLeaderLoss(t *testing.T) {
	t.Parallel()
	b := twoDomainCluster(t)
	b.evacuate("a")
	b.eventually("evacuation known to all gateways", func() bool { return b.allKnowEvacuated("a", true) })
	b.leader().kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("keys owned outside the domain", func() bool {
		g := b.leader()
		return g != nil && b.keysIn(g, "a") == 0 && g.allOwned()
	})
	b.store.SetAllModes(metastore.Unresponsive)
	started := b.gateway("g9")
	started.storeEndpoint.SetMode(metastore.Unresponsive)
	b.eventually("new gateway ready", func() bool { return started.Gateway.ready() })
	if !started.view.evacuated("a") {
		t.Error("the new gateway is ready but does not know of the evacuation")
	}
	b.store.SetAllModes(metastore.Healthy)
	b.eventually("owners known to all gateways", func() bool {
		for _, g := range b.gateways {
			if g.running() && (b.keysIn(g, "a") > 0 || !g.allOwned()) {
				return false
			}
		}
		return true
	})
	b.mustServeOutside("a")
}

// TestAllDomainsEvacuated checks that no requests are sent to any upstream, and that they are
// refused at once as not executed.
func TestAllDomainsEvacuated(t *testing.T) {
	t.Parallel()
	b := twoDomainCluster(t)
	b.evacuate("a")
	b.evacuate("b")
	b.evacuate("of another deployment")
	b.eventually("evacuation known to all gateways", func() bool { return b.allKnowEvacuated("a", true) && b.allKnowEvacuated("b", true) })
	g := b.gateways[2]
	b.eventually("keyed requests refused", func() bool {
		return b.request(g, http.MethodGet, "/status/x", 7).status == http.StatusServiceUnavailable
	})
	if a := b.request(g, http.MethodPost, "/pay/x", -1); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", a.status, a.header)
	}
	b.store.Remove(platform.EvacuationsKind, "a")
	b.eventually("requests served again", func() bool {
		return b.request(g, http.MethodPost, "/pay/x", -1).status == http.StatusOK && b.request(g, http.MethodGet, "/status/x", 7).status == http.StatusOK
	})
}

// TestEvacuationsAfterCompaction checks that an evacuation that ended and one that began while the
// watch received nothing are learned from the next list.
func TestEvacuationsAfterCompaction(t *testing.T) {
	w := newWatcherFixture(t)
	w.store.Put(platform.EvacuationsKind, "a", struct{}{})
	watcher := w.watcher()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { watcher.run(ctx) })
	defer running.Wait()
	defer cancel()
	known := func(domain string, evacuated bool) {
		t.Helper()
		for limit := time.Now().Add(time.Minute); w.view.evacuated(domain) != evacuated; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("domain %s: evacuated %v never known", domain, evacuated)
			}
		}
	}
	known("a", true)
	w.store.SetSuppressEvents(true)
	w.store.Remove(platform.EvacuationsKind, "a")
	w.store.Put(platform.EvacuationsKind, "b", struct{}{})
	w.store.Compact()
	w.store.SetSuppressEvents(false)
	known("b", true)
	known("a", false)
	w.store.Put(platform.EvacuationsKind, "a", struct{}{})
	known("a", true)
}

// TestInvalidEvacuationsAreDropped checks that invalid evacuations from another gateway are dropped
// and counted, and that outdated information about an ended evacuation changes nothing.
func TestInvalidEvacuationsAreDropped(t *testing.T) {
	m := newMeters()
	e := newEvacuations(newView(), time.Now, slog.New(slog.DiscardHandler), m)
	e.applyFromPeer([]*syncpb.Evacuation{{Domain: "a", Revision: 5, Ended: true}, {Domain: "b", Revision: 9}, {Revision: 3}, {Domain: "c"}})
	if n := m.counter(evacuationsInvalid).Count(); n != 2 {
		t.Errorf("%d invalid evacuations dropped", n)
	}
	e.applyFromPeer([]*syncpb.Evacuation{{Domain: "a", Revision: 5}, {Domain: "b", Revision: 8, Ended: true}})
	if e.view.evacuated("a") || !e.view.evacuated("b") {
		t.Errorf("evacuated: a %v, b %v", e.view.evacuated("a"), e.view.evacuated("b"))
	}
}
