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
	slownessHalfLife = 400 * time.Millisecond
	// othersHalf is the same for what it said of the requests that it has: others send more,
	// and some end.
	selfReportHalfLife = 100 * time.Millisecond
	// heardMost is how many answers the mean slowness of an upstream remembers here.
	maxSlownessSamples = 60
	// leastSlowness and mostSlowness bound what is believed.
	minSlowness, maxSlowness = 0.1, 10
)

// Told takes over what an upstream said of itself with the answer to a request, before the
// end of the request is noted.
func (s *Service) ApplyLoad(now time.Time, g Grant, load instances.Load) {
	u := s.granted(g)
	if u == nil {
		return
	}
	// The request that this answers still counts there, and here.
	u.selfReportedOthers = max(float64(load.Running+load.Waiting)-u.activeInFlight(), 0)
	u.selfReportedAt = now
	if load.Slowness <= 0 {
		return
	}
	u.slowness, u.slownessAt = min(max(load.Slowness, minSlowness), maxSlowness), now
	u.ownSlownessSamples = min(u.ownSlownessSamples+1, maxSlownessSamples)
	u.ownSlowness += (u.slowness - u.ownSlowness) / u.ownSlownessSamples
}

// usualSlowness is the mean slowness of the upstream: as all gateways have heard it, else as
// this one has; 1 when it says nothing.
func (u *Upstream) meanSlowness() float64 {
	switch {
	case u.clusterSlowness > 0:
		return u.clusterSlowness
	case u.ownSlowness > 0:
		return u.ownSlowness
	}
	return 1
}

// slow is how many times as long as in the mean a run takes at the upstream now.
func (u *Upstream) relativeSlowness(now time.Time) float64 {
	if u.slownessAt.IsZero() {
		return 1
	}
	freshness := math.Exp2(-float64(now.Sub(u.slownessAt)) / float64(slownessHalfLife))
	return 1 + freshness*(u.slowness/u.meanSlowness()-1)
}

// saidSlowness is what the upstream said with the answer that came now; 1 when it said
// nothing.
func (u *Upstream) answerSlowness(now time.Time) float64 {
	if !u.slownessAt.Equal(now) {
		return 1
	}
	return u.slowness
}

// atOthers is how many requests of other gateways the upstream has, from what it said itself
// and from what the others reported.
func (u *Upstream) othersEstimate(now time.Time, reported float64) float64 {
	if u.selfReportedAt.IsZero() {
		return reported
	}
	freshness := math.Exp2(-float64(now.Sub(u.selfReportedAt)) / float64(selfReportHalfLife))
	return reported + freshness*(u.selfReportedOthers-reported)
}
