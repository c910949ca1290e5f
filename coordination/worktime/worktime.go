// Package worktime estimates the mean time of one run at each upstream of a service, from
// the runs that all gateways have seen.
//
// Among hundreds of gateways one alone sees an upstream answer every half minute, and the
// time of a single run says nothing of an upstream. So each reports sums of what it has seen,
// and the estimate tells from how many runs it speaks: with few it stays near the mean of the
// service.
package worktime

import (
	"maps"
	"time"
)

const (
	// maxRuns is how many runs an estimate remembers: more recent ones take the place of
	// older ones. With 30 the error is a sixth where times vary as much as their mean, and
	// an upstream that turns slow shows after some 20 runs.
	maxRuns = 30
	// priorRuns is how many runs the mean of the service counts for in the estimate of
	// an upstream.
	priorRuns = 4
	// maxSlownessRuns is how many runs the mean slowness of an upstream remembers: it changes
	// some times a second, so several runs see the same, and what it is in the mean does not
	// change with a service's requests.
	maxSlownessRuns = 120
	// maxServiceRuns is how many runs the mean of the service remembers.
	maxServiceRuns = 2000
)

// Sum is what was seen of some runs. Runs may be a fraction: a run whose time is partly
// guessed counts for less than one.
//
// Upstreams that share their machines with others may say how many times as long as usual a
// run takes them at the moment, their slowness. Total is then what the runs would have taken
// at a slowness of 1.
type Sum struct {
	Total time.Duration
	Runs  float64
	// Slowness is the sum of the slownesses, 1 for a run with which none was said.
	Slowness float64
}

// Add returns both together.
func (s Sum) Add(other Sum) Sum {
	return Sum{Total: s.Total + other.Total, Runs: s.Runs + other.Runs, Slowness: s.Slowness + other.Slowness}
}

// MeanSlowness returns the mean slowness; 1 without any run.
func (s Sum) MeanSlowness() float64 {
	if s.Runs <= 0 {
		return 1
	}
	return s.Slowness / s.Runs
}

// Estimate is what is known of one upstream. The zero value says that nothing is.
type Estimate struct {
	// Work is the mean time of a run, over the upstream's slow and fast moments.
	Work time.Duration
	// Slowness is the mean of its slowness.
	Slowness float64
}

// Mean returns the mean time of a run; zero without any.
func (s Sum) Mean() time.Duration {
	if s.Runs <= 0 {
		return 0
	}
	return time.Duration(float64(s.Total) / s.Runs)
}

// limitedTo returns the sum scaled down to so many runs, if it has more.
func (s Sum) limitedTo(runs float64) Sum {
	if s.Runs <= runs {
		return s
	}
	part := runs / s.Runs
	return Sum{Total: time.Duration(float64(s.Total) * part), Runs: runs, Slowness: s.Slowness * part}
}

// Estimator holds the estimates of one service. It is not safe for concurrent use.
type Estimator struct {
	service Sum
	sums    map[string]Sum
	// slownesses are the slownesses, remembered for longer, in Sums without a total.
	slownesses map[string]Sum
}

// NewEstimator returns a book in which nothing was seen.
func NewEstimator() *Estimator { return &Estimator{sums: make(map[string]Sum), slownesses: make(map[string]Sum)} }

// Add notes runs of an upstream.
func (b *Estimator) Add(id string, runs Sum) {
	if runs.Runs <= 0 || runs.Total < 0 {
		return
	}
	if runs.Slowness <= 0 {
		runs.Slowness = runs.Runs
	}
	b.sums[id] = b.sums[id].Add(runs).limitedTo(maxRuns)
	b.service = b.service.Add(runs).limitedTo(maxServiceRuns)
	b.slownesses[id] = b.slownesses[id].Add(Sum{Runs: runs.Runs, Slowness: runs.Slowness}).limitedTo(maxSlownessRuns)
}

// ServiceMean returns the mean time of a run over all upstreams; zero before any was seen.
func (b *Estimator) ServiceMean() time.Duration {
	return time.Duration(b.service.MeanSlowness() * float64(b.service.Mean()))
}

// Estimate returns what is known of an upstream; zero before any run of the service was seen.
func (b *Estimator) Estimate(id string) Estimate {
	typical := Sum{Total: priorRuns * b.service.Mean(), Runs: priorRuns}
	slowness := b.slowness(id)
	work := b.sums[id].Add(typical).Mean()
	return Estimate{Work: time.Duration(slowness * float64(work)), Slowness: slowness}
}

// Mean returns the mean time of a run at an upstream; zero before any run of the service was
// seen.
func (b *Estimator) Mean(id string) time.Duration { return b.Estimate(id).Work }

// slowness returns the mean slowness of an upstream.
func (b *Estimator) slowness(id string) float64 {
	typical := Sum{Runs: priorRuns, Slowness: priorRuns * b.service.MeanSlowness()}
	return b.slownesses[id].Add(typical).MeanSlowness()
}

// Remove drops what was seen of an upstream: it has started again.
func (b *Estimator) Remove(id string) {
	delete(b.sums, id)
	delete(b.slownesses, id)
}

// Retain drops all upstreams but those for which keep says so.
func (b *Estimator) Retain(keep func(id string) bool) {
	gone := func(id string, _ Sum) bool { return !keep(id) }
	maps.DeleteFunc(b.sums, gone)
	maps.DeleteFunc(b.slownesses, gone)
}
