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

// named is how many upstreams of the service a gateway knows to name a limit.
func (g *testGateway) named(service string) string { return metricsOf(g)["limits."+service+".named"] }

// TestLimitsAreToldToAll: gateways hear of a limit, and of its end, that only one of them has seen
// in answers.
func TestLimitsAreToldToAll(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	for _, u := range []string{"i-p0", "i-p1"} {
		b.upstreams[u].Name(1000)
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
	b.upstreams["i-p0"].NameNone()
	b.eventually("all know of the end of one", all("1"))
	b.upstreams["i-p1"].NameNone()
	b.eventually("all know of both ends", all("0"))
}

// TestWantedIsAddedUp: each hears of all others, not of itself, and one that its parent has told
// nothing does not take the others for idle.
func TestWantedIsAddedUp(t *testing.T) {
	now := time.Now()
	c := newCluster(&syncpb.Member{Node: "head", Address: "1"}, nil, func() time.Time { return now }, nil)
	own := map[string]float64{"u": 1}
	report := func(node string, wanted float32) {
		c.reported(&syncpb.SyncRequest{
			Member: &syncpb.Member{Node: node, Address: node}, Limits: []*syncpb.NamedLimit{{Upstream: "u", Wanted: wanted}},
		}, true)
	}
	report("x", 20)
	report("y", 300)
	if _, known := c.wantedElsewhere("x", own, "u"); known {
		t.Error("what the parent's other gateways are asked for is not known")
	}
	c.setWantedAbove([]*syncpb.NamedLimit{{Upstream: "u", Wanted: 4000}})
	for node, want := range map[string]float64{"x": 4301, "y": 4021, "head": 4320} {
		if got, known := c.wantedElsewhere(node, own, "u"); got != want || !known {
			t.Errorf("all but %s want %g, known %v; %g expected", node, got, known, want)
		}
	}
	if got := c.wantedBelow(own, "u"); got != 321 {
		t.Errorf("%g wanted by this one and those behind it", got)
	}
	now = now.Add(reportExpiry)
	if got := c.wantedBelow(own, "u"); got != 1 {
		t.Errorf("%g wanted when the others report no more", got)
	}
	c.setLeading(true)
	if got, known := c.wantedElsewhere("head", own, "u"); got != 0 || !known {
		t.Errorf("the leader's others want %g, known %v", got, known)
	}
}

// TestUnsoundLimitsAreDropped: and counted.
func TestUnsoundLimitsAreDropped(t *testing.T) {
	m := newMeters()
	s := newSieve(newView(), time.Now, slog.New(slog.DiscardHandler), m)
	nan := float32(math.NaN())
	got := s.soundLimits(unsoundNews, []*syncpb.NamedLimit{
		{PerSecond: 1}, {Upstream: "a", PerSecond: -1}, {Upstream: "b", PerSecond: nan},
		{Upstream: "c", Wanted: nan}, {Upstream: "d", PerSecond: 2 * mostRate}, {Upstream: "e", PerSecond: 1},
	})
	if len(got) != 1 || got[0].Upstream != "e" {
		t.Errorf("taken over: %v", got)
	}
	if n := m.counter("view.unsound.news").Count(); n != 5 {
		t.Errorf("%d counted", n)
	}
}

// TestLimitIsLacked: by one that knows nothing of it, or what it was before, and not by one that
// has heard of it later.
func TestLimitIsLacked(t *testing.T) {
	n := noLimits()
	if n.lackedBy(nil) {
		t.Error("nothing is known")
	}
	n.note(limitFromAnswer, limits.Limit{Upstream: "u", PerSecond: 10, At: n.now()})
	say := func(perSecond float32, age time.Duration) []*syncpb.NamedLimit {
		return []*syncpb.NamedLimit{{Upstream: "u", PerSecond: perSecond, AgeMs: milliseconds(age)}}
	}
	if !n.lackedBy(nil) || !n.lackedBy(say(20, time.Second)) {
		t.Error("a gateway is not told what it lacks")
	}
	if n.lackedBy(say(10, time.Second)) || n.lackedBy(say(20, 0)) {
		t.Error("a gateway is told what it has")
	}
}
