package dispatch

import "time"

// computeDemandFraction returns this gateway's fraction of the total demand. Until the demands of the
// gateways are comparable, each is assumed to have the same.
func (s *Service) computeDemandFraction(report ClusterReport) float64 {
	if s.gateways == 1 {
		return 1
	}
	if s.demandSpan <= minDemandSpan {
		return 1 / float64(s.gateways)
	}
	own, others := s.demand+demandFloor, report.Demand+demandFloor*float64(s.gateways-1)
	return max(own/(own+others), minRelativeFraction/float64(s.gateways))
}

// Demand updates and returns the number of requests a second that this gateway receives, averaged
// over the last few calls. It must be called once per report.
func (s *Service) Demand(now time.Time) float64 {
	if span := now.Sub(s.demandMeasuredAt); span > 0 && !s.demandMeasuredAt.IsZero() {
		s.demandSpan += span
		// Dividing by the shorter span gives a process that has just started its mean at once.
		weight := span.Seconds() / min(s.demandSpan, demandWindow).Seconds()
		s.demand += min(weight, 1) * (float64(s.offered)/span.Seconds() - s.demand)
	}
	s.offered, s.demandMeasuredAt = 0, now
	return s.demand
}

// updateRate sums up the rates that the usable upstreams can serve.
func (s *Service) updateRate(now time.Time) {
	s.totalThroughput = 0
	for _, u := range s.ordered {
		if s.usable(now, u) {
			s.totalThroughput += u.cappedRate(u.throughput(now, s.typicalWorkTime))
		}
	}
}
