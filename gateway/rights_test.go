package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file tests the rights to send to upstreams that are warming up.

// configureWarmUp writes a configuration in which upstreams can take the given start rate while
// they warm up.
func (b *testCluster) configureWarmUp(version uint64, rate float64) {
	c := config(version)
	for name, s := range c.Services {
		s.WarmUpRate = rate
		c.Services[name] = s
	}
	b.store.Put(platform.ConfigKind, platform.ConfigName, c)
}

// registerWarming registers an upstream as warming up for the given number of seconds.
func (b *testCluster) registerWarming(u *upstream, left platform.Seconds) {
	var body platform.InstanceBody
	body.Address, body.StartedMs = u.address, u.born
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, 4
	body.Status.State, body.Status.WarmUpLeft = "ready", left
	b.store.Put(platform.InstancesKind, u.ID, body)
}

// TestOneGatewaySendsToAWarmingUpstream checks that the leader assigns the right to send to a
// warming upstream to one gateway, which serves requests while the others refuse them at once.
func TestOneGatewaySendsToAWarmingUpstream(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.configureWarmUp(9, 100)
	b.upstream("i-s0", "status")
	only := b.upstream("i-p0", "pay")
	for _, name := range []string{"g0", "g1", "g2"} {
		b.gateway(name)
	}
	b.ready()
	const warm = platform.Seconds(60)
	b.registerWarming(only, warm)
	holders := func() (n int) {
		for _, g := range b.gateways {
			s := g.traffic.get("pay")
			s.mu.Lock()
			e := s.dispatch.Explain(time.Now(), "")
			s.mu.Unlock()
			n += e.Usable
		}
		return n
	}
	b.eventually("one gateway has the right", func() bool { return len(b.gateways[0].traffic.needRights()) == 1 && holders() == 1 })
	var served atomic.Int64
	b.eventually("the gateway with the right serves", func() bool {
		for _, g := range b.gateways {
			if a := b.request(g, http.MethodPost, "/pay/x", -1); a.status == http.StatusOK {
				served.Add(1)
			} else if a.status != http.StatusServiceUnavailable {
				t.Fatalf("status %d", a.status)
			}
		}
		return served.Load() > 3
	})
	b.registerWarming(only, 0)
	b.eventually("all gateways send again", func() bool { return holders() == 3 })
}

// TestHeldRights checks that a gateway uses the rights assigned to it, for the current
// incarnation of an upstream, until they expire after their assignment.
func TestHeldRights(t *testing.T) {
	v := instances.NewView(1, []instances.Instance{{ID: "u1", StartedMs: 7}, {ID: "u2", StartedMs: 7}, {ID: "u3"}})
	now := v.Get("u1").Incarnation()
	list := decodeRights([]*syncpb.Right{
		{Upstream: "u1", Incarnation: uint32(now), Node: "g"}, {Upstream: "u2", Incarnation: uint32(now) + 1, Node: "g"},
		{Upstream: "u3", Node: "other"}, {Upstream: "u4", Node: "g"}, {Node: "g"}, {Upstream: "u3"},
	})
	if len(list) != 4 {
		t.Errorf("decoded rights: %v", list)
	}
	assigned := time.Now()
	want := map[string]time.Time{"u1": assigned.Add(warmup.RightDuration)}
	if d := cmp.Diff(want, heldRights(v, list, assigned, "g")); d != "" {
		t.Error(d)
	}
}
