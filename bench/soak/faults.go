package soak

import (
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
)

// The variants of the fault kinds, selected by Step.Variant.
var (
	relayFaults = []relay.Fault{relay.Slow, relay.CutThere, relay.CutBack, relay.CutBoth, relay.Refuse}
	storeModes  = []metastore.Mode{
		metastore.Busy, metastore.Many, metastore.Reset, metastore.Silent, metastore.Lose, metastore.Late,
	}
	upstreamModes = []instance.Mode{
		instance.Silent, instance.Loses, instance.Fails, instance.Sheds, instance.LateGrants,
	}
	// rateLimits are in requests per second. They range from far below to above the rate
	// at which an upstream receives requests here.
	rateLimits = []float64{0, 1, 5, 20, 100}
)

// pick returns the element of a list with index n modulo its length.
func pick[T any](list []T, n int) T { return list[n%len(list)] }

// apply injects a fault and returns when it has ended.
func (d *deployment) apply(step Step) error {
	g, u := pick(d.gateways, step.Target), d.upstreamAt(step.Target)
	switch step.Kind {
	case Kill, Stop, Pause:
		return d.applyToProcess(g, step)
	case StorePath:
		holdFault(step.Duration, func() { g.relay.Set(pick(relayFaults, step.Variant)) }, func() { g.relay.Set(relay.None) })
	case StoreSilent:
		g.relay.SilenceAll()
	case StoreMode:
		holdFault(step.Duration, func() { g.door.Set(pick(storeModes, step.Variant)) }, func() { g.door.Set(metastore.Open) })
	case StoreModeAll:
		holdFault(step.Duration, func() { d.store.SetAll(pick(storeModes, step.Variant)) }, func() { d.store.SetAll(metastore.Open) })
	case Compact:
		d.store.Compact()
	case UpstreamPath:
		u.pathFaults.record(func() {
			holdFault(step.Duration, func() { u.relay.Set(pick(relayFaults, step.Variant)) }, func() { u.relay.Set(relay.None) })
		})
	case UpstreamReset:
		u.pathFaults.record(u.relay.ResetAll)
	case UpstreamSilent:
		u.pathFaults.record(u.relay.SilenceAll)
	case UpstreamMode:
		holdFault(step.Duration, func() { u.Set(pick(upstreamModes, step.Variant)) }, func() { u.Set(instance.Serves) })
	case HarmfulRequest:
		d.sendHarmfulRequests(step.Duration)
	case LateCalls:
		holdFault(step.Duration, func() { d.setAll(instance.LateCalls) }, func() { d.setAll(instance.Serves) })
	case NameLimit:
		holdFault(step.Duration, func() { u.Name(pick(rateLimits, step.Variant)) }, u.NameNone)
	case Rest:
		holdFault(step.Duration, func() { u.Rest(pick(restValues, step.Variant)...) }, u.Resume)
	case Drain:
		return d.replaceUpstream(u, func() { d.register(u, "draining") })
	case LeaveByAnswers:
		return d.replaceUpstream(u, func() {})
	case Restart:
		return d.restartUpstream(u, step.Duration/2)
	case Evacuate:
		domain := domainName(step.Target % domains)
		holdFault(step.Duration, func() { d.evacuate(domain) }, func() { d.cancelEvacuation(domain) })
	case Configure:
		d.writeConfiguration()
	}
	return nil
}

// setAll sets the mode of all current upstreams.
func (d *deployment) setAll(m instance.Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		u.Set(m)
	}
}

// evacuate and cancelEvacuation write and remove the operator's evacuation document for a
// failure domain. If evacuations of one domain overlap, the one that ends first cancels all.
func (d *deployment) evacuate(domain string) {
	d.store.Put(platform.EvacuationsKind, domain, struct{}{})
}

func (d *deployment) cancelEvacuation(domain string) {
	d.store.Remove(platform.EvacuationsKind, domain)
}

// applyToProcess kills, stops or pauses a gateway process. It does nothing if another
// fault of that process is in progress.
func (d *deployment) applyToProcess(g *gateway, step Step) error {
	if !g.beginFault() {
		return nil
	}
	defer g.endFault()
	var err error
	g.faults.record(func() {
		switch step.Kind {
		case Kill:
			err = g.kill(step.Duration / 2)
		case Stop:
			err = g.stop(step.Duration / 2)
		default:
			err = g.pauseFor(step.Duration)
		}
	})
	return err
}

// holdFault begins a fault, waits for d and ends it.
func holdFault(d time.Duration, begin, end func()) {
	begin()
	time.Sleep(d)
	end()
}
