package dispatch

import "time"

// demandFraction is this gateway's part of the demand.
func (s *Service) demandFraction(news News) float64 {
	if s.gateways == 1 {
		return 1
	}
	if s.demandSpan <= demandKnown {
		return 1 / float64(s.gateways)
	}
	mine, others := s.demand+demandFloor, news.Demand+demandFloor*float64(s.gateways-1)
	return max(mine/(mine+others), leastPart/float64(s.gateways))
}

// Demand is how many requests a second this gateway is asked for, as a mean over the
// last few calls. It is to be called for each report.
func (s *Service) Demand(now time.Time) float64 {
	if span := now.Sub(s.demandAt); span > 0 && !s.demandAt.IsZero() {
		s.demandSpan += span
		// A process that has just started has a mean at once.
		weight := span.Seconds() / min(s.demandSpan, demandTime).Seconds()
		s.demand += min(weight, 1) * (float64(s.asked)/span.Seconds() - s.demand)
	}
	s.asked, s.demandAt = 0, now
	return s.demand
}

// updateRate sums up what the usable upstreams can run.
func (s *Service) updateRate(now time.Time) {
	s.rate = 0
	for _, u := range s.order {
		if s.usable(now, u) {
			s.rate += u.cappedRate(u.rate(now, s.typical))
		}
	}
}
