package gateway

import (
	"log/slog"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/limits"
)

// named returns, from the metrics, how many upstreams of the service have announced a limit, as far
// as the gateway knows.
func (g *testGateway) named(service string) string { return metricsOf(g)["limits."+service+".named"] }

// TestLimitsReachAllGateways checks that all gateways learn of a limit, and of its end, when only
// one of them has seen them in responses.
func TestLimitsReachAllGateways(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	for _, u := range []string{"i-p0", "i-p1"} {
		b.upstreams[u].AdvertiseLimit(1000)
	}
	first := b.gateways[1]
	all := func(want string) func() bool {
		return func() bool {
			b.request(first, http.MethodPost, "/pay/x", -1)
			for _, g := range b.gateways {
				if g.named("pay") != want {
					return false
				}
			}
			return true
		}
	}
	b.eventually("all know of both limits", all("2"))
	b.upstreams["i-p0"].ClearLimit()
	b.eventually("all know of the end of one", all("1"))
	b.upstreams["i-p1"].ClearLimit()
	b.eventually("all know of both ends", all("0"))
}

// TestLimitedDemandIsSummed checks that each gateway learns the demand at all others but not its
// own, and that the others' demand is unknown rather than zero before the parent has reported it.
func TestLimitedDemandIsSummed(t *testing.T) {
	now := time.Now()
	c := newCluster(&syncpb.Member{Node: "head", Address: "1"}, nil, func() time.Time { return now }, nil)
	own := map[string]float64{"u": 1}
	report := func(node string, demand float32) {
		c.handleReport(&syncpb.SyncRequest{
			Member: &syncpb.Member{Node: node, Address: node}, Limits: []*syncpb.NamedLimit{{Upstream: "u", Wanted: demand}},
		}, true)
	}
	report("x", 20)
	report("y", 300)
	if _, known := c.limitedDemandExcept("x", own, "u"); known {
		t.Error("known although the parent has not reported the demand at its other gateways")
	}
	c.setParentLimitedDemand([]*syncpb.NamedLimit{{Upstream: "u", Wanted: 4000}})
	for node, want := range map[string]float64{"x": 4301, "y": 4021, "head": 4320} {
		if got, known := c.limitedDemandExcept(node, own, "u"); got != want || !known {
			t.Errorf("demand without %s is %g, known %v; want %g", node, got, known, want)
		}
	}
	if got := c.subtreeLimitedDemand(own, "u"); got != 321 {
		t.Errorf("demand at this gateway and those below it is %g", got)
	}
	now = now.Add(reportExpiry)
	if got := c.subtreeLimitedDemand(own, "u"); got != 1 {
		t.Errorf("demand is %g after the others' reports expired", got)
	}
	c.setLeading(true)
	if got, known := c.limitedDemandExcept("head", own, "u"); got != 0 || !known {
		t.Errorf("demand at the leader's other gateways is %g, known %v", got, known)
	}
}

// TestInvalidLimitsAreDropped checks that invalid limits are dropped and counted.
func TestInvalidLimitsAreDropped(t *testing.T) {
	m := newMeters()
	s := newPeerValidator(newView(), time.Now, slog.New(slog.DiscardHandler), m)
	nan := float32(math.NaN())
	got := s.validLimits(sourceUpdate, []*syncpb.NamedLimit{
		{PerSecond: 1}, {Upstream: "a", PerSecond: -1}, {Upstream: "b", PerSecond: nan},
		{Upstream: "c", Wanted: nan}, {Upstream: "d", PerSecond: 2 * maxRate}, {Upstream: "e", PerSecond: 1},
	})
	if len(got) != 1 || got[0].Upstream != "e" {
		t.Errorf("accepted limits: %v", got)
	}
	if n := m.counter("view.unsound.news").Count(); n != 5 {
		t.Errorf("%d invalid limits counted", n)
	}
}

// TestHasNewerLimits checks that a limit counts as newer than the list of a gateway that has none
// or an older one, but not than a later one.
func TestHasNewerLimits(t *testing.T) {
	n := noLimits()
	if n.hasNewerThan(nil) {
		t.Error("an empty book has newer limits")
	}
	n.record(limitFromAnswer, limits.Limit{Upstream: "u", PerSecond: 10, ReceivedAt: n.now()})
	limitMessages := func(perSecond float32, age time.Duration) []*syncpb.NamedLimit {
		return []*syncpb.NamedLimit{{Upstream: "u", PerSecond: perSecond, AgeMs: milliseconds(age)}}
	}
	if !n.hasNewerThan(nil) || !n.hasNewerThan(limitMessages(20, time.Second)) {
		t.Error("a newer limit is not found")
	}
	if n.hasNewerThan(limitMessages(10, time.Second)) || n.hasNewerThan(limitMessages(20, 0)) {
		t.Error("a limit that the other gateway has counts as newer")
	}
}
