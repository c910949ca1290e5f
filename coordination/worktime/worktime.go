// Package worktime estimates the mean run time of a request at each upstream of a service, from
// the runs that all gateways have observed.
//
// Among hundreds of gateways, a single one sees a response of a given upstream only every half
// minute, and the time of one run is weak evidence about the upstream. So each gateway reports sums
// over the runs that it has observed. The estimate weighs them by the number of runs: with few runs
// it stays near the mean of the service.
package worktime

import (
	"maps"
	"time"
)

const (
	// maxRuns is how many runs the estimate of an upstream covers: newer runs displace older
	// ones. With 30 the standard error is about a sixth when run times vary as much as their
	// mean, and an upstream that becomes slow shows after some 20 runs.
	maxRuns = 30
	// priorRuns is the weight, in runs, of the service's mean in the estimate of an upstream.
	priorRuns = 4
	// maxSlownessRuns is how many runs the mean slowness of an upstream covers. It is larger
	// than maxRuns because slowness changes only a few times a second, so that several runs
	// see the same value, and because its mean does not depend on the requests of a service.
	maxSlownessRuns = 120
	// maxServiceRuns is how many runs the mean of the service covers.
	maxServiceRuns = 2000
)

// Sum aggregates the observations of some runs. Runs may be fractional: a run whose time is partly
// estimated counts as less than one.
//
// Upstreams that share their machines with others may report their slowness: by what factor a run
// takes longer than usual at the moment. Total is then the time that the runs would have taken at a
// slowness of 1.
type Sum struct {
	Total time.Duration
	Runs  float64
	// Slowness is the sum of the runs' slowness, with 1 for each run without a reported one.
	Slowness float64
}

// Add returns the sum of both.
func (s Sum) Add(other Sum) Sum {
	return Sum{Total: s.Total + other.Total, Runs: s.Runs + other.Runs, Slowness: s.Slowness + other.Slowness}
}

// MeanSlowness returns the mean slowness, or 1 if there are no runs.
func (s Sum) MeanSlowness() float64 {
	if s.Runs <= 0 {
		return 1
	}
	return s.Slowness / s.Runs
}

// Estimate is what is known about one upstream. The zero value means that nothing is known.
type Estimate struct {
	// Work is the mean time of a run, averaged over changes of the slowness.
	Work time.Duration
	// Slowness is the mean slowness.
	Slowness float64
}

// Mean returns the mean time of a run, or zero if there are no runs.
func (s Sum) Mean() time.Duration {
	if s.Runs <= 0 {
		return 0
	}
	return time.Duration(float64(s.Total) / s.Runs)
}

// limitedTo returns the sum scaled down to at most the given number of runs.
func (s Sum) limitedTo(runs float64) Sum {
	if s.Runs <= runs {
		return s
	}
	fraction := runs / s.Runs
	return Sum{Total: time.Duration(float64(s.Total) * fraction), Runs: runs, Slowness: s.Slowness * fraction}
}

// Estimator holds the observations of one service. It is not safe for concurrent use.
type Estimator struct {
	service Sum
	sums    map[string]Sum
	// slownesses covers more runs than sums. Its values have no Total.
	slownesses map[string]Sum
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{sums: make(map[string]Sum), slownesses: make(map[string]Sum)}
}

// Add records runs of an upstream. It ignores a sum without runs or with a negative total.
func (e *Estimator) Add(id string, runs Sum) {
	if runs.Runs <= 0 || runs.Total < 0 {
		return
	}
	if runs.Slowness <= 0 {
		runs.Slowness = runs.Runs
	}
	e.sums[id] = e.sums[id].Add(runs).limitedTo(maxRuns)
	e.service = e.service.Add(runs).limitedTo(maxServiceRuns)
	e.slownesses[id] = e.slownesses[id].Add(Sum{Runs: runs.Runs, Slowness: runs.Slowness}).limitedTo(maxSlownessRuns)
}

// ServiceMean returns the mean time of a run over all upstreams, or zero before any run.
func (e *Estimator) ServiceMean() time.Duration {
	return time.Duration(e.service.MeanSlowness() * float64(e.service.Mean()))
}

// Estimate returns what is known about an upstream. Its Work is zero before any run of the service.
func (e *Estimator) Estimate(id string) Estimate {
	prior := Sum{Total: priorRuns * e.service.Mean(), Runs: priorRuns}
	slowness := e.slowness(id)
	work := e.sums[id].Add(prior).Mean()
	return Estimate{Work: time.Duration(slowness * float64(work)), Slowness: slowness}
}

// Mean returns the estimated mean time of a run at an upstream, or zero before any run of the
// service.
func (e *Estimator) Mean(id string) time.Duration { return e.Estimate(id).Work }

// slowness returns the estimated mean slowness of an upstream.
func (e *Estimator) slowness(id string) float64 {
	prior := Sum{Runs: priorRuns, Slowness: priorRuns * e.service.MeanSlowness()}
	return e.slownesses[id].Add(prior).MeanSlowness()
}

// Remove discards the observations of an upstream, for example after a restart.
func (e *Estimator) Remove(id string) {
	delete(e.sums, id)
	delete(e.slownesses, id)
}

// Retain discards the observations of all upstreams for which keep returns false.
func (e *Estimator) Retain(keep func(id string) bool) {
	removed := func(id string, _ Sum) bool { return !keep(id) }
	maps.DeleteFunc(e.sums, removed)
	maps.DeleteFunc(e.slownesses, removed)
}
