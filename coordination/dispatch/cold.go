package dispatch

import "time"

// This file decides about requests for keys that are cold: their owner got them without a handover and
// has to load their state.

const (
	// maxColdUtilization is the fraction of an owner's slots up to which requests for cold keys
	// are admitted. The other half is kept for the owner's other keys.
	maxColdUtilization = 0.5
	// initialColdFactor is how many times as long as usual a request for a cold key is assumed to
	// run before the first one has been answered.
	initialColdFactor = 3
)

// offerCold admits a request for a cold key only while at most half of its owner's slots are used:
// in the time that it runs the owner answers several others on time, and it is late in any case.
// It never waits.
func (s *Service) offerCold(now time.Time, req *Request) Decision {
	u := s.upstream(now, req.Owner)
	switch {
	case u == nil:
		return refused(NoUpstream)
	case s.ownerBlockedReason(now, u) != 0:
		return refused(s.ownerBlockedReason(now, u))
	case !s.ownerResponsive(now, u):
		return refused(OwnerUnresponsive)
	case !s.warmUpAllows(now, u):
		return refused(WarmingUp)
	case u.totalInFlight(now)+1 > maxColdUtilization*float64(u.Slots):
		return refused(ColdKey)
	}
	u.demandMeter.Add()
	if !s.withinLimit(now, req, u) {
		return refused(Limited)
	}
	g := s.issueGrant(now, u, req)
	g.Cold = true
	g.ExpectedLatency = time.Duration(s.coldFactor * float64(g.ExpectedLatency))
	return Decision{Grant: g}
}

// updateColdFactor updates how many times as long as usual requests for cold keys run.
func (s *Service) updateColdFactor(took, work time.Duration) {
	sample := max(1, took.Seconds()/max(work, minWorkTime).Seconds())
	s.coldFactor += workTimeWeight * (sample - s.coldFactor)
}
