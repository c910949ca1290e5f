package soak

import (
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
)

// The variants of faults, picked by Step.Variant.
var (
	pathFaults = []relay.Fault{relay.Slow, relay.DropToTarget, relay.DropFromTarget, relay.DropBoth, relay.Refuse}
	storeModes = []metastore.Mode{
		metastore.Unavailable, metastore.TooManyRequests, metastore.ResetConnection, metastore.Unresponsive, metastore.LoseResponse, metastore.ApplyLate,
	}
	upstreamModes = []instance.Mode{
		instance.Unresponsive, instance.LosesResponses, instance.ReturnsErrors, instance.Overloaded, instance.LateGrants,
	}
	// limits are in requests a second: far below what an upstream gets here, and beyond it.
	limits = []float64{0, 1, 5, 20, 100}
)

func pick[T any](list []T, n int) T { return list[n%len(list)] }

// apply carries a fault out and returns when it has ended.
func (s *site) apply(step Step) error {
	g, u := pick(s.gateways, step.Target), s.upstreamAt(step.Target)
	switch step.Kind {
	case Kill, Stop, Pause:
		return s.applyToProcess(g, step)
	case StorePath:
		lasting(step.For, func() { g.relay.SetFault(pick(pathFaults, step.Variant)) }, func() { g.relay.SetFault(relay.None) })
	case StoreSilent:
		g.relay.SilenceAll()
	case StoreMode:
		lasting(step.For, func() { g.door.SetMode(pick(storeModes, step.Variant)) }, func() { g.door.SetMode(metastore.Healthy) })
	case StoreAway:
		lasting(step.For, func() { s.store.SetAllModes(pick(storeModes, step.Variant)) }, func() { s.store.SetAllModes(metastore.Healthy) })
	case Compact:
		s.store.Compact()
	case UpstreamPath:
		u.cuts.during(func() {
			lasting(step.For, func() { u.relay.SetFault(pick(pathFaults, step.Variant)) }, func() { u.relay.SetFault(relay.None) })
		})
	case UpstreamReset:
		u.cuts.during(u.relay.ResetAll)
	case UpstreamQuiet:
		u.cuts.during(u.relay.SilenceAll)
	case UpstreamMode:
		lasting(step.For, func() { u.SetMode(pick(upstreamModes, step.Variant)) }, func() { u.SetMode(instance.Healthy) })
	case Harm:
		s.harm(step.For)
	case LateCalls:
		lasting(step.For, func() { s.setAll(instance.LateCalls) }, func() { s.setAll(instance.Healthy) })
	case Need:
		lasting(step.For, func() { u.AdvertiseLimit(pick(limits, step.Variant)) }, u.ClearLimit)
	case Rest:
		lasting(step.For, func() { u.Overload(pick(rests, step.Variant)...) }, u.Recover)
	case Drain:
		return s.replace(u, func() { s.register(u, "draining") })
	case Depart:
		return s.replace(u, func() {})
	case Restart:
		return s.restart(u, step.For/2)
	case Evacuate:
		domain := domainName(step.Target % domains)
		lasting(step.For, func() { s.evacuate(domain) }, func() { s.takeBack(domain) })
	case Configure:
		s.configure()
	}
	return nil
}

// setAll sets the mode of all upstreams that run now.
func (s *site) setAll(m instance.Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.SetMode(m)
	}
}

// evacuate and takeBack write and remove the operator's entry of a failure domain. Evacuations
// of one overlap: the first end takes it back.
func (s *site) evacuate(domain string) {
	s.store.Put(platform.EvacuationsKind, domain, struct{}{})
}

func (s *site) takeBack(domain string) { s.store.Remove(platform.EvacuationsKind, domain) }

// applyToProcess signals a gateway, unless another fault of it is under way.
func (s *site) applyToProcess(g *gateway, step Step) error {
	if !g.claim() {
		return nil
	}
	defer g.release()
	var err error
	g.faults.during(func() {
		switch step.Kind {
		case Kill:
			err = g.kill(step.For / 2)
		case Stop:
			err = g.stop(step.For / 2)
		default:
			err = g.pauseFor(step.For)
		}
	})
	return err
}

// lasting begins a fault, waits and ends it.
func lasting(d time.Duration, begin, end func()) {
	begin()
	time.Sleep(d)
	end()
}
