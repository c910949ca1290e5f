package lab

import (
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Policy names the decision logic of a run.
type Policy string

// Policies.
const (
	// Product uses the decision packages of the product.
	Product Policy = "product"
	// Ideal has perfect information; it is the upper bound.
	Ideal Policy = "ideal"
	// Plain picks the upstream with the fewest requests in flight and refuses when its slots are
	// full; it is the baseline.
	Plain Policy = "plain"
)

// RouteResult holds the outcomes and latencies of the calls on one route.
type RouteResult struct {
	Route string `json:"route"`
	Calls int    `json:"asked"`
	// OnTime, Late, Refused and Failed are shares of Calls.
	OnTime  float64 `json:"on_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// HeldMs is the mean time for which gateways held the tries of refused calls.
	HeldMs float64 `json:"held_ms"`
	// Refusals is the number of refused tries per call.
	Refusals float64 `json:"refusals_per_call"`
	// RefusedAgain is the share of the calls that were refused twice or more, RefusedThrice that of
	// the calls refused three times or more.
	RefusedAgain  float64 `json:"refused_again"`
	RefusedThrice float64 `json:"refused_thrice"`
	// OthersServed is the share of the calls of callers that are not greedy that were served.
	// GreedyRatio is the number of served calls of a greedy caller over that of another caller, zero
	// without greedy callers.
	OthersServed float64 `json:"others_served"`
	GreedyRatio  float64 `json:"greedy_ratio"`
	// WastedS is the time that upstreams spent on runs that were cancelled.
	WastedS float64 `json:"wasted_s"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	// Worth is the worth achieved, as a share of the worth if all calls were served on time.
	Worth float64 `json:"worth"`
}

// Result is the result of one run.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   Policy        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Routes   []RouteResult `json:"routes"`
	Worth    float64       `json:"worth"`
	// Imbalance is the busy time of the busiest owner divided by the mean busy time.
	Imbalance float64 `json:"imbalance"`
	// PeakPerSlot is the highest number of requests at one upstream at the same time, divided by
	// its slots.
	PeakPerSlot float64 `json:"most_over_slots"`
	// CrossDomain is the share of the attempts for services without keys that went to an upstream
	// in another failure domain than the gateway's.
	CrossDomain float64 `json:"crossed"`
	// FullUpstream counts requests that reached an upstream without a free slot or queue place.
	FullUpstream int `json:"full"`
	// OwnerRejections is the share of the arrivals at owners of keys for which the owner had no slot
	// or queue place. RefusedWithFreeSlot is the share of the tries for services with keys that were
	// refused although the gateway's estimate showed a free slot at the owner, RefusedAtIdleOwner of
	// those refused while the owner had one.
	OwnerRejections     float64 `json:"rejected_by_owners"`
	RefusedWithFreeSlot float64 `json:"refused_with_free_slot"`
	RefusedAtIdleOwner  float64 `json:"refused_at_idle_owner"`
	// WarmUpFailures counts upstreams that failed from overload while they were warming up.
	WarmUpFailures int `json:"fell"`
	// PeakOverLimit is the highest ratio of the requests that reached an upstream to those that its
	// named limit allows; up to 1 is within the limit.
	PeakOverLimit float64 `json:"over_limit"`
	// Moved is the number of keys moved divided by the number of all keys; Plans is the number of
	// plans with moves.
	Moved  float64 `json:"moved"`
	Plans  int     `json:"plans"`
	WallMs float64 `json:"wall_ms"`
	// Pools are the results of the services without keys.
	Pools   []PoolResult `json:"pools"`
	Seconds []Second     `json:"seconds"`
}

// Second counts the outcomes of the calls that started in one second.
type Second struct {
	OnTime  int `json:"on_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Simulate runs the scenario once.
func Simulate(sc *Scenario, p Policy, seed uint64) *Result {
	began := time.Now()
	sim := newSimulation(sc, seed)
	sim.policy = newPolicy(sim, p, seed)
	sim.runScenario()
	r := sim.result(p, seed)
	r.WallMs = float64(time.Since(began).Microseconds()) / 1000
	return r
}

// newPolicy returns the decision logic of a simulation.
func newPolicy(sim *simulation, p Policy, seed uint64) policy {
	switch p {
	case Ideal:
		sim.plansWithTrueSpeeds = true
		return newIdeal(sim)
	case Plain:
		return newPlain(sim)
	}
	return newProduct(sim, seed)
}

// Job describes one run.
type Job struct {
	Scenario *Scenario
	Policy   Policy
	Seed     uint64
}

// SimulateAll runs jobs on half of the processors and returns the results in the order of the jobs.
func SimulateAll(jobs []Job) []*Result {
	results := make([]*Result, len(jobs))
	next := make(chan int)
	var all sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0)/2, 1) {
		all.Go(func() {
			for i := range next {
				results[i] = Simulate(jobs[i].Scenario, jobs[i].Policy, jobs[i].Seed)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	all.Wait()
	return results
}

func (sim *simulation) result(p Policy, seed uint64) *Result {
	r := &Result{Scenario: sim.sc.Name, Policy: p, Seed: seed, FullUpstream: sim.tally.fullUpstream, CrossDomain: float64(sim.tally.crossDomain) / float64(max(sim.tally.sent, 1))}
	r.OwnerRejections = float64(sim.tally.ownerRejections) / float64(max(sim.tally.ownerArrivals, 1))
	r.RefusedWithFreeSlot = float64(sim.tally.refusedWithFreeSlot) / float64(max(sim.tally.keyedTries, 1))
	r.RefusedAtIdleOwner = float64(sim.tally.refusedAtIdleOwner) / float64(max(sim.tally.keyedTries, 1))
	r.WarmUpFailures, r.PeakOverLimit = sim.tally.warmUpFailures, sim.tally.peakOverLimit
	r.Moved, r.Plans = float64(sim.tally.movedKeys)/(spans.MaxKey+1), sim.tally.plans
	worth, possible := 0.0, 0.0
	for i := range sim.sc.Routes {
		one := sim.tally.route(&sim.sc.Routes[i])
		r.Routes = append(r.Routes, one.result())
		worth, possible = worth+one.worth(), possible+one.maxWorth()
	}
	r.Worth = worth / max(possible, 1)
	r.Imbalance = sim.imbalance()
	r.Pools = sim.poolResults()
	for _, u := range sim.allUpstreams {
		r.PeakPerSlot = max(r.PeakPerSlot, float64(u.peak)/float64(u.service.Slots))
	}
	for _, s := range sim.tally.seconds {
		r.Seconds = append(r.Seconds, Second{s[onTime], s[late], s[refused], s[failed]})
	}
	return r
}

func (t *routeTally) result() RouteResult {
	n := float64(max(t.calls(), 1))
	share := func(o outcome) float64 { return float64(t.count[o]) / n }
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	quantile := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	return RouteResult{
		Route: t.route.Name, Calls: t.calls(), OnTime: share(onTime), Late: share(late), Refused: share(refused),
		Failed: share(failed), HeldMs: ms(t.heldTime) / float64(max(t.count[refused], 1)), Refusals: float64(t.refusals) / n,
		RefusedAgain: float64(t.refusedAgain) / n, RefusedThrice: float64(t.refusedThrice) / n,
		OthersServed: float64(t.othersServed()) / float64(max(t.calls()-t.greedyCalls, 1)), GreedyRatio: t.greedyRatio(),
		WastedS: t.wastedTime.Seconds(), P50Ms: quantile(50), P99Ms: quantile(99), Worth: t.worth() / max(t.maxWorth(), 1),
	}
}

// imbalance returns the busy time of the busiest owner divided by the mean busy time of all owners.
func (sim *simulation) imbalance() float64 {
	most, sum, n := 0.0, 0.0, 0
	for _, u := range sim.allUpstreams {
		if u.service.Keyed {
			busy := u.busy.Seconds()
			most, sum, n = max(most, busy), sum+busy, n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return most * float64(n) / sum
}

// Spread is a mean with the standard deviation of single values and the standard error.
type Spread struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"deviation"`
	// StandardError is the standard deviation of the mean.
	StandardError float64 `json:"error"`
}

func newSpread(values []float64) Spread {
	n := float64(len(values))
	if n == 0 {
		return Spread{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	s := Spread{Mean: sum / n}
	for _, v := range values {
		s.Deviation += (v - s.Mean) * (v - s.Mean)
	}
	s.Deviation = math.Sqrt(s.Deviation / max(n-1, 1))
	s.StandardError = s.Deviation / math.Sqrt(n)
	return s
}
