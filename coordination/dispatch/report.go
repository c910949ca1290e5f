package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// Load is the state of one upstream as this gateway reports it to the others.
type Load struct {
	Instance string
	// Incarnation identifies the start of the upstream process that the report describes.
	Incarnation instances.Incarnation
	// Inflight is the mean number of requests from this gateway since the last call of Loads.
	Inflight float64
	// Runs are the runs that this gateway has observed since the last call.
	Runs worktime.Sum
	// Silent is the time since the last response if the upstream is unreachable or silent, else
	// zero. Refused is set if it refused connections.
	Silent  time.Duration
	Refused bool
	// Rejected is the time since the upstream last had no room for a request, or zero if that was longer
	// ago than MaxRejectionAge.
	Rejected time.Duration
	// Leaving is set if the upstream has announced its shutdown to this gateway. Rest is how long
	// it still wants no requests from this gateway.
	Leaving bool
	Rest    time.Duration
}

// Loads returns the upstreams that are worth reporting: those with requests from this gateway, with
// problems or with notices. It starts a new reporting period.
func (s *Service) Loads(now time.Time) []Load {
	var out []Load
	for _, u := range s.inUse {
		u.integrateInFlight(now)
		span := now.Sub(u.lastReportAt).Seconds()
		mean := u.activeInFlight()
		if span > 0 {
			mean = u.inFlightSeconds / span
		}
		u.inFlightSeconds, u.lastReportAt = 0, now
		l := Load{Instance: u.ID, Incarnation: u.Incarnation(), Inflight: mean, Runs: u.unreportedRuns, Refused: u.connectionRefused}
		u.unreportedRuns = worktime.Sum{}
		if u.backoff > 0 || u.silent(now, s.typicalWorkTime) {
			l.Silent = max(now.Sub(u.lastAnswerAt), time.Millisecond)
		}
		l.Rejected = u.rejections.ownAge(now)
		l.Leaving, l.Rest = u.notices.Leaving(), u.notices.RestRemaining(now)
		if mean > 0 || l.Silent > 0 || l.Rejected > 0 || l.Runs.Runs > 0 || l.Leaving || l.Rest > 0 {
			out = append(out, l)
		}
	}
	return out
}

// RouteWork returns what is known about the work of the service's routes, by name.
func (s *Service) RouteWork() map[string]worktime.RouteWork { return s.routes.All() }

// RouteFactor returns the work of a route's runs as a factor of the service's mean.
func (s *Service) RouteFactor(route string) float64 { return s.routes.Factor(route) }

// Explanation holds the inputs of a decision, summed over the upstreams in question.
type Explanation struct {
	// Upstreams is the number of known upstreams, Usable how many of them may get requests.
	Upstreams int
	Usable    int
	// Waiting is the number of requests that wait at this gateway.
	Waiting int
	// ShedLate and ShedExcess are the numbers of waiting requests refused so far because they could no
	// longer be in time or had waited long enough, and because too much work waited.
	ShedLate, ShedExcess int
	// OwnInflight is the number of this gateway's requests in flight, and HungInflight how many
	// of those the upstreams seem to have lost. OthersInflight is the number that the other
	// gateways reported, and ReportAge the age of that report.
	OwnInflight    int
	HungInflight   int
	OthersInflight float64
	ReportAge      time.Duration
	// Slots is how many requests can run at once, RunTime the estimated time of one run.
	Slots   int
	RunTime time.Duration
	// Part is this gateway's fraction of the demand. SavedShare is how many requests it may
	// still send out of its share of the owner's room.
	Part       float64
	SavedShare float64
	// ContendedOwners is the number of contended owners, OwnersByOdds how many of them get requests
	// by odds. Odds is the probability with which a request to the owner is admitted in a report
	// interval, zero if it is not by odds. OwnerDemand is the demand for the owner on all gateways, in
	// requests a second, zero if unknown.
	ContendedOwners, OwnersByOdds int
	Odds, OwnerDemand             float64
	// ColdFactor is how many times as long as usual requests for cold keys run.
	ColdFactor float64
	// LimitedUpstreams is the number of upstreams with a rate limit. Limit is the owner's limit,
	// and TotalDemand the demand for the owner on all gateways, both in requests a second.
	LimitedUpstreams int
	Limit            float64
	TotalDemand      float64
	// PoolLoad is the number of requests in an uneven pool as a fraction of those in a full one, and
	// PoolCredit how many this gateway may send out of its share; both are zero for an owner and in an even
	// pool. Rejecting is the number of upstreams that lately had no room for a request.
	PoolLoad, PoolCredit float64
	Rejecting            int
}

// Explain returns the inputs of a decision for a request to the owner, or to any upstream if owner
// is empty.
func (s *Service) Explain(now time.Time, owner string) Explanation {
	e := Explanation{Waiting: s.waiting, ShedLate: s.shedLate, ShedExcess: s.shedExcess, RunTime: s.typicalWorkTime, Part: s.demandFraction, ColdFactor: s.cold.factor}
	if owner == "" && s.pool.applies(now) {
		e.PoolLoad, e.PoolCredit = s.pool.load(), s.pool.share.credit
	}
	for _, l := range s.ordered {
		if owner != "" && l.ID != owner {
			continue
		}
		e.Upstreams++
		if s.listingUsable(now, l) {
			e.Usable++
		}
		u := l.state
		if u == nil {
			e.Slots += l.Slots
			continue
		}
		if u.rejections.recent(now) {
			e.Rejecting++
		}
		e.OwnInflight += u.ownInFlight
		e.HungInflight += u.hung
		e.OthersInflight += u.othersInFlight
		e.Slots += u.Slots
		if !u.othersInFlightAt.IsZero() {
			e.ReportAge = max(e.ReportAge, now.Sub(u.othersInFlightAt))
		}
		if u.limit != nil {
			e.LimitedUpstreams++
		}
		if owner != "" && u.limit != nil {
			e.Limit, e.TotalDemand = u.limit.PerSecond, u.totalDemand(now)
		}
		if u.contended(now) {
			e.ContendedOwners++
		}
		if u.share.byOdds {
			e.OwnersByOdds++
		}
		if owner != "" && u.share.byOdds {
			e.Odds = u.share.odds
		}
		if others, known := s.lastReport.OwnerDemands[owner]; owner != "" && known {
			e.OwnerDemand = others + s.demandFor(u)
		}
		if owner != "" {
			e.RunTime = u.currentWorkTime(now, s.typicalWorkTime)
			e.SavedShare = u.share.credit
		}
	}
	return e
}
