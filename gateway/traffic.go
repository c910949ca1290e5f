package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/currency"
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
)

const (
	// tickInterval is the time between checks of queued requests and of unresponsive upstreams.
	tickInterval = 20 * time.Millisecond
	// retryBudgetFraction is the fraction of the retry budget that is used. The rest is a
	// margin, because gateways count the same window at slightly different times.
	retryBudgetFraction = 0.9
)

// traffic makes the dispatch decisions for all services of one gateway. It is safe for
// concurrent use.
type traffic struct {
	conf settings.Gateway
	now  func() time.Time
	// currency tracks until when the view of the upstreams is known to have been complete.
	currency currency.Tracker

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*serviceTraffic
	// evacuated is the set of failure domains that get no requests.
	evacuated *evacuation.Set
	// retryGateways counts the gateways that share the retry budget.
	retryGateways *retry.ProcessCount
}

// serviceTraffic is the dispatch state of one service.
type serviceTraffic struct {
	mu       sync.Mutex
	dispatch *dispatch.Service
	budget   *retry.WindowBudget
	// keys are the keys requested since the last report.
	keys []keyRequest
}

func newTraffic(conf settings.Gateway, now func() time.Time, rng *rand.Rand) *traffic {
	return &traffic{
		conf: conf, now: now, rng: rng, services: make(map[string]*serviceTraffic),
		retryGateways: retry.NewProcessCount(conf.RetryWindow.D()),
	}
}

// get returns the service of that name and creates it if it does not exist.
func (t *traffic) get(name string) *serviceTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		seed := rand.NewPCG(t.rng.Uint64(), t.rng.Uint64())
		s = &serviceTraffic{
			dispatch: dispatch.NewService(t.conf.Domain, t.conf.UpstreamDrainTimeout.D(), rand.New(seed)),
			budget: retry.NewWindowBudget(t.now(), t.conf.RetryWindow.D(),
				retryBudgetFraction*t.conf.RetryShare, retryBudgetFraction*t.conf.RetryAllowance),
		}
		s.dispatch.SetRegions(t.conf.Regions)
		s.dispatch.SetEvacuated(t.now(), t.evacuated.Active)
		t.services[name] = s
	}
	return s
}

func (t *traffic) all() map[string]*serviceTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*serviceTraffic, len(t.services))
	for name, s := range t.services {
		out[name] = s
	}
	return out
}

// setUpstreams applies a new view of the registered upstreams.
func (t *traffic) setUpstreams(v *instances.View) {
	now := t.now()
	since := t.currency.EarliestChange(now)
	for _, name := range v.Services() {
		s := t.get(name)
		s.mu.Lock()
		s.dispatch.SetUpstreamsChangedSince(now, since, v.Service(name))
		s.mu.Unlock()
	}
	for name, s := range t.all() {
		if len(v.Service(name)) == 0 {
			s.mu.Lock()
			s.dispatch.SetUpstreams(now, nil)
			s.mu.Unlock()
		}
	}
}

// setServices applies the service settings of a new configuration.
func (t *traffic) setServices(table *routing.Table) {
	now := t.now()
	for name, service := range table.Services {
		s := t.get(name)
		s.mu.Lock()
		s.dispatch.SetWarmUp(now, t.warmUp(service))
		s.mu.Unlock()
	}
}

// warmUp returns the limit on requests to an upstream of the service while it warms up.
func (t *traffic) warmUp(service *routing.Service) dispatch.WarmUp {
	if service.WarmUpRate <= 0 {
		return dispatch.WarmUp{}
	}
	return dispatch.WarmUp{MaxPerSecond: t.conf.WarmUpRateFactor*service.WarmUpRate + t.conf.WarmUpRateSlack, Keyed: service.Keyed}
}

// needRights returns the upstreams of all services to which this gateway may send only while it
// holds a right.
func (t *traffic) needRights() []warmup.Upstream {
	now := t.now()
	var out []warmup.Upstream
	for name, s := range t.all() {
		for _, upstream := range s.needRights(now) {
			out = append(out, warmup.Upstream{ID: upstream.ID, Incarnation: upstream.Incarnation(), Service: name, Domain: upstream.Domain})
		}
	}
	return out
}

func (s *serviceTraffic) needRights(now time.Time) []instances.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.NeedRights(now)
}

// warming returns the upstreams that are warming up and get a limited number of requests.
func (s *serviceTraffic) warming(now time.Time) []instances.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Warming(now)
}

// setEvacuations applies a new set of evacuated failure domains.
func (t *traffic) setEvacuations(set *evacuation.Set) {
	t.mu.Lock()
	t.evacuated = set
	t.mu.Unlock()
	now := t.now()
	for _, s := range t.all() {
		s.mu.Lock()
		s.dispatch.SetEvacuated(now, set.Active)
		s.mu.Unlock()
	}
}

// setGateways records how many gateways share the retry budget.
func (t *traffic) setGateways(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryGateways.Observe(t.now(), max(n, 1))
}

// retryGatewayCount returns how many gateways share the retry budget, or zero if that is
// unknown.
func (t *traffic) retryGatewayCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryGateways.Count()
}

// run grants or refuses queued requests in time, until ctx ends.
func (t *traffic) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := t.now()
		for _, s := range t.all() {
			s.tick(now)
		}
	}
}

func (s *serviceTraffic) tick(now time.Time) {
	s.mu.Lock()
	s.dispatch.Tick(now)
	s.mu.Unlock()
}

// acquire waits for a grant to send the request to an upstream.
func (t *traffic) acquire(ctx context.Context, s *serviceTraffic, req *dispatch.Request) (dispatch.Grant, error) {
	decisions := make(chan dispatch.Decision, 1)
	req.OnDecision = func(d dispatch.Decision) { decisions <- d }
	s.mu.Lock()
	d, decided := s.dispatch.Offer(t.now(), req)
	s.mu.Unlock()
	if decided {
		return d.Grant, t.refusalAnswer(s, req, d)
	}
	select {
	case d := <-decisions:
		return d.Grant, t.refusalAnswer(s, req, d)
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.dispatch.Withdraw(req)
	s.mu.Unlock()
	if !withdrawn {
		if d := <-decisions; d.Granted() {
			t.endTry(s, d.Grant, dispatch.Canceled)
		}
	}
	return dispatch.Grant{}, answer.Wrap(answer.DeadlinePassed, context.Cause(ctx))
}

// ownerLost reports whether an upstream has not responded for at least the given time.
func (t *traffic) ownerLost(s *serviceTraffic, upstream string, least time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.OwnerLost(t.now(), upstream, least)
}

// restRemaining returns the time until the first upstream that may take the request ends its rest.
func (t *traffic) restRemaining(s *serviceTraffic, req *dispatch.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RestRemaining(t.now(), req)
}

// retryAfter returns the time after which the caller of a request that found no room should come back,
// or zero if that is unknown.
func (t *traffic) retryAfter(q *request, owner string) time.Duration {
	req := &dispatch.Request{Owner: owner, Objective: q.route.Objective, ReceivedAt: q.receivedAt, Deadline: q.deadline}
	q.traffic.mu.Lock()
	defer q.traffic.mu.Unlock()
	return q.traffic.dispatch.RetryAfter(t.now(), req)
}

// overShare returns how many requests were refused because of their callers' shares.
func (s *serviceTraffic) overShare() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.OverShare()
}

// retryPlaces returns how many refused callers were given a place, and how many were not.
func (s *serviceTraffic) retryPlaces() (placed, unplaced uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RetryPlaces()
}

// upstreamFeedback is what an upstream reports about itself in a response.
type upstreamFeedback struct {
	// connected is when the connection was opened on which the request was sent; zero if none was.
	connected time.Time
	// load is nil if the upstream reported none.
	load   *instances.Load
	notice notice.Notice
}

// randomFraction returns a random number in [0, 1).
func (t *traffic) randomFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// endTry ends a try without feedback from the upstream.
func (t *traffic) endTry(s *serviceTraffic, g dispatch.Grant, o dispatch.Outcome) {
	t.endTryWithFeedback(s, g, o, upstreamFeedback{})
}

// endTryWithFeedback ends a try and applies the upstream's feedback. It returns what changed in
// the upstream's notice.
func (t *traffic) endTryWithFeedback(s *serviceTraffic, g dispatch.Grant, o dispatch.Outcome, feedback upstreamFeedback) notice.Change {
	now := t.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if feedback.load != nil {
		s.dispatch.ApplyLoad(now, g, *feedback.load)
	}
	change := s.dispatch.ApplyNotice(now, g, feedback.notice)
	s.dispatch.Done(now, g, o)
	return change
}

// recordRequest counts a new request in the retry budget.
func (t *traffic) recordRequest(s *serviceTraffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(t.now())
}

// spendRetry takes one retry from the budget and reports whether the budget allowed it.
func (t *traffic) spendRetry(s *serviceTraffic) bool {
	n := t.retryGatewayCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(t.now(), n)
}

// retriesLeft returns how many retries this gateway may still make in the window.
func (t *traffic) retriesLeft(s *serviceTraffic) float64 {
	n := t.retryGatewayCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Remaining(t.now(), n)
}

// setLimits applies the limits that upstreams announce.
func (t *traffic) setLimits(limits map[string]dispatch.Limit) {
	now := t.now()
	for _, s := range t.all() {
		s.mu.Lock()
		s.dispatch.SetLimits(now, limits)
		s.mu.Unlock()
	}
}

// routeWork returns what is known about the work of the service's routes, by name.
func (t *traffic) routeWork(s *serviceTraffic) map[string]worktime.RouteWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RouteWork()
}

// explain returns the inputs of a dispatch decision for the given owner, or for any upstream if
// the owner is empty.
func (t *traffic) explain(s *serviceTraffic, owner string) dispatch.Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Explain(t.now(), owner)
}
