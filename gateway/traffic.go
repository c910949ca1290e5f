package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
)

const (
	// tickInterval is the time between looks at requests that wait and at
	// upstreams that fell silent.
	tickInterval = 20 * time.Millisecond
	// budgetShare is the part of the retry budget that is used: gateways count
	// the same window at slightly different times.
	budgetShare = 0.9
	// mostKeys bounds the keys kept for one report.
	mostKeys = 512
)

// traffic holds the decisions about all services of one gateway, for
// concurrent use.
type traffic struct {
	conf settings.Gateway
	now  func() time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*service
	// evacuated are the failure domains to which nothing is sent.
	evacuated *evacuation.Set
	// sharers is how many gateways share the retry budget.
	sharers *retry.ProcessCount
}

// service is the traffic of one service.
type service struct {
	mu       sync.Mutex
	dispatch *dispatch.Service
	budget   *retry.WindowBudget
	// keys are those asked for since the last report.
	keys []uint16
}

func newTraffic(conf settings.Gateway, now func() time.Time, rng *rand.Rand) *traffic {
	return &traffic{
		conf: conf, now: now, rng: rng, services: make(map[string]*service),
		sharers: retry.NewProcessCount(conf.RetryWindow.D()),
	}
}

// get returns the service of the name.
func (t *traffic) get(name string) *service {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		seed := rand.NewPCG(t.rng.Uint64(), t.rng.Uint64())
		s = &service{
			dispatch: dispatch.NewService(t.conf.Domain, t.conf.UpstreamDrainTimeout.D(), rand.New(seed)),
			budget: retry.NewWindowBudget(t.now(), t.conf.RetryWindow.D(),
				budgetShare*t.conf.RetryShare, budgetShare*t.conf.RetryAllowance),
		}
		s.dispatch.SetEvacuated(t.now(), t.evacuated.Active)
		t.services[name] = s
	}
	return s
}

func (t *traffic) all() map[string]*service {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*service, len(t.services))
	for name, s := range t.services {
		out[name] = s
	}
	return out
}

// setUpstreams takes over which upstreams there are.
func (t *traffic) setUpstreams(v *instances.View) {
	now := t.now()
	for _, name := range v.Services() {
		s := t.get(name)
		s.mu.Lock()
		s.dispatch.SetUpstreams(now, v.Service(name))
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

// setServices takes over what the configuration says of the services.
func (t *traffic) setServices(table *routing.Table) {
	now := t.now()
	for name, service := range table.Services {
		s := t.get(name)
		s.mu.Lock()
		s.dispatch.SetWarmUp(now, t.warmUp(service))
		s.mu.Unlock()
	}
}

// warmUp is the bound of requests to an upstream of the service that warms up.
func (t *traffic) warmUp(service *routing.Service) dispatch.WarmUp {
	if service.WarmUpRate <= 0 {
		return dispatch.WarmUp{}
	}
	return dispatch.WarmUp{MaxPerSecond: t.conf.WarmUpRateFactor*service.WarmUpRate + t.conf.WarmUpRateSlack, Keyed: service.Keyed}
}

// needRights returns the upstreams of all services to which a gateway sends by a right only.
func (t *traffic) needRights() []warmup.Upstream {
	now := t.now()
	var out []warmup.Upstream
	for name, s := range t.all() {
		for _, one := range s.needRights(now) {
			out = append(out, warmup.Upstream{ID: one.ID, Incarnation: one.Incarnation(), Service: name, Domain: one.Domain})
		}
	}
	return out
}

func (s *service) needRights(now time.Time) []instances.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.NeedRights(now)
}

// warming returns the upstreams that warm up and whose requests are bounded.
func (s *service) warming(now time.Time) []instances.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Warming(now)
}

// setEvacuations takes over which failure domains are evacuated.
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

// setGateways notes how many gateways share the retry budget.
func (t *traffic) setGateways(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharers.Observe(t.now(), max(n, 1))
}

// sharerCount returns how many gateways share the retry budget, or zero when that is
// not known.
func (t *traffic) sharerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sharers.Count()
}

// run lets waiting requests through or refuses them in time, until ctx ends.
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

func (s *service) tick(now time.Time) {
	s.mu.Lock()
	s.dispatch.Tick(now)
	s.mu.Unlock()
}

// acquire waits for the right to send a request to an upstream.
func (t *traffic) acquire(ctx context.Context, s *service, w *dispatch.Request) (dispatch.Grant, error) {
	type verdict struct {
		grant   dispatch.Grant
		refusal dispatch.Refusal
	}
	given := make(chan verdict, 1)
	w.OnDecision = func(g dispatch.Grant, r dispatch.Refusal) { given <- verdict{g, r} }
	s.mu.Lock()
	g, r, decided := s.dispatch.Offer(t.now(), w)
	s.mu.Unlock()
	if decided {
		return g, t.refused(s, w, r)
	}
	select {
	case v := <-given:
		return v.grant, t.refused(s, w, v.refusal)
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.dispatch.Withdraw(w)
	s.mu.Unlock()
	if !withdrawn {
		if v := <-given; v.refusal == 0 {
			t.done(s, v.grant, dispatch.Canceled)
		}
	}
	return dispatch.Grant{}, answer.Wrap(answer.DeadlinePassed, context.Cause(ctx))
}

// restLeft is how long it takes until an upstream to which the request may go has rested.
func (t *traffic) restLeft(s *service, w *dispatch.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RestRemaining(t.now(), w)
}

// refused returns the answer to a request that was refused for the reason; nil for none.
func (t *traffic) refused(s *service, w *dispatch.Request, r dispatch.Refusal) error {
	if r != dispatch.Resting {
		return refusalError(r)
	}
	left := t.restLeft(s, w)
	if w.Owner != "" {
		// Keys of an owner that rests for longer are moved.
		left = min(left, patience.RetryAfterMovingKey())
	}
	err := answer.New(answer.Overloaded, "all that could run it want nothing more for a while")
	err.RetryAfter = patience.RetryAfterRest(left, t.spread())
	return err
}

func refusalError(r dispatch.Refusal) error {
	switch r {
	case dispatch.NoCapacity:
		return answer.New(answer.Overloaded, "no upstream has room")
	case dispatch.NoUpstream:
		return answer.New(answer.NoOwner, "no upstream is known that could run it")
	case dispatch.OwnerUnresponsive:
		return answer.New(answer.NoOwner, "the owner of the key does not answer")
	case dispatch.Evacuated:
		return answer.New(answer.NoOwner, "the owner of the key is in an evacuated failure domain")
	case dispatch.Leaving:
		err := answer.New(answer.NoOwner, "the owner of the key leaves")
		err.RetryAfter = patience.RetryAfterMovingKey()
		return err
	case dispatch.WarmingUp:
		err := answer.New(answer.Overloaded, "the owner of the key warms up")
		err.RetryAfter = patience.RetryAfterColdKey()
		return err
	case dispatch.ColdKey:
		err := answer.New(answer.Overloaded, "the key is cold at a busy owner")
		err.RetryAfter = patience.RetryAfterColdKey()
		return err
	case dispatch.HotKey:
		err := answer.New(answer.Overloaded, "the key is asked for more often than its owner can run")
		err.RetryAfter = patience.RetryAfterHotKey()
		return err
	case dispatch.Limited:
		err := answer.New(answer.Overloaded, "all that could run it name a limit, and more is asked for")
		err.RetryAfter = patience.RetryAfterLimited()
		return err
	case dispatch.TooLate:
		return answer.New(answer.Overloaded, "it cannot be answered in time")
	}
	return nil
}

// told is what an upstream tells of itself with an answer.
type told struct {
	// load is nil when it tells none.
	load   *instances.Load
	notice notice.Notice
}

// spread returns a random number from 0 to 1.
func (t *traffic) spread() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// done ends a try.
func (t *traffic) done(s *service, g dispatch.Grant, o dispatch.Outcome) {
	t.doneTelling(s, g, o, told{})
}

// doneTelling ends a try with what the upstream has told of itself, and returns what of that is
// new.
func (t *traffic) doneTelling(s *service, g dispatch.Grant, o dispatch.Outcome, said told) notice.Change {
	now := t.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if said.load != nil {
		s.dispatch.ApplyLoad(now, g, *said.load)
	}
	change := s.dispatch.ApplyNotice(now, g, said.notice)
	s.dispatch.Done(now, g, o)
	return change
}

// first notes the first try of a request.
func (t *traffic) first(s *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(t.now())
}

// spend takes one second try from the budget.
func (t *traffic) spend(s *service) bool {
	n := t.sharerCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(t.now(), n)
}

// budgetLeft returns how many second tries this gateway may still spend.
func (t *traffic) budgetLeft(s *service) float64 {
	n := t.sharerCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Remaining(t.now(), n)
}

// asked notes a key for the next report.
func (s *service) asked(key uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) < mostKeys {
		s.keys = append(s.keys, key)
	}
}

// ownReport is what this process tells the leader.
type ownReport struct {
	loads []*syncpb.Load
	// demand is the rate of requests a second by service, wanted the part of it that would go to
	// upstreams which name a limit, by upstream.
	demand, wanted map[string]float64
	// keys are those asked for since the last report, by service.
	keys map[string][]uint16
}

// report returns what is to be told the leader, and forgets the keys.
func (t *traffic) report() *ownReport {
	now := t.now()
	r := &ownReport{keys: make(map[string][]uint16), demand: make(map[string]float64), wanted: make(map[string]float64)}
	for name, s := range t.all() {
		s.mu.Lock()
		r.loads = append(r.loads, loadMessages(s.dispatch.Loads(now))...)
		r.demand[name] = s.dispatch.Demand(now)
		maps.Copy(r.wanted, s.dispatch.LimitedDemand(now))
		if len(s.keys) > 0 {
			r.keys[name] = s.keys
			s.keys = nil
		}
		s.mu.Unlock()
	}
	return r
}

// setLimits takes over the limits that upstreams name.
func (t *traffic) setLimits(limits map[string]dispatch.Limit) {
	now := t.now()
	for _, s := range t.all() {
		s.mu.Lock()
		s.dispatch.SetLimits(now, limits)
		s.mu.Unlock()
	}
}

// reported takes over what the other gateways reported, what they are asked for by
// service, and the limits of hot keys.
func (t *traffic) reported(news dispatch.ClusterReport, demand map[string]float64, limits admittedShares) {
	t.setGateways(news.Gateways)
	now := t.now()
	for name, s := range t.all() {
		s.mu.Lock()
		news.Demand, news.HotKeyAdmission = demand[name], limits[name]
		s.dispatch.ApplyReport(now, news)
		s.mu.Unlock()
	}
}

// explain returns what a decision for the owner, or for any upstream, is made
// from.
func (t *traffic) explain(s *service, owner string) dispatch.Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Explain(t.now(), owner)
}
