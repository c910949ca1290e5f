package dispatch

import "time"

// partOf is this gateway's part of the demand.
func (s *Service) partOf(news ClusterReport) float64 {
	if s.gateways == 1 {
		return 1
	}
	if s.demandSpan <= minDemandSpan {
		return 1 / float64(s.gateways)
	}
	mine, others := s.demand+demandFloor, news.Demand+demandFloor*float64(s.gateways-1)
	return max(mine/(mine+others), minRelativeFraction/float64(s.gateways))
}

// Demand is how many requests a second this gateway is asked for, as a mean over the
// last few calls. It is to be called for each report.
func (s *Service) Demand(now time.Time) float64 {
	if span := now.Sub(s.demandMeasuredAt); span > 0 && !s.demandMeasuredAt.IsZero() {
		s.demandSpan += span
		// A process that has just started has a mean at once.
		weight := span.Seconds() / min(s.demandSpan, demandWindow).Seconds()
		s.demand += min(weight, 1) * (float64(s.offered)/span.Seconds() - s.demand)
	}
	s.offered, s.demandMeasuredAt = 0, now
	return s.demand
}

// measure sums up what the usable upstreams can run.
func (s *Service) measure(now time.Time) {
	s.totalThroughput = 0
	for _, u := range s.ordered {
		if s.usable(now, u) {
			s.totalThroughput += u.takes(u.throughput(now, s.typicalWorkTime))
		}
	}
}
