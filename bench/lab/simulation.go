package lab

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/rockcroft/rockcroft/state/limits"
	"github.com/rockcroft/rockcroft/state/spans"
)

// policy decides where tries are sent.
type policy interface {
	submit(t *try)
	// upstreamsChanged is called when upstreams of the service were added, removed or changed.
	upstreamsChanged(s *Service)
	// gatewayFailed is called when a gateway has stopped.
	gatewayFailed(g int)
	// limitsChanged passes the limits named by upstreams, as reported by the gateway from.
	limitsChanged(list []limits.Limit, from int)
}

// simulation is the state of one run of a scenario.
type simulation struct {
	engine
	sc  *Scenario
	rng *rand.Rand
	// noiseRNG draws the noise of upstreams.
	noiseRNG *rand.Rand
	// callerRNG draws the callers.
	callerRNG    *rand.Rand
	upstreams    map[string][]*upstream
	upstreamByID map[string]*upstream
	// allUpstreams are the upstreams in a fixed order.
	allUpstreams []*upstream
	controller   *controller
	// ownerView is the ownership of keys as all gateways know it.
	ownerView map[string]*spans.Table
	policy    policy
	// plansWithTrueSpeeds makes the planner use the true speeds of upstreams instead of the
	// reported ones.
	plansWithTrueSpeeds bool
	tally               *tally
	gatewayDown         []bool
	// popularity is the cumulative popularity of keys, by route; firstKey is the most popular key.
	popularity map[string][]float64
	firstKey   uint16
	workTimes  map[string]distuv.LogNormal
}

// Random streams of a run. They are separate, so that a change in one part does not affect the
// others.
const (
	trafficStream = 1
	policyStream  = 2
	noiseStream   = 3
	callerStream  = 4
)

func newSimulation(sc *Scenario, seed uint64) *simulation {
	sim := &simulation{
		sc: sc, rng: rand.New(rand.NewPCG(seed, trafficStream)), noiseRNG: rand.New(rand.NewPCG(seed, noiseStream)), callerRNG: rand.New(rand.NewPCG(seed, callerStream)), upstreams: make(map[string][]*upstream),
		upstreamByID: make(map[string]*upstream), ownerView: make(map[string]*spans.Table), tally: newTally(sc),
		gatewayDown: make([]bool, sc.Gateways), popularity: make(map[string][]float64), workTimes: make(map[string]distuv.LogNormal),
	}
	sim.firstKey = uint16(sim.rng.IntN(spans.MaxKey + 1))
	for i := range sc.Services {
		s := &sc.Services[i]
		for j := range s.Upstreams {
			u := newUpstream(sim, s, j)
			sim.upstreams[s.Name] = append(sim.upstreams[s.Name], u)
			sim.upstreamByID[u.instance.ID] = u
			sim.allUpstreams = append(sim.allUpstreams, u)
		}
	}
	for i := range sc.Routes {
		sim.prepareRoute(&sc.Routes[i])
	}
	sim.controller = newController(sim)
	for name, t := range sim.controller.tables {
		sim.ownerView[name] = t
	}
	return sim
}

// prepareRoute computes the distributions of a route.
func (sim *simulation) prepareRoute(r *Route) {
	// The mean of a log-normal distribution is exp(mu + sigma^2/2).
	mean := r.WorkTime.D().Seconds() / (1 + r.Tail*max(r.TailFactor-1, 0))
	sim.workTimes[r.Name] = distuv.LogNormal{Mu: math.Log(mean) - r.Spread*r.Spread/2, Sigma: r.Spread, Src: sim.rng}
	sum := 0.0
	var cumulative []float64
	for k := range r.Keys {
		sum += math.Pow(float64(k+1), -r.Skew)
		cumulative = append(cumulative, sum)
	}
	sim.popularity[r.Name] = cumulative
}

// drawWorkTime returns the duration of one run at speed 1.
func (sim *simulation) drawWorkTime(r *Route) time.Duration {
	took := sim.workTimes[r.Name].Rand()
	if r.Tail > 0 && sim.rng.Float64() < r.Tail {
		took *= max(r.TailFactor, 1)
	}
	return time.Duration(took * float64(time.Second))
}

// meanWorkTime returns the mean duration of a service's runs at speed 1, in seconds.
func (sim *simulation) meanWorkTime(s *Service) float64 {
	sum, rate := 0.0, 0.0
	for _, r := range sim.sc.Routes {
		if r.Service == s.Name {
			sum, rate = sum+r.WorkTime.D().Seconds()*r.Rate, rate+r.Rate
		}
	}
	return sum / max(rate, 1)
}

// drawKey draws the key of a request.
func (sim *simulation) drawKey(r *Route) uint16 {
	if hot, ok := sim.hotKey(r); ok {
		return hot
	}
	cumulative := sim.popularity[r.Name]
	if len(cumulative) == 0 {
		return uint16(sim.rng.IntN(spans.MaxKey + 1))
	}
	k := sort.SearchFloat64s(cumulative, sim.rng.Float64()*cumulative[len(cumulative)-1])
	return sim.firstKey + uint16(k)
}

// drawCaller draws the caller of a request. Greedy callers are the first ones.
func (sim *simulation) drawCaller(r *Route) int {
	n := sim.callerRNG.IntN(r.Callers + (greedyFactor-1)*r.GreedyCallers)
	if n < greedyFactor*r.GreedyCallers {
		return 1 + n/greedyFactor
	}
	return 1 + n - (greedyFactor-1)*r.GreedyCallers
}

// hotKey returns the hot key of an active disturbance, for its share of the requests.
func (sim *simulation) hotKey(r *Route) (uint16, bool) {
	for i := range sim.sc.Disturbances {
		d := &sim.sc.Disturbances[i]
		if d.Kind == HotKey && d.Route == r.Name && sim.active(d) && sim.rng.Float64() < d.Share {
			// Hot keys are far apart, and the same in every run of a seed.
			hot := sim.firstKey + uint16((i+1)*hotKeyDistance)
			if d.Count > 1 {
				hot += uint16(sim.rng.IntN(d.Count))
			}
			return hot, true
		}
	}
	return 0, false
}

// hotKeyDistance separates hot keys from the popular ones and from each other.
const hotKeyDistance = 9973

func (sim *simulation) active(d *Disturbance) bool {
	return sim.elapsed >= d.Start.D() && sim.elapsed < d.Start.D()+d.Duration.D()
}

func (sim *simulation) hopDelay() time.Duration { return sim.sc.Hop.D() }

func (sim *simulation) pickGateway() int {
	for {
		if g := sim.rng.IntN(sim.sc.Gateways); !sim.gatewayDown[g] {
			return g
		}
	}
}

// generateCalls starts the calls of a route, one after the other.
func (sim *simulation) generateCalls(r *Route) {
	if r.Rate <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: sim.rate(r), Src: sim.rng}.Rand()
	sim.after(time.Duration(gap*float64(time.Second)), func() {
		if sim.elapsed >= sim.sc.Length.D() {
			return
		}
		c := &call{sim: sim, route: r, key: sim.drawKey(r), startedAt: sim.elapsed}
		if r.Callers > 0 {
			c.caller = sim.drawCaller(r)
		}
		c.sendTry()
		sim.after(r.Patience.D(), c.giveUp)
		sim.generateCalls(r)
	})
}

// rate returns the current rate of a route in requests per second.
func (sim *simulation) rate(r *Route) float64 {
	rate := r.Rate * (1 + sim.sc.RateSwing*math.Sin(2*math.Pi*sim.elapsed.Seconds()/sim.sc.SwingPeriod.D().Seconds()))
	for i := range sim.sc.Disturbances {
		d := &sim.sc.Disturbances[i]
		if d.Kind == TrafficBurst && (d.Route == "" || d.Route == r.Name) && sim.active(d) {
			rate *= d.Factor
		}
	}
	return rate
}

// runScenario runs the scenario to its end, and until the last client has stopped waiting.
func (sim *simulation) runScenario() {
	for i := range sim.sc.Routes {
		sim.generateCalls(&sim.sc.Routes[i])
	}
	for i := range sim.sc.Disturbances {
		d := &sim.sc.Disturbances[i]
		sim.after(d.Start.D(), func() { sim.startDisturbance(d) })
	}
	sim.after(planInterval, sim.controller.plan)
	longest := time.Duration(0)
	for _, r := range sim.sc.Routes {
		longest = max(longest, r.Patience.D())
	}
	sim.runUntil(sim.sc.Length.D() + longest + time.Second)
}

// startDisturbance starts a disturbance and schedules its end.
func (sim *simulation) startDisturbance(d *Disturbance) {
	switch d.Kind {
	case Silent, Refusing, Slowdown, Draining:
		for _, u := range sim.pickUpstreams(d) {
			sim.affectUpstream(d, u)
		}
	case ColdRestart:
		sim.coldRestart(d)
	case NamedLimits:
		sim.startNamedLimits(d)
	case GatewayFailure:
		for _, g := range sim.rng.Perm(sim.sc.Gateways)[:int(d.Share*float64(sim.sc.Gateways))] {
			sim.gatewayDown[g] = true
			sim.policy.gatewayFailed(g)
			sim.after(d.Duration.D(), func() { sim.gatewayDown[g] = false })
		}
	}
}

// pickUpstreams draws the upstreams that a disturbance affects.
func (sim *simulation) pickUpstreams(d *Disturbance) []*upstream {
	all := sim.upstreams[d.Service]
	var out []*upstream
	for _, i := range sim.rng.Perm(len(all))[:int(math.Ceil(d.Share*float64(len(all))))] {
		out = append(out, all[i])
	}
	return out
}

func (sim *simulation) affectUpstream(d *Disturbance, u *upstream) {
	notify := func() { sim.policy.upstreamsChanged(u.service) }
	switch d.Kind {
	case Slowdown:
		u.slowdown = d.Factor
		sim.after(d.Duration.D(), func() { u.slowdown = 1 })
	case Draining:
		u.leaving = true
		sim.after(sim.hopDelay(), notify)
	default:
		u.fail(d.Kind == Refusing)
		sim.after(suspectDelay, func() { u.suspectedLost = u.silent || u.refusing })
		sim.after(entryExpiry, notify)
		sim.after(d.Duration.D(), func() {
			u.recover()
			sim.after(sim.hopDelay(), notify)
		})
	}
}
