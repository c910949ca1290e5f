package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/callers"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/coordination/retryafter"
	"github.com/rockcroft/rockcroft/coordination/worktime"
)

const (
	// drainTimeShare is the fraction of the allowed drain time in which a leaving owner still gets
	// requests for keys that have not moved yet. It counts from the earliest time at which the upstream
	// may have said so; the rest is for delays within which a source counts as current.
	drainTimeShare = 0.6
	// initialWorkTimeDivisor sets the work time assumed before the first response: the route's
	// objective divided by this.
	initialWorkTimeDivisor = 3
	// demandWindow is the time over which the request rate is averaged.
	demandWindow = time.Second
	// minDemandSpan is how long a gateway measures its demand before it compares it with that of
	// the others: right after a simultaneous start only some gateways have reported theirs.
	minDemandSpan = time.Second
	// minRelativeFraction is the minimum capacity fraction of this gateway, relative to an equal
	// split. Clients move to a newly started gateway faster than its demand becomes known.
	minRelativeFraction = 0.5
	// demandFloor is added to each gateway's demand, in requests per second, so that a gateway
	// without recent requests still has a fraction of the capacity.
	demandFloor = 0.5
)

// Service makes the dispatch decisions for the upstreams of one service. It is not safe for
// concurrent use.
type Service struct {
	// Disabled holds the mechanisms that are switched off.
	Disabled Mechanisms
	domain   string
	// regions are the regions of the failure domains.
	regions map[string]string
	// drainTime is how long an owner still gets requests after it began to leave. changedSince is since
	// when the changes of the last list may have been made.
	drainTime    time.Duration
	changedSince time.Time
	rng          *rand.Rand
	// listed holds all upstreams of the service, by ID; ordered holds them as they were listed.
	// generation counts the lists.
	listed     map[string]*listing
	ordered    []*listing
	generation uint64
	// inUse are the states that exist.
	inUse []*Upstream
	// unlisted keeps the notices of upstreams that are no longer listed.
	unlisted notice.Store
	// ranked holds the upstreams in this gateway's order of preference.
	ranked ranking
	// queue holds the requests that may go to any upstream. Requests for an owner wait in that
	// upstream's queue.
	queue   queue
	waiting int
	// room is divided among the callers of requests that any upstream can serve. overShare counts the
	// requests refused because of their callers' shares.
	room      callers.Room
	overShare uint64
	// retryTimes are the times to come back for refused requests that any upstream can serve.
	// ownerPlaced and ownerUnplaced count the callers with and without a place at an owner.
	retryTimes                 retryafter.Schedule
	ownerPlaced, ownerUnplaced uint64
	// shedLate counts the waiting requests refused because they could no longer be in time or had waited
	// long enough, shedExcess those refused because too much work waited.
	shedLate, shedExcess int
	// kinds decides which importance goes first and how far it may fill upstreams.
	kinds kinds
	// typicalWorkTime is the mean time of a run of mean work, over all upstreams; routes holds how the
	// routes of the service differ from that.
	typicalWorkTime time.Duration
	routes          *worktime.Routes
	// gateways is the number of all gateways; zero before the first report.
	gateways int
	// demandFraction is this gateway's fraction of the service's demand.
	demandFraction float64
	// offered counts the requests since demandMeasuredAt, offeredWork sums up their work as factors of
	// the mean, and demand is the rate of both. meanWork is the time of a run of mean work, computed at
	// meanWorkAt.
	offered          int
	offeredWork      float64
	demand           Demand
	meanWork         time.Duration
	meanWorkAt       time.Time
	demandMeasuredAt time.Time
	demandSpan       time.Duration
	// cold is what runs for keys marked cold have shown. The others count requests for them.
	cold                                  coldRuns
	coldGranted, coldRefused, coldAsUsual uint64
	// hotKeyAdmission maps each hot key to the fraction of its requests that can be run, as
	// reported at hotKeyAdmissionAt.
	hotKeyAdmission   map[uint16]float64
	hotKeyAdmissionAt time.Time
	// totalThroughput is the rate that all usable upstreams together could run at rateAt, in
	// requests per second. A zero rateAt means that it must be measured again.
	totalThroughput float64
	rateAt          time.Time
	// lastReport is what the other gateways reported at reportedAt; limits are those in force.
	lastReport ClusterReport
	reportedAt time.Time
	limits     map[string]Limit
	// ownerObjective is the mean objective of the requests for owners.
	ownerObjective time.Duration
	// reportInterval is the mean time between reports.
	reportInterval time.Duration
	// isEvacuated reports whether a failure domain is evacuated.
	isEvacuated func(domain string) bool
	// evacuationEndedAt is when the evacuation of a failure domain ended last.
	evacuationEndedAt map[string]time.Time
	// warmUp limits the requests to upstreams that are warming up. warmingWithRight are the
	// upstreams to which this gateway has the right to send meanwhile.
	warmUp           WarmUp
	warmingWithRight []*Upstream
	// pool is the room of all upstreams together.
	pool poolRoom
}

// NewService returns a service without upstreams, for a gateway in the given failure domain. drain
// is the time after which leaving upstreams must get no more requests.
func NewService(domain string, drain time.Duration, rng *rand.Rand) *Service {
	return &Service{
		domain: domain, drainTime: time.Duration(drainTimeShare * float64(drain)), rng: rng,
		isEvacuated:       func(string) bool { return false },
		ranked:            ranking{salt: rng.Uint64()},
		pool:              poolRoom{share: fairShare{fraction: 1.0 / assumedGateways, credit: burst}},
		listed:            make(map[string]*listing),
		evacuationEndedAt: make(map[string]time.Time),
		demandFraction:    1.0 / assumedGateways,
		cold:              newColdRuns(),
		routes:            worktime.NewRoutes(),
	}
}

// ApplyReport applies what the other gateways reported.
func (s *Service) ApplyReport(now time.Time, report ClusterReport) {
	s.gateways = max(report.Gateways, 1)
	s.demandFraction = s.computeDemandFraction(report)
	s.hotKeyAdmission, s.hotKeyAdmissionAt = report.HotKeyAdmission, now
	s.observeReportInterval(now)
	s.lastReport, s.reportedAt = report, now
	s.dropIdleStates(now)
	s.applyRights(now, report.Rights)
	s.SetLimits(now, report.Limits)
	for _, u := range s.inUse {
		u.gateways = s.gateways
		u.applyReport(now, report)
		s.applyShare(now, u, report)
	}
	if len(report.Rejected) > 0 {
		s.learnRejections(now, report.Rejected)
	}
	s.updatePool(now)
	s.rateAt = time.Time{}
	s.grantWaiting(now)
}

// applyReport applies what the other gateways reported about the upstream at the given time.
func (u *Upstream) applyReport(at time.Time, report ClusterReport) {
	u.othersInFlight, u.othersInFlightAt = report.InFlight[u.ID], at
	if age, ok := report.Rejected[u.ID]; ok && age >= 0 && age <= MaxRejectionAge {
		u.rejections.record(at, at.Add(-age))
	}
	if workTime := report.WorkTimes[u.ID]; workTime.Work > 0 {
		u.clusterWorkTime, u.clusterSlowness = workTime.Work, workTime.Slowness
	}
}

// Offer asks for an upstream. The last result is true if the request was granted or refused at
// once. Otherwise it waits, and the decision goes to OnDecision.
func (s *Service) Offer(now time.Time, req *Request) (Decision, bool) {
	d, decided := s.decide(now, req)
	if decided && !d.Granted() && now.Before(req.QueueUntil) {
		// A hedge may not wait, and its refusal is not returned to the caller.
		d.RetryAfter = s.retryAfter(now, req, d.Refusal)
	}
	return d, decided
}

// decide is Offer without the time to come back.
func (s *Service) decide(now time.Time, req *Request) (Decision, bool) {
	s.offered++
	if !s.Disabled.NoRoutes {
		req.route = s.routes.Get(req.Route)
	}
	s.offeredWork += req.route.Factor()
	if s.typicalWorkTime == 0 {
		s.typicalWorkTime = req.Objective / initialWorkTimeDivisor
	}
	if !s.Disabled.NoKinds {
		s.kinds.offer(now, req)
	}
	s.recordCaller(now, req)
	if s.rejectsHotKey(now, req) {
		return refused(HotKey), true
	}
	if s.exceedsCallerShare(now, req) {
		return refused(CallerShare), true
	}
	if s.treatsAsCold(req) {
		return s.offerCold(now, req), true
	}
	if req.Cold {
		s.coldAsUsual++
	}
	return s.grantOrWait(now, req)
}

// grantOrWait grants the request if there is capacity and nothing waits ahead of it. Otherwise the
// request waits, unless it would wait in vain.
func (s *Service) grantOrWait(now time.Time, req *Request) (Decision, bool) {
	q, u := &s.queue, (*Upstream)(nil)
	if req.Owner != "" {
		if u = s.upstream(now, req.Owner); u == nil {
			return refused(NoUpstream), true
		}
		s.recordArrival(u, req.Objective)
		if !s.withinLimit(now, req, u) {
			return refused(Limited), true
		}
		q = &u.queue
	} else {
		s.pool.offered = true
	}
	req.startBy = s.startBy(now, req)
	ahead, found := q.ahead(&s.kinds, req)
	if !found {
		if g, ok := s.tryGrant(now, req); ok {
			return Decision{Grant: g}, true
		}
	}
	if r := s.waitRefusal(now, req, u, ahead); r != 0 {
		return refused(r), true
	}
	q.add(req)
	s.waiting++
	return Decision{}, false
}

// tryGrant grants the request the best upstream that has capacity.
func (s *Service) tryGrant(now time.Time, req *Request) (Grant, bool) {
	var best *Upstream
	bound := s.kinds.maxDelay(req)
	if req.Owner != "" {
		req.maxDelay = bound
		best = s.availableOwner(now, req)
	} else {
		req.maxDelay = ownMaxDelay(req)
		best = s.chooseUpstream(now, req)
		// The bound must not decide where the request goes: if gateways looked on for an upstream within
		// it, all of them would send to the few that seem free, and fill those.
		if best != nil && bound < req.maxDelay && !best.answersWithin(now, s.typicalWorkTime, req, best.totalInFlight(now), bound) {
			best = nil
		}
	}
	if best == nil {
		return Grant{}, false
	}
	s.recordCallerGrant(now, req)
	g := s.issueGrant(now, best, req)
	if req.Cold {
		g.Fence = req.Fence
	}
	return g, true
}

// issueGrant records one more request to the upstream and returns its grant.
func (s *Service) issueGrant(now time.Time, u *Upstream, req *Request) Grant {
	inFlight := u.totalInFlight(now)
	g := Grant{
		Instance: u.Instance, GrantedAt: now, InFlight: inFlight, ExpectedLatency: u.expectedDelayBehind(now, inFlight, s.typicalWorkTime, req.route.Factor()),
		Warming: s.warmUpLimited(now, u), route: req.route,
	}
	req.route.Send()
	s.kinds.grant(req)
	u.recordSend(now, inFlight, s.typicalWorkTime, req.route.Factor())
	s.pool.share.take(now, s.pool.rate)
	s.recordWarmUpSend(now, u)
	return g
}

func (s *Service) availableOwner(now time.Time, req *Request) *Upstream {
	u := s.upstream(now, req.Owner)
	if u == nil || !s.ownerResponsive(now, u) || !s.warmUpAllows(now, u) || !u.hasCapacity(now, s.typicalWorkTime, req, true) {
		return nil
	}
	return u
}

// ownerResponsive reports whether an owner takes requests: nothing excludes it, it was reached
// lately, and it is not silent.
func (s *Service) ownerResponsive(now time.Time, u *Upstream) bool {
	return s.ownerBlockedReason(now, u) == 0 && !u.awaitsProbe() && u.responsive(now, s.typicalWorkTime)
}

// usable reports whether the upstream may get a request that any upstream may run.
func (s *Service) usable(now time.Time, u *Upstream) bool {
	return s.blockedReason(now, u) == 0 && u.usable(now, s.typicalWorkTime) && s.warmUpAllows(now, u)
}

// eligible reports whether the upstream may get a request that any upstream may run, apart from room.
func (s *Service) eligible(now time.Time, u *Upstream, req *Request) bool {
	heldByLimit := u.limit != nil && req.heldByLimit
	return !heldByLimit && !slices.Contains(req.Exclude, u.ID) && s.usable(now, u)
}

// Done ends a try and admits waiting requests.
func (s *Service) Done(now time.Time, g Grant, o Outcome) {
	u := s.grantedUpstream(now, g)
	if u == nil {
		return
	}
	if (g.Cold || g.Fence > 0) && o == Answered {
		s.recordColdRun(now, g, u)
	}
	u.recordOutcome(now, g, o, s.typicalWorkTime)
	s.pool.recordOutcome(now, o, u.rejections.ownAt.Equal(now))
	if o == Answered && u.ownWorkTime > 0 && !g.Cold && !g.Warming {
		s.typicalWorkTime += time.Duration(workTimeWeight / 4 * (u.meanSlowness()*float64(u.ownWorkTime) - float64(s.typicalWorkTime)))
	}
	s.grantFromQueue(now, &u.queue)
	s.grantFromQueue(now, &s.queue)
}

// startBy returns the latest time at which the request can be sent and is likely to be answered in time:
// within its objective or, if it is late in any case, before its deadline.
func (s *Service) startBy(now time.Time, req *Request) time.Time {
	if s.Disabled.NoLikelihood {
		return req.Deadline
	}
	work := time.Duration(req.route.Factor() * float64(s.typicalWorkTime))
	if !req.LateAt.IsZero() {
		return req.LateAt.Add(-work)
	}
	// A second try may still be in time after a quick failure of the first one.
	if by := req.ReceivedAt.Add(req.Objective - work); now.Before(by) {
		return by
	}
	return req.Deadline.Add(-work)
}
