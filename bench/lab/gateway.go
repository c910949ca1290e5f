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
	// tickInterval is the time between looks at requests that wait, as in the gateways.
	tickInterval = 20 * time.Millisecond
	// budgetShare is the part of the retry budget that is used, as in the gateways.
	budgetShare = 0.9
	// refusedWait is how long news of a key's owner is waited for after the one known
	// has refused, as in the gateways.
	refusedWait = 80 * time.Millisecond
	// drainTime is the time within which leaving upstreams get no more requests.
	drainTime = 2 * time.Second
	// mostUnsent bounds the upstreams tried that could not be reached, as in the gateways.
	mostUnsent = 4
)

// product is the policy of the product: its decision packages in each gateway.
type product struct {
	w        *world
	gateways []*gateway
}

// gateway is one gateway: what it decides with, and the requests it works on.
type gateway struct {
	w        *world
	index    int
	dispatch map[string]*dispatch.Service
	budget   map[string]*retry.WindowBudget
	keys     map[string][]uint16
	// names are the services in a fixed order.
	names []string
	open  []*delivery
	// limits are those that upstreams name, wantedElsewhere what the other gateways are asked for
	// that these would get.
	limits          *limits.Registry
	wantedElsewhere map[string]float64
}

func newProduct(w *world, seed uint64) *product {
	p := &product{w: w}
	for i := range w.sc.Gateways {
		g := &gateway{
			w: w, index: i, dispatch: make(map[string]*dispatch.Service), budget: make(map[string]*retry.WindowBudget),
			keys: make(map[string][]uint16), limits: limits.NewRegistry(),
		}
		for j := range w.sc.Services {
			s := &w.sc.Services[j]
			rng := rand.New(rand.NewPCG(seed+policySeed, uint64(i*len(w.sc.Services)+j)))
			d := dispatch.NewService(domainName(i%domains), drainTime, rng)
			d.Disabled = w.sc.Off
			d.SetWarmUp(w.now(), dispatch.WarmUp{MaxPerSecond: s.StartBound, Keyed: s.Keyed})
			d.SetUpstreams(w.now(), w.control.known(s))
			g.dispatch[s.Name] = d
			g.names = append(g.names, s.Name)
			g.budget[s.Name] = retry.NewWindowBudget(w.now(), w.sc.RetryWindow.D(), budgetShare*w.sc.RetryShare, budgetShare*w.sc.RetryAllowance)
		}
		p.gateways = append(p.gateways, g)
		w.after(time.Duration(i)*w.sc.Report.D()/time.Duration(w.sc.Gateways), g.report)
		w.after(tickInterval, g.tick)
	}
	return p
}

func (p *product) changed(s *Service) {
	for _, g := range p.gateways {
		g.dispatch[s.Name].SetUpstreams(p.w.now(), p.w.control.known(s))
	}
}

// gatewayLost ends all requests at a gateway: its connections break.
func (p *product) gatewayLost(g int) {
	lost := p.gateways[g]
	p.w.control.reported(g, nil, nil, nil)
	open := lost.open
	lost.open = nil
	for _, d := range open {
		d.abandon(dispatch.Canceled)
		d.try.failed()
	}
}

func (p *product) submit(t *try) {
	g := p.gateways[t.gateway]
	if p.w.down[t.gateway] {
		t.failed()
		return
	}
	d := &delivery{gateway: g, try: t, route: t.call.route, service: g.dispatch[t.call.route.Service]}
	d.keyed = p.w.control.tables[d.route.Service] != nil
	d.deadline = p.w.at + min(d.route.Timeout.D(), t.left)
	t.withdraw = d.withdrawn
	g.open = append(g.open, d)
	g.budget[d.route.Service].RecordRequest(p.w.now())
	if d.keyed {
		g.keys[d.route.Service] = append(g.keys[d.route.Service], t.call.key)
	}
	p.w.after(d.deadline-p.w.at, d.timedOut)
	d.acquire(false)
}

func (g *gateway) tick() {
	for _, name := range g.names {
		g.dispatch[name].Tick(g.w.now())
	}
	g.w.after(tickInterval, g.tick)
}

// report tells the control what this gateway has in flight, and takes what the others
// have a hop later.
func (g *gateway) report() {
	g.w.after(g.w.sc.Report.D(), g.report)
	if g.w.down[g.index] {
		return
	}
	loads, demand := make(map[string]report), make(map[string]float64)
	for _, name := range g.names {
		demand[name] = g.dispatch[name].Demand(g.w.now())
		for _, l := range g.dispatch[name].Loads(g.w.now()) {
			loads[l.Instance] = report{inflight: l.Inflight, runs: l.Runs}
		}
	}
	wanted := make(map[string]float64)
	for _, name := range g.names {
		maps.Copy(wanted, g.dispatch[name].LimitedDemand(g.w.now()))
	}
	keys := g.keys
	g.keys = make(map[string][]uint16)
	g.w.after(g.w.hop(), func() {
		g.w.control.reported(g.index, loads, demand, keys)
		g.w.control.wanted[g.index] = wanted
		wantedElsewhere := g.w.control.wantedBut(g.index)
		others := g.w.control.elsewhere(g.index)
		inflight := make(map[string]float64, len(others))
		for id, r := range others {
			inflight[id] = r.inflight
		}
		admit := maps.Clone(g.w.control.admit)
		rights := g.w.control.rights(g.index)
		asked, works := g.w.control.askedElsewhere(g.index), g.w.control.works()
		g.w.after(g.w.hop(), func() {
			g.wantedElsewhere = wantedElsewhere
			limits := g.limitNews()
			for _, name := range g.names {
				g.dispatch[name].ApplyReport(g.w.now(), dispatch.ClusterReport{
					InFlight: inflight, WorkTimes: works, Demand: asked[name], Gateways: g.w.sc.Gateways, HotKeyAdmission: admit[name], Rights: rights,
					Limits: limits,
				})
			}
		})
	})
}
