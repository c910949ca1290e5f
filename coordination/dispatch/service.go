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
	drainShare = 0.6
	// firstWorkPart is the part of a route's objective that a run is assumed to
	// take before any answer was seen.
	firstWorkPart = 3
	// demandTime is how long requests count in the rate of requests.
	demandTime = time.Second
	// demandKnown is how long after its first report a gateway compares demands: right
	// after a start of all only some have reported theirs.
	demandKnown = time.Second
	// leastPart is the least part of this gateway, in parts of an equal one: clients move
	// to a gateway that has started faster than its demand is known.
	leastPart = 0.5
	// demandFloor is added to every gateway's rate of requests, in requests a second, so
	// that one that had none lately has a part of the room.
	demandFloor = 0.5
	// coldShare is the part of an owner's slots up to which requests for cold keys get
	// through: the other half stays for the owner's other keys.
	coldShare = 0.5
	// limitsFrom is the number of gateways from which the limits of hot keys hold. A dozen
	// each see enough of a hot key to share its owner's room exactly, and a limit that follows
	// estimates refuses what could be run; hundreds see a fraction of a request between two
	// reports.
	limitsFrom = 24
	// limitTime is how long the limit of a hot key holds when no news come: without a
	// leader nobody sees that the key is not hot any more.
	limitTime = 2 * time.Second
	// firstColdFactor is how many times as long a request for a cold key is assumed to
	// run before any was answered.
	firstColdFactor = 3
)

// Service decides for the upstreams of one service. It is not safe for
// concurrent use.
type Service struct {
	// Off are the mechanisms that are switched off.
	Off    Mechanisms
	domain string
	// drain is how long after it was seen to be leaving an owner may get
	// requests.
	drain     time.Duration
	rng       *rand.Rand
	upstreams map[string]*Upstream
	order     []*Upstream
	// unlisted is what upstreams have said that are not among them any more.
	unlisted notice.Store
	// ranked are the same in this gateway's order of preference.
	ranked ranking
	// queue holds the requests that wait for any upstream; those for an owner wait
	// there.
	queue   queue
	waiting int
	// typical is the mean work time over all upstreams.
	typical time.Duration
	// gateways is the number of all gateways; zero before any report.
	gateways int
	// part is this gateway's part of all requests for the service.
	part float64
	// asked counts requests since demandAt, demand is their rate a second.
	asked      int
	demand     float64
	demandAt   time.Time
	demandSpan time.Duration
	// coldFactor is how many times as long requests for cold keys run.
	coldFactor float64
	// admit is the part of the requests that can be run, of hot keys, as told at admitAt.
	admit   map[uint16]float64
	admitAt time.Time
	// rate is what all usable upstreams end in a second, as of the last tick.
	rate float64
	// evacuated reports whether a failure domain is evacuated.
	evacuated func(domain string) bool
	// warmUp bounds requests to upstreams that warm up. entrusted are those to which this
	// gateway may send.
	warmUp    WarmUp
	entrusted []*Upstream
}

// NewService returns a service without upstreams, seen from a failure domain.
// drain is the time within which upstreams that are leaving must get no more
// requests.
func NewService(domain string, drain time.Duration, rng *rand.Rand) *Service {
	return &Service{
		domain: domain, drain: time.Duration(drainShare * float64(drain)), rng: rng,
		evacuated: func(string) bool { return false },
		ranked:    ranking{salt: rng.Uint64()}, upstreams: make(map[string]*Upstream), part: 1.0 / firstGateways, coldFactor: firstColdFactor,
	}
}

// SetUpstreams takes over which upstreams there are. What is known of those
// that stay is kept; what waits for one that is gone is refused.
func (s *Service) SetUpstreams(now time.Time, list []*instances.Instance) {
	known := make(map[string]*Upstream, len(list))
	s.order = s.order[:0]
	for _, one := range list {
		u := s.upstreams[one.ID]
		if u == nil || u.Incarnation().Other(one.Incarnation()) {
			u = s.begin(now, *one, u)
		}
		s.noteEntry(now, u, *one)
		u.off = s.Off
		s.updateLeaving(now, u)
		s.updateEvacuated(now, u)
		known[one.ID] = u
		s.order = append(s.order, u)
		delete(s.upstreams, one.ID)
	}
	for _, gone := range s.upstreams {
		s.refuseAll(gone, NoUpstream)
		s.unlisted.Save(now, gone.ID, gone.Incarnation(), gone.said)
	}
	s.upstreams = known
	s.entrusted = slices.DeleteFunc(s.entrusted, func(u *Upstream) bool { return known[u.ID] != u })
	s.ranked.update(s.order, s.domain)
	s.updateRate(now)
	s.grantWaiting(now)
}

// begin returns an upstream of which nothing is known. former is the one that had its ID
// before, or nil: what was learned of that, and its requests in flight, are not the new
// one's, but requests that wait for the owner of their keys wait on.
func (s *Service) begin(now time.Time, one instances.Instance, former *Upstream) *Upstream {
	u := newUpstream(one, now)
	if s.gateways > 0 {
		u.gateways = s.gateways
		u.share.part = s.part
	}
	if former != nil {
		u.queue = former.queue
	}
	u.said = s.unlisted.Take(one.ID, one.Incarnation())
	if s.evacuated(one.Domain) {
		// Since when it is evacuated is not known of one that is listed only now.
		u.evacuatedSince = now.Add(-2 * evacuationGrace)
	}
	s.noteWarming(now, u)
	return u
}

// ReportAll takes over what the other gateways reported.
func (s *Service) ReportAll(now time.Time, news News) {
	s.gateways = max(news.Gateways, 1)
	s.part = s.demandFraction(news)
	s.admit, s.admitAt = news.Admit, now
	s.takeRights(news.Rights)
	s.SetLimits(now, news.Limits)
	for _, u := range s.order {
		u.gateways = s.gateways
		u.others = news.InFlight[u.ID]
		if told := news.Work[u.ID]; told.Work > 0 {
			u.told, u.usual = told.Work, told.Slowness
		}
		u.othersAt = now
		u.share.report(now, u.rate(now, s.typical), s.part, u.inflight(now), u.Slots)
	}
	s.updateRate(now)
	s.grantWaiting(now)
}

// Offer asks for an upstream. Without a grant or a refusal the request waits
// for its verdict.
func (s *Service) Offer(now time.Time, w *Want) (Grant, Refusal, bool) {
	s.asked++
	if s.typical == 0 {
		s.typical = w.Objective / firstWorkPart
	}
	if w.Owner != "" && !w.Again && s.tooHot(now, w.Key) {
		return Grant{}, HotKey, true
	}
	if w.Cold && !s.Off.NoCold {
		return s.offerCold(now, w)
	}
	q, u := &s.queue, (*Upstream)(nil)
	if w.Owner != "" {
		if u = s.upstreams[w.Owner]; u == nil {
			return Grant{}, NoUpstream, true
		}
		u.wanted.Add()
		if !s.withinLimit(now, w, u) {
			return Grant{}, Limited, true
		}
		q = &u.queue
	}
	if q.ahead(w.Priority) == 0 {
		if g, ok := s.grant(now, w); ok {
			return g, 0, true
		}
	}
	if r := s.waitRefusal(now, w, u, q.ahead(w.Priority)); r != 0 {
		return Grant{}, r, true
	}
	q.add(w)
	s.waiting++
	return Grant{}, 0, false
}

// tooHot decides at random which requests for a hot key are refused: of 300 gateways each
// sees two or three of its requests a second, and together they let through about what its
// owner can run. Without it all of them filled the owner each time that a report showed room,
// and it broke what it could not queue.
func (s *Service) tooHot(now time.Time, key uint16) bool {
	admit, hot := s.admit[key]
	if !hot || s.Off.NoLimits || s.gateways < limitsFrom || now.Sub(s.admitAt) > limitTime {
		return false
	}
	return s.rng.Float64() >= admit
}

// offerCold lets a request for a cold key through only while its owner is half idle: in
// the time of its run the owner answers several others on time, and it is late in any
// case. It does not wait.
func (s *Service) offerCold(now time.Time, w *Want) (Grant, Refusal, bool) {
	u := s.upstreams[w.Owner]
	switch {
	case u == nil:
		return Grant{}, NoUpstream, true
	case s.ownerBlockedReason(now, u) != 0:
		return Grant{}, s.ownerBlockedReason(now, u), true
	case !s.answers(now, u):
		return Grant{}, OwnerSilent, true
	case !s.mayStart(now, u):
		return Grant{}, WarmingUp, true
	case u.inflight(now)+1 > coldShare*float64(u.Slots):
		return Grant{}, ColdKey, true
	}
	u.wanted.Add()
	if !s.withinLimit(now, w, u) {
		return Grant{}, Limited, true
	}
	g := s.send(now, u)
	g.Cold = true
	g.Expected = time.Duration(s.coldFactor * float64(g.Expected))
	return g, 0, true
}

// grant gives the request to the best upstream that has room.
func (s *Service) grant(now time.Time, w *Want) (Grant, bool) {
	var best *Upstream
	if w.Owner != "" {
		best = s.owner(now, w)
	} else {
		best = s.chooseUpstream(now, w)
	}
	if best == nil {
		return Grant{}, false
	}
	return s.send(now, best), true
}

// send gives the right to send one request to the upstream.
func (s *Service) send(now time.Time, u *Upstream) Grant {
	inflight := u.inflight(now)
	g := Grant{
		Instance: u.Instance, Began: now, Ahead: inflight, Expected: u.delayBehind(now, inflight, s.typical),
		Warming: s.bounded(now, u),
	}
	u.sent(now, s.typical)
	s.started(now, u)
	return g
}

func (s *Service) owner(now time.Time, w *Want) *Upstream {
	u := s.upstreams[w.Owner]
	if u == nil || !s.answers(now, u) || !s.mayStart(now, u) || !u.room(now, s.typical, w.Objective, true) {
		return nil
	}
	return u
}

// answers reports whether an owner takes requests: it is not about to end, was
// reached lately and has not fallen silent.
func (s *Service) answers(now time.Time, u *Upstream) bool {
	return s.ownerBlockedReason(now, u) == 0 && u.answers(now, s.typical)
}

// usable reports whether the upstream may get a request that any may run.
func (s *Service) usable(now time.Time, u *Upstream) bool {
	return s.blockedReason(now, u) == 0 && u.usable(now, s.typical) && s.mayStart(now, u)
}

func excluded(w *Want, id string) bool {
	for _, other := range w.Exclude {
		if other == id {
			return true
		}
	}
	return false
}

// Done ends a try and lets waiting requests through.
func (s *Service) Done(now time.Time, g Grant, o Outcome) {
	u := s.grantedUpstream(g)
	if u == nil {
		return
	}
	if g.Cold && o == Answered {
		s.learnCold(now.Sub(g.Began), u.workTime(now, s.typical))
	}
	u.ended(now, g, o, s.typical)
	if o == Answered && u.work > 0 && !g.Cold && !g.Warming {
		s.typical += time.Duration(workWeight / 4 * (u.usualSlowness()*float64(u.work) - float64(s.typical)))
	}
	s.grantFromQueue(now, &u.queue)
	s.grantFromQueue(now, &s.queue)
}

// learnCold learns how much longer requests for cold keys run.
func (s *Service) learnCold(took, work time.Duration) {
	sample := max(1, took.Seconds()/max(work, leastWork).Seconds())
	s.coldFactor += workWeight * (sample - s.coldFactor)
}
