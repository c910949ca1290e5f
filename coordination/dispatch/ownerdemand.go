package dispatch

import "time"

// This file measures the demand for contended owners: owners of keys that have as many requests as
// slots. Each gateway reports its own demand for them and learns that of all others, so that its
// share of an owner follows its demand for that owner. Other owners need no shares.

const (
	// contentionTTL is how long an owner counts as contended after the last sign: the demand has to
	// be known at all gateways when the next burst comes.
	contentionTTL = 3 * time.Second
	// ownerDemandFloor is added to each gateway's demand for an owner, in requests per second, so
	// that a gateway without recent requests still has a share.
	ownerDemandFloor = 0.1
	// defaultReportInterval is the assumed time between reports before two have arrived.
	// minReportInterval and maxReportInterval bound the measured one.
	defaultReportInterval = 250 * time.Millisecond
	minReportInterval     = 50 * time.Millisecond
	maxReportInterval     = time.Second
	// reportIntervalWeight is the weight of a new interval in the moving average.
	reportIntervalWeight = 0.1
	// targetDelay is the part of the objective within which the last of the requests at a contended
	// owner is to be answered. The rest is for the network and for run times above the mean.
	targetDelay = 0.85
	// minTargetLoad and maxTargetLoad bound the number of requests per slot at a contended owner:
	// below, slots idle; above, an owner that queues four requests per slot has no margin for the
	// requests of two report intervals.
	minTargetLoad, maxTargetLoad = 1.25, 3
	// objectiveWeight is the weight of a new request in the mean objective.
	objectiveWeight = 0.02
	// ownerDemandWindow is the time over which the demand for an owner is averaged.
	ownerDemandWindow = 400 * time.Millisecond
	// maxReportAge is the age from which a report no longer shows the room at an owner: it is
	// several times the interval, and several runs have ended.
	maxReportAge = time.Second
)

// observeReportInterval updates the mean time between reports.
func (s *Service) observeReportInterval(now time.Time) {
	if s.reportInterval == 0 {
		s.reportInterval = defaultReportInterval
	}
	if s.reportedAt.IsZero() {
		return
	}
	interval := min(max(now.Sub(s.reportedAt), minReportInterval), maxReportInterval)
	s.reportInterval += time.Duration(reportIntervalWeight * float64(interval-s.reportInterval))
}

// OwnerDemand returns this gateway's demand for each contended owner that is shared by many gateways, in
// requests a second; fewer gateways need no demand to share it. A request that waits counts once per
// report, because it asks for a slot again. OwnerDemand must be called once per report, after
// LimitedDemand.
func (s *Service) OwnerDemand(now time.Time) map[string]float64 {
	var out map[string]float64
	for _, u := range s.inUse {
		u.measureArrivals(now)
		demand := s.demandFor(u)
		if !u.contended(now) || !u.sharedByMany() || demand <= 0 {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[u.ID] = demand
	}
	return out
}

// measureArrivals updates the rate of the requests that have arrived for the upstream. The window is
// short because the keys that are in demand move to other owners within a second; the sum over all
// gateways has enough requests for that.
func (u *Upstream) measureArrivals(now time.Time) {
	if span := now.Sub(u.arrivalsAt); span > 0 && !u.arrivalsAt.IsZero() {
		weight := min(span.Seconds()/ownerDemandWindow.Seconds(), 1)
		u.arrivalRate += weight * (float64(u.arrivals)/span.Seconds() - u.arrivalRate)
	}
	u.arrivals, u.arrivalsAt = 0, now
}

// demandFor returns this gateway's demand for an owner, in requests a second.
func (s *Service) demandFor(u *Upstream) float64 {
	interval := max(s.reportInterval, minReportInterval)
	return u.arrivalRate + float64(u.queue.size)/interval.Seconds()
}

// sharedByMany reports whether an even share of the upstream is less than minOwnSlots slots. A dozen
// gateways each see enough of an owner's requests to account for their shares exactly.
func (u *Upstream) sharedByMany() bool {
	return u.gateways >= hotKeyLimitMinGateways && float64(u.Slots) < minOwnSlots*float64(u.gateways)
}

// contended reports whether the upstream has lately had as many requests as slots.
func (u *Upstream) contended(now time.Time) bool {
	return !u.contendedAt.IsZero() && now.Sub(u.contendedAt) < contentionTTL
}

// totalAtOwner estimates the requests of all gateways at an owner. For an owner shared by many gateways
// it differs from totalInFlight: it takes the last report as it is while that is fresh. That the
// others have as many requests as this gateway is a good assumption for a pool, whose upstreams a gateway
// uses evenly, but not for the owners of keys: one request at an idle owner would count as dozens with
// hundreds of gateways.
func (u *Upstream) totalAtOwner(now time.Time) float64 {
	if !u.sharedByMany() || u.othersInFlightAt.IsZero() || now.Sub(u.othersInFlightAt) > maxReportAge {
		return u.totalInFlight(now)
	}
	return u.activeInFlight() + u.othersEstimate(now, u.othersInFlight)
}

// sharedByOdds reports whether odds bound what all gateways send to the owner, so that a hot key needs no
// limit of its own. That limit is computed from the demand for a key and an estimate of what its owner
// can run, and would leave slots free.
func (u *Upstream) sharedByOdds(now time.Time) bool {
	return u.share.byOdds && now.Sub(u.othersInFlightAt) <= maxReportAge
}

// inFlightDuring returns the number of requests that a request just answered probably found, given the
// estimate when it was sent. At a contended owner that estimate is often two reports old and too low,
// and the work time computed with it too high. The report that has arrived since shows the requests of
// that time.
func (u *Upstream) inFlightDuring(now time.Time, sent float64) float64 {
	if !u.sharedByMany() || !u.contended(now) {
		return sent
	}
	return max(sent, u.totalAtOwner(now)-1)
}

// ownerTarget returns the number of requests that all gateways together aim to have at a contended
// owner: as many as it answers within most of the objective. Fewer leave slots idle, because between
// two reports the number varies by about as much as the owner runs at once.
func (s *Service) ownerTarget(now time.Time, u *Upstream) float64 {
	perSlot := targetLoad
	if s.ownerObjective > 0 {
		work := max(u.currentWorkTime(now, s.typicalWorkTime), minWorkTime)
		perSlot = min(max(targetDelay*float64(s.ownerObjective)/float64(work)-1, minTargetLoad), maxTargetLoad)
	}
	return perSlot * float64(u.Slots)
}

// observeObjective updates the mean objective of the requests for owners.
func (s *Service) observeObjective(objective time.Duration) {
	if s.ownerObjective == 0 {
		s.ownerObjective = objective
	}
	s.ownerObjective += time.Duration(objectiveWeight * float64(objective-s.ownerObjective))
}

// applyShare gives an upstream its share of the room, from the requests in flight that the last report
// shows and the demand of all gateways.
func (s *Service) applyShare(now time.Time, u *Upstream, report ClusterReport) {
	inFlight := u.totalInFlight(now)
	if inFlight >= float64(u.Slots) {
		u.contendedAt = now
	}
	r := shareReport{
		rate: u.throughput(now, s.typicalWorkTime), fraction: s.demandFraction, inFlight: inFlight, slots: u.Slots, target: s.ownerTarget(now, u),
		interval: s.reportInterval, waiting: u.queue.size,
	}
	if others, known := report.OwnerDemands[u.ID]; known && u.contended(now) && u.sharedByMany() {
		own := s.demandFor(u)
		r.demand = own + max(others, 0)
		share := (own + ownerDemandFloor) / (r.demand + ownerDemandFloor*float64(s.gateways))
		r.phase = s.rng.Float64()
		r.fraction = max(share, minRelativeFraction/float64(s.gateways))
	}
	u.share.applyReport(now, r)
}

// recordArrival records that a request for an owner has arrived at this gateway.
func (s *Service) recordArrival(u *Upstream, objective time.Duration) {
	s.observeObjective(objective)
	u.demandMeter.Add()
	u.arrivals++
	u.share.arrive(s.rng)
}
