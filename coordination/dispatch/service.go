package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// drainShare is the part of the time allowed that an owner which is leaving
	// gets requests for keys that have not moved yet; the rest is for the news of
	// its leaving to arrive.
	drainTimeShare = 0.6
	// firstWorkPart is the part of a route's objective that a run is assumed to
	// take before any answer was seen.
	initialWorkTimeDivisor = 3
	// demandTime is how long requests count in the rate of requests.
	demandWindow = time.Second
	// demandKnown is how long after its first report a gateway compares demands: right
	// after a start of all only some have reported theirs.
	minDemandSpan = time.Second
	// leastPart is the least part of this gateway, in parts of an equal one: clients move
	// to a gateway that has started faster than its demand is known.
	minRelativeFraction = 0.5
	// demandFloor is added to every gateway's rate of requests, in requests a second, so
	// that one that had none lately has a part of the room.
	demandFloor = 0.5
	// coldShare is the part of an owner's slots up to which requests for cold keys get
	// through: the other half stays for the owner's other keys.
	maxColdUtilization = 0.5
	// limitsFrom is the number of gateways from which the limits of hot keys hold. A dozen
	// each see enough of a hot key to share its owner's room exactly, and a limit that follows
	// estimates refuses what could be run; hundreds see a fraction of a request between two
	// reports.
	hotKeyLimitMinGateways = 24
	// limitTime is how long the limit of a hot key holds when no news come: without a
	// leader nobody sees that the key is not hot any more.
	hotKeyLimitTTL = 2 * time.Second
	// firstColdFactor is how many times as long a request for a cold key is assumed to
	// run before any was answered.
	initialColdFactor = 3
)

// Service decides for the upstreams of one service. It is not safe for
// concurrent use.
type Service struct {
	// Off are the mechanisms that are switched off.
	Disabled Mechanisms
	domain   string
	// drain is how long after it was seen to be leaving an owner may get
	// requests.
	drainTime time.Duration
	rng       *rand.Rand
	upstreams map[string]*Upstream
	ordered   []*Upstream
	// unlisted is what upstreams have said that are not among them any more.
	unlisted notice.Book
	// ranked are the same in this gateway's order of preference.
	ranked ranking
	// queue holds the requests that wait for any upstream; those for an owner wait
	// there.
	queue   queue
	waiting int
	// typical is the mean work time over all upstreams.
	typicalWorkTime time.Duration
	// gateways is the number of all gateways; zero before any report.
	gateways int
	// part is this gateway's part of all requests for the service.
	demandFraction float64
	// asked counts requests since demandAt, demand is their rate a second.
	offered          int
	demand           float64
	demandMeasuredAt time.Time
	demandSpan       time.Duration
	// coldFactor is how many times as long requests for cold keys run.
	coldFactor float64
	// admit is the part of the requests that can be run, of hot keys, as told at admitAt.
	hotKeyAdmission   map[uint16]float64
	hotKeyAdmissionAt time.Time
	// rate is what all usable upstreams end in a second, as of the last tick.
	totalThroughput float64
	// evacuated reports whether a failure domain is evacuated.
	isEvacuated func(domain string) bool
	// warmUp bounds requests to upstreams that warm up. entrusted are those to which this
	// gateway may send.
	warmUp           WarmUp
	warmingWithRight []*Upstream
}

// NewService returns a service without upstreams, seen from a failure domain.
// drain is the time within which upstreams that are leaving must get no more
// requests.
func NewService(domain string, drain time.Duration, rng *rand.Rand) *Service {
	return &Service{
		domain: domain, drainTime: time.Duration(drainTimeShare * float64(drain)), rng: rng,
		isEvacuated: func(string) bool { return false },
		ranked:      ranking{salt: rng.Uint64()}, upstreams: make(map[string]*Upstream), demandFraction: 1.0 / assumedGateways, coldFactor: initialColdFactor,
	}
}

// SetUpstreams takes over which upstreams there are. What is known of those
// that stay is kept; what waits for one that is gone is refused.
func (s *Service) SetUpstreams(now time.Time, list []*instances.Instance) {
	known := make(map[string]*Upstream, len(list))
	s.ordered = s.ordered[:0]
	for _, instance := range list {
		u := s.upstreams[instance.ID]
		if u == nil || u.Incarnation().Other(instance.Incarnation()) {
			u = s.newUpstreamState(now, *instance, u)
		}
		s.updateEntry(now, u, *instance)
		u.disabled = s.Disabled
		s.noteLeaving(now, u)
		s.noteEvacuated(now, u)
		known[instance.ID] = u
		s.ordered = append(s.ordered, u)
		delete(s.upstreams, instance.ID)
	}
	for _, removed := range s.upstreams {
		s.refuseAll(removed, NoUpstream)
		s.unlisted.Keep(now, removed.ID, removed.Incarnation(), removed.notices)
	}
	s.upstreams = known
	s.warmingWithRight = slices.DeleteFunc(s.warmingWithRight, func(u *Upstream) bool { return known[u.ID] != u })
	s.ranked.set(s.ordered, s.domain)
	s.measure(now)
	s.pumpAll(now)
}

// begin returns an upstream of which nothing is known. former is the one that had its ID
// before, or nil: what was learned of that, and its requests in flight, are not the new
// one's, but requests that wait for the owner of their keys wait on.
func (s *Service) newUpstreamState(now time.Time, instance instances.Instance, former *Upstream) *Upstream {
	u := newUpstream(instance, now)
	if s.gateways > 0 {
		u.gateways = s.gateways
		u.share.fraction = s.demandFraction
	}
	if former != nil {
		u.queue = former.queue
	}
	u.notices = s.unlisted.Take(instance.ID, instance.Incarnation())
	if s.isEvacuated(instance.Domain) {
		// Since when it is evacuated is not known of one that is listed only now.
		u.evacuatedSince = now.Add(-2 * evacuationDrain)
	}
	s.scheduleFirstSend(now, u)
	return u
}

// ReportAll takes over what the other gateways reported.
func (s *Service) ApplyReport(now time.Time, report ClusterReport) {
	s.gateways = max(report.Gateways, 1)
	s.demandFraction = s.partOf(report)
	s.hotKeyAdmission, s.hotKeyAdmissionAt = report.HotKeyAdmission, now
	s.applyRights(report.Rights)
	s.SetLimits(now, report.Limits)
	for _, u := range s.ordered {
		u.gateways = s.gateways
		u.othersInFlight = report.InFlight[u.ID]
		if workTime := report.WorkTimes[u.ID]; workTime.Work > 0 {
			u.clusterWorkTime, u.clusterSlowness = workTime.Work, workTime.Slowness
		}
		u.othersInFlightAt = now
		u.share.applyReport(now, u.throughput(now, s.typicalWorkTime), s.demandFraction, u.totalInFlight(now), u.Slots)
	}
	s.measure(now)
	s.pumpAll(now)
}

// Offer asks for an upstream. Without a grant or a refusal the request waits
// for its verdict.
func (s *Service) Offer(now time.Time, req *Request) (Grant, Refusal, bool) {
	s.offered++
	if s.typicalWorkTime == 0 {
		s.typicalWorkTime = req.Objective / initialWorkTimeDivisor
	}
	if req.Owner != "" && !req.Retry && s.rejectsHotKey(now, req.Key) {
		return Grant{}, HotKey, true
	}
	if req.Cold && !s.Disabled.NoCold {
		return s.offerCold(now, req)
	}
	q, u := &s.queue, (*Upstream)(nil)
	if req.Owner != "" {
		if u = s.upstreams[req.Owner]; u == nil {
			return Grant{}, NoUpstream, true
		}
		u.wanted.Add()
		if !s.admits(now, req, u) {
			return Grant{}, Limited, true
		}
		q = &u.queue
	}
	if q.ahead(req.Priority) == 0 {
		if g, ok := s.tryGrant(now, req); ok {
			return g, 0, true
		}
	}
	if r := s.hopeless(now, req, u, q.ahead(req.Priority)); r != 0 {
		return Grant{}, r, true
	}
	q.add(req)
	s.waiting++
	return Grant{}, 0, false
}

// tooHot decides at random which requests for a hot key are refused: of 300 gateways each
// sees two or three of its requests a second, and together they let through about what its
// owner can run. Without it all of them filled the owner each time that a report showed room,
// and it broke what it could not queue.
func (s *Service) rejectsHotKey(now time.Time, key uint16) bool {
	admission, hot := s.hotKeyAdmission[key]
	if !hot || s.Disabled.NoLimits || s.gateways < hotKeyLimitMinGateways || now.Sub(s.hotKeyAdmissionAt) > hotKeyLimitTTL {
		return false
	}
	return s.rng.Float64() >= admission
}

// offerCold lets a request for a cold key through only while its owner is half idle: in
// the time of its run the owner answers several others on time, and it is late in any
// case. It does not wait.
func (s *Service) offerCold(now time.Time, req *Request) (Grant, Refusal, bool) {
	u := s.upstreams[req.Owner]
	switch {
	case u == nil:
		return Grant{}, NoUpstream, true
	case s.closedOwner(now, u) != 0:
		return Grant{}, s.closedOwner(now, u), true
	case !s.ownerResponsive(now, u):
		return Grant{}, OwnerUnresponsive, true
	case !s.warmUpAllows(now, u):
		return Grant{}, WarmingUp, true
	case u.totalInFlight(now)+1 > maxColdUtilization*float64(u.Slots):
		return Grant{}, ColdKey, true
	}
	u.wanted.Add()
	if !s.admits(now, req, u) {
		return Grant{}, Limited, true
	}
	g := s.issueGrant(now, u)
	g.Cold = true
	g.ExpectedLatency = time.Duration(s.coldFactor * float64(g.ExpectedLatency))
	return g, 0, true
}

// grant gives the request to the best upstream that has room.
func (s *Service) tryGrant(now time.Time, req *Request) (Grant, bool) {
	var best *Upstream
	if req.Owner != "" {
		best = s.availableOwner(now, req)
	} else {
		best = s.best(now, req)
	}
	if best == nil {
		return Grant{}, false
	}
	return s.issueGrant(now, best), true
}

// send gives the right to send one request to the upstream.
func (s *Service) issueGrant(now time.Time, u *Upstream) Grant {
	inFlight := u.totalInFlight(now)
	g := Grant{
		Instance: u.Instance, GrantedAt: now, InFlight: inFlight, ExpectedLatency: u.expectedDelayBehind(now, inFlight, s.typicalWorkTime),
		Warming: s.warmUpLimited(now, u),
	}
	u.recordSend(now, s.typicalWorkTime)
	s.recordWarmUpSend(now, u)
	return g
}

func (s *Service) availableOwner(now time.Time, req *Request) *Upstream {
	u := s.upstreams[req.Owner]
	if u == nil || !s.ownerResponsive(now, u) || !s.warmUpAllows(now, u) || !u.hasCapacity(now, s.typicalWorkTime, req.Objective, true) {
		return nil
	}
	return u
}

// answers reports whether an owner takes requests: it is not about to end, was
// reached lately and has not fallen silent.
func (s *Service) ownerResponsive(now time.Time, u *Upstream) bool {
	return s.closedOwner(now, u) == 0 && u.responsive(now, s.typicalWorkTime)
}

// usable reports whether the upstream may get a request that any may run.
func (s *Service) usable(now time.Time, u *Upstream) bool {
	return s.closed(now, u) == 0 && u.usable(now, s.typicalWorkTime) && s.warmUpAllows(now, u)
}

func isExcluded(req *Request, id string) bool {
	for _, other := range req.Exclude {
		if other == id {
			return true
		}
	}
	return false
}

// Done ends a try and lets waiting requests through.
func (s *Service) Done(now time.Time, g Grant, o Outcome) {
	u := s.granted(g)
	if u == nil {
		return
	}
	if g.Cold && o == Answered {
		s.updateColdFactor(now.Sub(g.GrantedAt), u.currentWorkTime(now, s.typicalWorkTime))
	}
	u.recordOutcome(now, g, o, s.typicalWorkTime)
	if o == Answered && u.ownWorkTime > 0 && !g.Cold && !g.Warming {
		s.typicalWorkTime += time.Duration(workTimeWeight / 4 * (u.meanSlowness()*float64(u.ownWorkTime) - float64(s.typicalWorkTime)))
	}
	s.pump(now, &u.queue)
	s.pump(now, &s.queue)
}

// learnCold learns how much longer requests for cold keys run.
func (s *Service) updateColdFactor(took, work time.Duration) {
	sample := max(1, took.Seconds()/max(work, minWorkTime).Seconds())
	s.coldFactor += workTimeWeight * (sample - s.coldFactor)
}
