package lab

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/state/limits"
)

const (
	// tickInterval is the time between checks of queued requests, the same as in the gateways.
	tickInterval = 20 * time.Millisecond
	// budgetShare is the share of the retry budget that is used, the same as in the gateways.
	budgetShare = 0.9
	// newOwnerWait is how long a gateway waits to learn of a new owner after the known one responded
	// that it does not own the key, the same as in the gateways.
	newOwnerWait = 80 * time.Millisecond
	// drainTime is the time after which leaving upstreams get no more requests.
	drainTime = 2 * time.Second
	// maxUnreached bounds the number of unreachable upstreams tried for one request, the same as in
	// the gateways.
	maxUnreached = 4
)

// product is the policy under test: the decision packages of the product in each gateway.
type product struct {
	sim      *simulation
	gateways []*gateway
}

// gateway is one gateway: its decision state and the requests that it processes.
type gateway struct {
	sim      *simulation
	index    int
	dispatch map[string]*dispatch.Service
	budget   map[string]*retry.WindowBudget
	keys     map[string][]keyRequest
	// serviceNames are the services in a fixed order.
	serviceNames []string
	deliveries   []*delivery
	connections  connections
	// limits are the rate limits that upstreams name; otherLimitedDemand is the request rate that
	// the other gateways would send to each of these upstreams.
	limits             *limits.Registry
	otherLimitedDemand map[string]float64
}

// keyRequest is a request for a key, with the work of its route.
type keyRequest struct {
	key  uint16
	work float64
}

func newProduct(sim *simulation, seed uint64) *product {
	p := &product{sim: sim}
	for i := range sim.sc.Gateways {
		g := &gateway{
			sim: sim, index: i, dispatch: make(map[string]*dispatch.Service), budget: make(map[string]*retry.WindowBudget),
			keys: make(map[string][]keyRequest), limits: limits.NewRegistry(), connections: make(connections),
		}
		for j := range sim.sc.Services {
			s := &sim.sc.Services[j]
			rng := rand.New(rand.NewPCG(seed+policyStream, uint64(i*len(sim.sc.Services)+j)))
			d := dispatch.NewService(domainName(i%failureDomains), drainTime, rng)
			d.Disabled = sim.sc.Disabled
			d.SetWarmUp(sim.now(), dispatch.WarmUp{MaxPerSecond: s.WarmUpRateLimit, Keyed: s.Keyed})
			d.SetUpstreams(sim.now(), sim.controller.listedUpstreams(s))
			g.dispatch[s.Name] = d
			g.serviceNames = append(g.serviceNames, s.Name)
			g.budget[s.Name] = retry.NewWindowBudget(sim.now(), sim.sc.RetryWindow.D(), budgetShare*sim.sc.RetryShare, budgetShare*sim.sc.RetryAllowance)
		}
		p.gateways = append(p.gateways, g)
		sim.after(time.Duration(i)*sim.sc.ReportInterval.D()/time.Duration(sim.sc.Gateways), g.report)
		sim.after(tickInterval, g.tick)
	}
	return p
}

func (p *product) upstreamsChanged(s *Service) {
	for _, g := range p.gateways {
		g.dispatch[s.Name].SetUpstreams(p.sim.now(), p.sim.controller.listedUpstreams(s))
	}
}

// gatewayFailed ends all requests at a gateway, whose connections break.
func (p *product) gatewayFailed(g int) {
	lost := p.gateways[g]
	p.sim.controller.applyReport(g, nil, nil, nil)
	p.sim.controller.ownerDemand.set(g, nil)
	open := lost.deliveries
	lost.deliveries = nil
	for _, d := range open {
		d.cancel(dispatch.Canceled)
		d.try.fail()
	}
}

func (p *product) submit(t *try) {
	g := p.gateways[t.gateway]
	if p.sim.gatewayDown[t.gateway] {
		t.fail()
		return
	}
	d := &delivery{gateway: g, try: t, route: t.call.route, service: g.dispatch[t.call.route.Service]}
	d.keyed = p.sim.controller.tables[d.route.Service] != nil
	d.deadline = p.sim.elapsed + min(d.route.Timeout.D(), t.maxWait)
	t.onWithdraw = d.onWithdraw
	g.deliveries = append(g.deliveries, d)
	g.budget[d.route.Service].RecordRequest(p.sim.now())
	if d.keyed {
		p.sim.tally.keyedTries++
		g.keys[d.route.Service] = append(g.keys[d.route.Service], keyRequest{t.call.key, d.service.RouteFactor(d.route.Name)})
	}
	p.sim.after(d.deadline-p.sim.elapsed, d.onTimeout)
	d.acquire(false)
}

func (g *gateway) tick() {
	for _, name := range g.serviceNames {
		g.dispatch[name].Tick(g.sim.now())
	}
	g.sim.after(tickInterval, g.tick)
}

// report sends the load of this gateway to the controller and applies the aggregate of the other
// gateways, which arrives one hop later.
func (g *gateway) report() {
	g.sim.after(g.sim.sc.ReportInterval.D(), g.report)
	if g.sim.gatewayDown[g.index] {
		return
	}
	loads, demand := make(map[string]upstreamReport), make(map[string]dispatch.Demand)
	for _, name := range g.serviceNames {
		demand[name] = g.dispatch[name].Demand(g.sim.now())
		for _, l := range g.dispatch[name].Loads(g.sim.now()) {
			r := upstreamReport{inflight: l.Inflight, runs: l.Runs}
			if l.Rejected > 0 {
				r.rejectedAt = g.sim.elapsed - l.Rejected
			}
			loads[l.Instance] = r
		}
	}
	limitedDemand, ownerDemand := make(map[string]float64), make(map[string]float64)
	for _, name := range g.serviceNames {
		maps.Copy(limitedDemand, g.dispatch[name].LimitedDemand(g.sim.now()))
		maps.Copy(ownerDemand, g.dispatch[name].OwnerDemand(g.sim.now()))
	}
	keys := g.keys
	g.keys = make(map[string][]keyRequest)
	g.sim.after(g.sim.hopDelay(), func() {
		g.sim.controller.applyReport(g.index, loads, demand, keys)
		g.sim.controller.limitedDemand[g.index] = limitedDemand
		g.sim.controller.ownerDemand.set(g.index, ownerDemand)
		ownerDemands := g.sim.controller.ownerDemand.othersThan(g.index)
		otherLimitedDemand := g.sim.controller.otherLimitedDemand(g.index)
		others := g.sim.controller.otherReports(g.index)
		inflight := make(map[string]float64, len(others))
		for id, r := range others {
			inflight[id] = r.inflight
		}
		rejected := g.sim.controller.rejections()
		admission := maps.Clone(g.sim.controller.hotKeyAdmission)
		rights := g.sim.controller.warmUpRights(g.index)
		otherDemand, workEstimates := g.sim.controller.otherDemand(g.index), g.sim.controller.workEstimates()
		g.sim.after(g.sim.hopDelay(), func() {
			g.otherLimitedDemand = otherLimitedDemand
			limits := g.activeLimits()
			for _, name := range g.serviceNames {
				g.dispatch[name].ApplyReport(g.sim.now(), dispatch.ClusterReport{
					InFlight: inflight, WorkTimes: workEstimates, Demand: otherDemand[name], Gateways: g.sim.sc.Gateways, HotKeyAdmission: admission[name], Rights: rights,
					Limits: limits, Rejected: rejected, OwnerDemands: ownerDemands,
				})
			}
		})
	})
}
