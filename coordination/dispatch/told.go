package dispatch

import (
	"math"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file uses what upstreams say of themselves with their answers. Those that say nothing
// are estimated as if nobody did.

const (
	// slownessHalf is the age at which what an upstream said of its slowness counts for half:
	// machines that upstreams share are slow for some tenths of a second.
	slownessHalf = 400 * time.Millisecond
	// othersHalf is the same for what it said of the requests that it has: others send more,
	// and some end.
	othersHalf = 100 * time.Millisecond
	// heardMost is how many answers the mean slowness of an upstream remembers here.
	heardMost = 60
	// leastSlowness and mostSlowness bound what is believed.
	leastSlowness, mostSlowness = 0.1, 10
)

// Told takes over what an upstream said of itself with the answer to a request, before the
// end of the request is noted.
func (s *Service) Told(now time.Time, g Grant, load instances.Load) {
	u := s.grantedUpstream(g)
	if u == nil {
		return
	}
	// The request that this answers still counts there, and here.
	u.toldOthers = max(float64(load.Running+load.Waiting)-u.alive(), 0)
	u.toldAt = now
	if load.Slowness <= 0 {
		return
	}
	u.slowness, u.slowAt = min(max(load.Slowness, leastSlowness), mostSlowness), now
	u.heardRuns = min(u.heardRuns+1, heardMost)
	u.heard += (u.slowness - u.heard) / u.heardRuns
}

// usualSlowness is the mean slowness of the upstream: as all gateways have heard it, else as
// this one has; 1 when it says nothing.
func (u *Upstream) usualSlowness() float64 {
	switch {
	case u.usual > 0:
		return u.usual
	case u.heard > 0:
		return u.heard
	}
	return 1
}

// slow is how many times as long as in the mean a run takes at the upstream now.
func (u *Upstream) slow(now time.Time) float64 {
	if u.slowAt.IsZero() {
		return 1
	}
	fresh := math.Exp2(-float64(now.Sub(u.slowAt)) / float64(slownessHalf))
	return 1 + fresh*(u.slowness/u.usualSlowness()-1)
}

// saidSlowness is what the upstream said with the answer that came now; 1 when it said
// nothing.
func (u *Upstream) saidSlowness(now time.Time) float64 {
	if !u.slowAt.Equal(now) {
		return 1
	}
	return u.slowness
}

// atOthers is how many requests of other gateways the upstream has, from what it said itself
// and from what the others reported.
func (u *Upstream) atOthers(now time.Time, reported float64) float64 {
	if u.toldAt.IsZero() {
		return reported
	}
	fresh := math.Exp2(-float64(now.Sub(u.toldAt)) / float64(othersHalf))
	return reported + fresh*(u.toldOthers-reported)
}
