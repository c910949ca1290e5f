package lab

import (
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Policy names who decides in a run.
type Policy string

// The policies.
const (
	// Product runs the product's own decisions.
	Product Policy = "product"
	// Ideal knows everything at once.
	Ideal Policy = "ideal"
	// Plain takes the least in flight and refuses at the slots.
	Plain Policy = "plain"
)

// RouteResult is what the clients of one route got.
type RouteResult struct {
	Route string `json:"route"`
	Calls int    `json:"asked"`
	// The shares of OnTime, Late, Refused and Failed are of Asked.
	OnTime  float64 `json:"on_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// HeldMs is how long the refused were held by gateways, as a mean.
	HeldMs float64 `json:"held_ms"`
	// Refusals are those of all tries, for each call.
	Refusals float64 `json:"refusals_per_call"`
	// WastedS is the upstream time spent on answers that nobody awaited.
	WastedS float64 `json:"wasted_s"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	// Worth is the part of what the calls could have brought.
	Worth float64 `json:"worth"`
}

// Result is what one run showed.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   Policy        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Routes   []RouteResult `json:"routes"`
	Worth    float64       `json:"worth"`
	// Imbalance is the utilization of the busiest owner over the mean one.
	Imbalance float64 `json:"imbalance"`
	// MostOverSlots is the most that was at one upstream, over its slots.
	PeakPerSlot float64 `json:"most_over_slots"`
	// Crossed is the part of the tries for services without keys that went to an upstream
	// of another failure domain than the gateway's.
	CrossDomain float64 `json:"crossed"`
	// Full counts requests that found an upstream without any room.
	FullUpstream int `json:"full"`
	// Fell counts upstreams that broke while they warmed up.
	WarmUpFailures int `json:"fell"`
	// OverLimit is the most that came at an upstream which named a limit, over what might come; up
	// to 1 is within it.
	PeakOverLimit float64 `json:"over_limit"`
	// Moved is how many times all keys have moved, Plans how many plans had moves.
	Moved   float64  `json:"moved"`
	Plans   int      `json:"plans"`
	WallMs  float64  `json:"wall_ms"`
	Seconds []Second `json:"seconds"`
}

// Second is how the calls ended that began in one second.
type Second struct {
	OnTime  int `json:"on_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Play runs the scenario once.
func Simulate(sc *Scenario, p Policy, seed uint64) *Result {
	began := time.Now()
	sim := newSimulation(sc, seed)
	switch p {
	case Ideal:
		sim.policy = newIdeal(sim)
		sim.plansWithTrueSpeeds = true
	case Plain:
		sim.policy = newPlain(sim)
	default:
		sim.policy = newProduct(sim, seed)
	}
	sim.runScenario()
	r := sim.result(p, seed)
	r.WallMs = float64(time.Since(began).Microseconds()) / 1000
	return r
}

// Job is one run to be played.
type Job struct {
	Scenario *Scenario
	Policy   Policy
	Seed     uint64
}

// PlayAll plays jobs on half of the processors and returns the results in their order.
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
		WastedS: t.wastedTime.Seconds(), P50Ms: quantile(50), P99Ms: quantile(99), Worth: t.worth() / max(t.maxWorth(), 1),
	}
}

// imbalance compares the busiest owner with the mean one, each over its capacity.
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

// Spread is a mean with the deviation of single values and of the mean.
type Spread struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"deviation"`
	// Error is the deviation of the mean.
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
