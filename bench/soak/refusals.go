package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file makes upstreams refuse a part of the requests while late copies of responses arrive, and checks that no
// request runs whose caller was told that it has not run and never will.

const (
	// minRefusalDuration is the minimum duration of the fault. Shorter ones have few retries of refused requests.
	minRefusalDuration = 4 * time.Second
	// refusedShare and copiedShare are the shares of requests that are refused and of responses that are sent again.
	refusedShare = 0.5
	copiedShare  = 0.5
	// stepsPerRefusals is the number of random steps after which the fault is added.
	stepsPerRefusals = 4
	// maxEntryDuration bounds how long the store lists an upstream that has ended. The platform removes its entry
	// after three missed heartbeats.
	maxEntryDuration = 3 * time.Second
)

// refusalSteps returns the steps that begin together with random step i: none, or the fault and an upstream that takes
// over an address meanwhile.
func refusalSteps(rng *rand.Rand, i int) []Step {
	if i%stepsPerRefusals != stepsPerRefusals-1 {
		return nil
	}
	return []Step{
		{Kind: Refusals, Duration: time.Duration(rng.Int64N(int64(maxFaultDuration))), Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16)},
		{Kind: TakeOver, Duration: time.Duration(rng.Int64N(int64(maxEntryDuration))), Target: rng.IntN(1 << 16)},
	}
}

// refuseAndCopy makes all upstreams refuse requests and send copies of responses, for the duration of the
// step plus minRefusalDuration. Of overlapping faults, the one that ends first ends all.
func (d *deployment) refuseAndCopy(step Step) {
	holdFault(minRefusalDuration+step.Duration, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) {
			f.Refused, f.Copied, f.AnyConnection, f.Seed = refusedShare, copiedShare, step.Variant%2 == 0, uint64(step.Target)
		})
	}, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) { f.Refused, f.Copied = 0, 0 })
	})
}

// changeResponseFaults changes the faults of the responses of all current upstreams and of those that start later.
func (d *deployment) changeResponseFaults(change func(*instance.ResponseFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.responseFaults)
	for _, u := range d.upstreams {
		u.SetResponseFaults(d.responseFaults)
	}
}

// promises are the requests whose callers were told that they have not run and never will.
type promises struct {
	mu  sync.Mutex
	ids []string
}

func (p *promises) add(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids = append(p.ids, id)
}

// broken returns the promises that were broken in the course of the whole run.
func (p *promises) broken(o *instance.Oracle) (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.ids {
		if runs := o.Runs(id); runs > 0 {
			out = append(out, fmt.Sprintf("request %s was refused as not run and ran %d times", id, runs))
		}
	}
	return out
}
