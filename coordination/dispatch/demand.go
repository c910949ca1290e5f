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

// rateValidity is how long a measured total throughput is used. Only requests that would have to wait
// ask for it.
const rateValidity = 20 * time.Millisecond

// currentThroughput returns the rate that the usable upstreams together can run, in requests per
// second.
func (s *Service) currentThroughput(now time.Time) float64 {
	if !s.rateAt.IsZero() && now.Sub(s.rateAt) < rateValidity {
		return s.totalThroughput
	}
	s.totalThroughput, s.rateAt = 0, now
	for _, l := range s.ordered {
		s.totalThroughput += s.throughputOf(now, l)
	}
	return s.totalThroughput
}

// throughputOf returns the rate that a listed upstream can run, in requests per second; zero if it may
// get no requests.
func (s *Service) throughputOf(now time.Time, l *listing) float64 {
	if !s.listingUsable(now, l) {
		return 0
	}
	if u := l.state; u != nil {
		return u.cappedRate(u.throughput(now, s.typicalWorkTime))
	}
	work := s.lastReport.WorkTimes[l.ID].Work
	if work == 0 {
		work = s.typicalWorkTime
	}
	return float64(l.Slots) / max(s.routes.Mix()*work.Seconds(), minWorkTime.Seconds())
}
