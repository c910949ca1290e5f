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
	relayFaults = []relay.Fault{relay.Slow, relay.DropToTarget, relay.DropFromTarget, relay.DropBoth, relay.Refuse}
	storeModes  = []metastore.Mode{
		metastore.Unavailable, metastore.TooManyRequests, metastore.ResetConnection, metastore.Unresponsive, metastore.LoseResponse, metastore.ApplyLate,
	}
	upstreamModes = []instance.Mode{
		instance.Unresponsive, instance.LosesResponses, instance.ReturnsErrors, instance.Overloaded, instance.LateGrants,
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
		g.storeFaults.record(func() {
			holdFault(step.Duration, func() { g.relay.SetFault(pick(relayFaults, step.Variant)) }, func() { g.relay.SetFault(relay.None) })
		})
	case StoreSilent:
		g.storeFaults.record(g.relay.SilenceAll)
	case StoreMode:
		g.storeFaults.record(func() {
			holdFault(step.Duration, func() { g.endpoint.SetMode(pick(storeModes, step.Variant)) }, func() { g.endpoint.SetMode(metastore.Healthy) })
		})
	case StoreModeAll:
		d.storeFaults.record(func() {
			holdFault(step.Duration, func() { d.store.SetAllModes(pick(storeModes, step.Variant)) }, func() { d.store.SetAllModes(metastore.Healthy) })
		})
	case Compact:
		d.store.Compact()
	case UpstreamPath:
		u.pathFaults.record(func() {
			holdFault(step.Duration, func() { u.relay.SetFault(pick(relayFaults, step.Variant)) }, func() { u.relay.SetFault(relay.None) })
		})
	case UpstreamReset:
		u.pathFaults.record(u.relay.ResetAll)
	case UpstreamSilent:
		u.pathFaults.record(u.relay.SilenceAll)
	case UpstreamMode:
		holdFault(step.Duration, func() { u.SetMode(pick(upstreamModes, step.Variant)) }, func() { u.SetMode(instance.Healthy) })
	case HarmfulRequest:
		d.sendHarmfulRequests(step.Duration)
	case LateCalls:
		holdFault(step.Duration, func() { d.setAll(instance.LateCalls) }, func() { d.setAll(instance.Healthy) })
	case NameLimit:
		holdFault(step.Duration, func() { u.AdvertiseLimit(pick(rateLimits, step.Variant)) }, u.ClearLimit)
	case Rest:
		holdFault(step.Duration, func() { u.Overload(pick(restValues, step.Variant)...) }, u.Recover)
	case Drain:
		return d.replaceUpstream(u, func() { d.register(u, "draining") })
	case LeaveByResponses:
		return d.replaceUpstream(u, func() {})
	case CutGateways:
		d.cutGateways(step)
	case Endless:
		d.respondWithoutEnd(step)
	case Broken:
		d.respondBroken(step)
	case TakeOver:
		return d.takeOverAddress(u, step.Duration)
	case Refusals:
		d.refuseAndCopy(step)
	case SilentRemoval:
		return d.removeWithoutLeader(u, step.Duration)
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
		u.SetMode(m)
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
