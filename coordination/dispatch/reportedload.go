package dispatch

import (
	"math"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file uses the load that upstreams report with their responses. Upstreams that report none
// are estimated from measurements and other gateways' reports alone.

const (
	// slownessHalfLife is the age at which a reported slowness counts half: machines shared by
	// several upstreams are slow for some tenths of a second at a time.
	slownessHalfLife = 400 * time.Millisecond
	// selfReportHalfLife is the age at which a reported number of requests counts half: other
	// gateways send more, and some requests end.
	selfReportHalfLife = 100 * time.Millisecond
	// maxSlownessSamples is the number of responses over which an upstream's mean slowness is
	// averaged here.
	maxSlownessSamples = 60
	// minSlowness and maxSlowness clamp reported values.
	minSlowness, maxSlowness = 0.1, 10
)

// ApplyLoad applies the load that an upstream reported with the response to a request. It must be
// called before Done for that request.
func (s *Service) ApplyLoad(now time.Time, g Grant, load instances.Load) {
	u := s.grantedUpstream(now, g)
	if u == nil {
		return
	}
	s.pool.markUneven(now)
	// The answered request is still counted both in the report and here.
	u.selfReportedOthers = max(float64(load.Running+load.Waiting)-u.activeInFlight(), 0)
	u.selfReportedAt = now
	if load.Slowness <= 0 {
		return
	}
	u.slowness, u.slownessAt = min(max(load.Slowness, minSlowness), maxSlowness), now
	u.ownSlownessSamples = min(u.ownSlownessSamples+1, maxSlownessSamples)
	u.ownSlowness += (u.slowness - u.ownSlowness) / u.ownSlownessSamples
}

// meanSlowness returns the mean slowness of the upstream. The mean over all gateways takes
// precedence over this gateway's own. It is 1 if the upstream reports none.
func (u *Upstream) meanSlowness() float64 {
	switch {
	case u.clusterSlowness > 0:
		return u.clusterSlowness
	case u.ownSlowness > 0:
		return u.ownSlowness
	}
	return 1
}

// relativeSlowness returns the ratio of the present run time to the mean run time at the upstream.
func (u *Upstream) relativeSlowness(now time.Time) float64 {
	if u.slownessAt.IsZero() {
		return 1
	}
	freshness := math.Exp2(-float64(now.Sub(u.slownessAt)) / float64(slownessHalfLife))
	return 1 + freshness*(u.slowness/u.meanSlowness()-1)
}

// answerSlowness returns the slowness reported with the response that arrived at now; 1 if it
// reported none.
func (u *Upstream) answerSlowness(now time.Time) float64 {
	if !u.slownessAt.Equal(now) {
		return 1
	}
	return u.slowness
}

// othersEstimate returns the number of other gateways' requests at the upstream. It combines the
// load that the upstream reported with the estimate from the other gateways' reports.
func (u *Upstream) othersEstimate(now time.Time, reported float64) float64 {
	if u.selfReportedAt.IsZero() {
		return reported
	}
	freshness := math.Exp2(-float64(now.Sub(u.selfReportedAt)) / float64(selfReportHalfLife))
	return reported + freshness*(u.selfReportedOthers-reported)
}
