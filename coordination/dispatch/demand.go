package dispatch

import "time"

// demandFraction returns this gateway's fraction of the total demand. Until the demands of the
// gateways are comparable, each is assumed to have the same.
func (s *Service) demandFraction(news News) float64 {
	if s.gateways == 1 {
		return 1
	}
	if s.demandSpan <= demandKnown {
		return 1 / float64(s.gateways)
	}
	own, others := s.demand+demandFloor, news.Demand+demandFloor*float64(s.gateways-1)
	return max(own/(own+others), leastPart/float64(s.gateways))
}

// Demand updates and returns the number of requests a second that this gateway receives, averaged
// over the last few calls. It must be called once per report.
func (s *Service) Demand(now time.Time) float64 {
	if span := now.Sub(s.demandAt); span > 0 && !s.demandAt.IsZero() {
		s.demandSpan += span
		// Dividing by the shorter span gives a process that has just started its mean at once.
		weight := span.Seconds() / min(s.demandSpan, demandTime).Seconds()
		s.demand += min(weight, 1) * (float64(s.asked)/span.Seconds() - s.demand)
	}
	s.asked, s.demandAt = 0, now
	return s.demand
}

// updateRate sums up the rates that the usable upstreams can serve.
func (s *Service) updateRate(now time.Time) {
	s.rate = 0
	for _, u := range s.order {
		if s.usable(now, u) {
			s.rate += u.cappedRate(u.rate(now, s.typical))
		}
	}
}
