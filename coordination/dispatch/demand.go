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
	own, others, floor := s.demand.Requests, report.Demand.Requests, demandFloor
	if s.routes.Differ() && s.demand.Work > 0 && report.Demand.Work > 0 {
		// In seconds of work. Requests of the mean would be counted alike.
		own, others, floor = s.demand.Work, report.Demand.Work, demandFloor*s.meanWork.Seconds()
	}
	own, others = own+floor, others+floor*float64(s.gateways-1)
	return max(own/(own+others), minRelativeFraction/float64(s.gateways))
}

// Demand is what is asked of a service.
type Demand struct {
	// Requests is in requests a second. Work is in seconds of work a second; zero if it is not known.
	Requests, Work float64
}

// Add returns the sum of both. Its work is unknown if that of one with requests is.
func (d Demand) Add(other Demand) Demand {
	sum := Demand{Requests: d.Requests + other.Requests, Work: d.Work + other.Work}
	if d.Requests > 0 && d.Work == 0 || other.Requests > 0 && other.Work == 0 {
		sum.Work = 0
	}
	return sum
}

// meanWorkInterval is how long the mean work of the service is used: work times come every two seconds.
const meanWorkInterval = 2 * time.Second

// updateMeanWork computes the mean time of a run of mean work over all listed upstreams, from what all
// gateways were told alike. A gateway's own measurements depend on the upstreams that it sends to.
func (s *Service) updateMeanWork(now time.Time) {
	if !s.meanWorkAt.IsZero() && now.Sub(s.meanWorkAt) < meanWorkInterval {
		return
	}
	s.meanWorkAt = now
	sum, n := time.Duration(0), 0
	for _, l := range s.ordered {
		if work := s.lastReport.WorkTimes[l.ID].Work; work > 0 {
			sum, n = sum+work, n+1
		}
	}
	if n > 0 {
		s.meanWork = sum / time.Duration(n)
	}
}

// Demand updates and returns what this gateway is asked for, averaged over the last few calls. It must
// be called once per report.
func (s *Service) Demand(now time.Time) Demand {
	s.updateMeanWork(now)
	if span := now.Sub(s.demandMeasuredAt); span > 0 && !s.demandMeasuredAt.IsZero() {
		s.demandSpan += span
		// Dividing by the shorter span gives a process that has just started its mean at once.
		weight := span.Seconds() / min(s.demandSpan, demandWindow).Seconds()
		s.demand.Requests += min(weight, 1) * (float64(s.offered)/span.Seconds() - s.demand.Requests)
		s.demand.Work += min(weight, 1) * (s.offeredWork*s.meanWork.Seconds()/span.Seconds() - s.demand.Work)
	}
	s.offered, s.offeredWork, s.demandMeasuredAt = 0, 0, now
	if !s.routes.Differ() {
		// In proportion to the requests. Leaving it out saves its bytes in each report.
		return Demand{Requests: s.demand.Requests}
	}
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
