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

// twoDomains returns a test cluster with upstreams in the failure domains a and b and three gateways.
func twoDomains(t *testing.T) *testCluster {
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

// knowEvacuated reports whether all gateways that run know that the domain is evacuated, or
// that it is not.
func (b *testCluster) knowEvacuated(domain string, evacuated bool) bool {
	for _, g := range b.gateways {
		if g.running() && g.view.evacuated(domain) != evacuated {
			return false
		}
	}
	return true
}

// keysIn returns how many keys upstreams in the domain own or are being given, as the
// gateway knows.
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

// mustServeOutside asks all gateways for both services and wants answers from upstreams
// outside of the domain only.
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
					b.t.Fatalf("ran in the evacuated domain: %s", a.body)
				}
			}
		}
	}
}

// seesEvacuated reports whether operators are told that the domain is evacuated, owns no key
// any more and is known to be so by all gateways.
func (b *testCluster) seesEvacuated(domain string) bool {
	state, err := b.operator().Evacuations(context.Background(), &placementpb.EvacuationsRequest{})
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

// TestEvacuatedDomainGetsNothing: all gateways hear of it, keys that are owned there are
// handed over, and they return when the evacuation has ended. What the entry holds does not
// matter.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	t.Parallel()
	b := twoDomains(t)
	if b.keysIn(b.gateways[1], "a") == 0 {
		t.Fatal("no key is owned in the domain")
	}
	b.store.Put(platform.EvacuationsKind, "a", "no object")
	b.eventually("known everywhere", func() bool { return b.knowEvacuated("a", true) })
	b.eventually("its keys elsewhere", func() bool {
		return b.keysIn(b.gateways[1], "a") == 0 && b.gateways[1].allOwned()
	})
	for _, s := range b.gateways[1].view.spansOf("status").Spans {
		if s.Cold {
			t.Errorf("keys %d-%d were not handed over", s.First, s.Last)
		}
	}
	b.mustServeOutside("a")
	b.eventually("operators see it", func() bool { return b.seesEvacuated("a") })
	b.store.Remove(platform.EvacuationsKind, "a")
	b.eventually("ended everywhere", func() bool { return b.knowEvacuated("a", false) })
	b.eventually("keys there again", func() bool { return b.keysIn(b.gateways[1], "a") > 0 })
}

// TestEvacuationOutlivesItsLeader: the next leader and a gateway that starts while the store
// is away know of it, and the next leader gives the keys away.
func TestEvacuationOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	b := twoDomains(t)
	b.evacuate("a")
	b.eventually("known everywhere", func() bool { return b.knowEvacuated("a", true) })
	b.leader().kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("its keys elsewhere", func() bool {
		g := b.leader()
		return g != nil && b.keysIn(g, "a") == 0 && g.allOwned()
	})
	b.store.SetAll(metastore.Silent)
	started := b.gateway("g9")
	started.storeDoor.Set(metastore.Silent)
	b.eventually("the new gateway is ready", func() bool { return started.Gateway.ready() })
	if !started.view.evacuated("a") {
		t.Error("a gateway serves that does not know of the evacuation")
	}
	b.store.SetAll(metastore.Open)
	b.eventually("all know the owners", func() bool {
		for _, g := range b.gateways {
			if g.running() && (b.keysIn(g, "a") > 0 || !g.allOwned()) {
				return false
			}
		}
		return true
	})
	b.mustServeOutside("a")
}

// TestAllDomainsEvacuated: nothing is sent anywhere, and what cannot be served is refused at
// once as not run.
func TestAllDomainsEvacuated(t *testing.T) {
	t.Parallel()
	b := twoDomains(t)
	b.evacuate("a")
	b.evacuate("b")
	b.evacuate("of another deployment")
	b.eventually("known everywhere", func() bool { return b.knowEvacuated("a", true) && b.knowEvacuated("b", true) })
	g := b.gateways[2]
	b.eventually("owners get nothing", func() bool {
		return b.request(g, http.MethodGet, "/status/x", 7).status == http.StatusServiceUnavailable
	})
	if a := b.request(g, http.MethodPost, "/pay/x", -1); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", a.status, a.header)
	}
	b.store.Remove(platform.EvacuationsKind, "a")
	b.eventually("served again", func() bool {
		return b.request(g, http.MethodPost, "/pay/x", -1).status == http.StatusOK && b.request(g, http.MethodGet, "/status/x", 7).status == http.StatusOK
	})
}

// TestEvacuationsAfterCompaction: one that ended and one that began while the watch heard
// nothing are known from the next list.
func TestEvacuationsAfterCompaction(t *testing.T) {
	w := newWatched(t)
	w.store.Put(platform.EvacuationsKind, "a", struct{}{})
	one := w.watcher()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { one.run(ctx) })
	defer running.Wait()
	defer cancel()
	known := func(domain string, evacuated bool) {
		t.Helper()
		for limit := time.Now().Add(time.Minute); w.view.evacuated(domain) != evacuated; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("never: %s evacuated %v", domain, evacuated)
			}
		}
	}
	known("a", true)
	w.store.SetDeaf(true)
	w.store.Remove(platform.EvacuationsKind, "a")
	w.store.Put(platform.EvacuationsKind, "b", struct{}{})
	w.store.Compact()
	w.store.SetDeaf(false)
	known("b", true)
	known("a", false)
	w.store.Put(platform.EvacuationsKind, "a", struct{}{})
	known("a", true)
}

// TestEvacuationsThatCannotBe: what another gateway tells and cannot be is dropped and
// counted, and a late word of an ended evacuation changes nothing.
func TestEvacuationsThatCannotBe(t *testing.T) {
	m := newMeters()
	e := newEvacuations(newView(), time.Now, slog.New(slog.DiscardHandler), m)
	e.told([]*syncpb.Evacuation{{Domain: "a", Revision: 5, Ended: true}, {Domain: "b", Revision: 9}, {Revision: 3}, {Domain: "c"}})
	if n := m.counter(evacuationsUnsound).Count(); n != 2 {
		t.Errorf("%d dropped", n)
	}
	e.told([]*syncpb.Evacuation{{Domain: "a", Revision: 5}, {Domain: "b", Revision: 8, Ended: true}})
	if e.view.evacuated("a") || !e.view.evacuated("b") {
		t.Errorf("a %v, b %v", e.view.evacuated("a"), e.view.evacuated("b"))
	}
}
