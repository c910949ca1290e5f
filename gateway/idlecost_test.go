package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/settings"
)

// idleGateway is the part of a gateway that follows the leader, without connections. It gets no
// requests.
type idleGateway struct {
	view    *view
	traffic *traffic
	now     time.Time
	version uint64
}

// newIdleGateway returns a gateway that knows the given number of upstreams, in four services.
func newIdleGateway(upstreams int) *idleGateway {
	g := &idleGateway{view: newView(), now: time.Unix(1000, 0)}
	conf := settings.DefaultGateway()
	conf.Domain = "a"
	g.traffic = newTraffic(conf, func() time.Time { return g.now }, rand.New(rand.NewPCG(1, 2)))
	g.view.onInstances = g.traffic.setUpstreams
	m := &syncpb.Instances{Revision: 1, Version: 1}
	for i := range upstreams {
		m.List = append(m.List, idleUpstream(i, 1))
	}
	g.version = 1
	g.view.applyInstances(m)
	return g
}

func idleUpstream(i int, revision uint64) *syncpb.Instance {
	return &syncpb.Instance{
		Id: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("service-%d", i%4), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
		Domain: string(rune('a' + i%5)), Slots: 4, Revision: revision,
	}
}

// change applies a difference with ten changed upstreams.
func (g *idleGateway) change() {
	g.version++
	m := &syncpb.Instances{Revision: g.version, Version: g.version, Base: g.version - 1}
	for i := range 10 {
		m.List = append(m.List, idleUpstream(i*7, g.version))
	}
	g.view.applyInstances(m)
}

// exchange takes a report and applies the answer to it, as each reporting interval does.
func (g *idleGateway) exchange() {
	g.now = g.now.Add(250 * time.Millisecond)
	g.traffic.takeReport()
	g.traffic.applyReport(dispatch.ClusterReport{Gateways: 1000}, nil, nil)
}

// tick is what each tick of the dispatcher does.
func (g *idleGateway) tick() {
	g.now = g.now.Add(tickInterval)
	for _, s := range g.traffic.all() {
		s.tick(g.now)
	}
}

// BenchmarkIdleGateway measures what a gateway without requests does with a change of ten upstreams,
// with a report and with a tick.
func BenchmarkIdleGateway(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		g := newIdleGateway(n)
		for name, f := range map[string]func(){"change": g.change, "exchange": g.exchange, "tick": g.tick} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
			})
		}
	}
}

// BenchmarkFirstUpstreams measures what a gateway does with the first list of upstreams.
func BenchmarkFirstUpstreams(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newIdleGateway(10_000)
	}
}

// TestIdleWorkDoesNotGrowWithUpstreams checks that a gateway without requests allocates no more for a
// report or a tick at 20,000 upstreams than at 1,000, and keeps no state of any of them.
func TestIdleWorkDoesNotGrowWithUpstreams(t *testing.T) {
	few, many := newIdleGateway(1000), newIdleGateway(20_000)
	for name, f := range map[string]func(*idleGateway){"exchange": (*idleGateway).exchange, "tick": (*idleGateway).tick} {
		a, b := testing.AllocsPerRun(100, func() { f(few) }), testing.AllocsPerRun(100, func() { f(many) })
		if b > a {
			t.Errorf("%s: %v allocations at 20,000 upstreams, %v at 1,000", name, b, a)
		}
	}
	for name, s := range many.traffic.all() {
		if n := s.dispatch.StateCount(); n > 0 {
			t.Errorf("service %s: state of %d upstreams without requests", name, n)
		}
	}
}
