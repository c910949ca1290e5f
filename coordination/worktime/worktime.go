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
	// mostRuns is how many runs an estimate remembers: more recent ones take the place of
	// older ones. With 30 the error is a sixth where times vary as much as their mean, and
	// an upstream that turns slow shows after some 20 runs.
	mostRuns = 30
	// typicalRuns is how many runs the mean of the service counts for in the estimate of
	// an upstream.
	typicalRuns = 4
	// typicalMost is how many runs the mean of the service remembers.
	typicalMost = 2000
)

// Sum is what was seen of some runs. Runs may be a fraction: a run whose time is partly
// guessed counts for less than one.
type Sum struct {
	Total time.Duration
	Runs  float64
}

// Add returns both together.
func (s Sum) Add(other Sum) Sum { return Sum{Total: s.Total + other.Total, Runs: s.Runs + other.Runs} }

// Mean returns the mean time of a run; zero without any.
func (s Sum) Mean() time.Duration {
	if s.Runs <= 0 {
		return 0
	}
	return time.Duration(float64(s.Total) / s.Runs)
}

// within returns the sum scaled down to so many runs, if it has more.
func (s Sum) within(runs float64) Sum {
	if s.Runs <= runs {
		return s
	}
	return Sum{Total: time.Duration(float64(s.Total) * runs / s.Runs), Runs: runs}
}

// Book holds the estimates of one service. It is not safe for concurrent use.
type Book struct {
	service Sum
	byID    map[string]Sum
}

// NewBook returns a book in which nothing was seen.
func NewBook() *Book { return &Book{byID: make(map[string]Sum)} }

// Add notes runs of an upstream.
func (b *Book) Add(id string, runs Sum) {
	if runs.Runs <= 0 || runs.Total < 0 {
		return
	}
	b.byID[id] = b.byID[id].Add(runs).within(mostRuns)
	b.service = b.service.Add(runs).within(typicalMost)
}

// Typical returns the mean time of a run over all upstreams; zero before any was seen.
func (b *Book) Typical() time.Duration { return b.service.Mean() }

// Mean returns the estimate for an upstream; zero before any run of the service was seen.
func (b *Book) Mean(id string) time.Duration {
	typical := Sum{Total: typicalRuns * b.Typical(), Runs: typicalRuns}
	return b.byID[id].Add(typical).Mean()
}

// Forget drops what was seen of an upstream: it has started again.
func (b *Book) Forget(id string) { delete(b.byID, id) }

// Keep drops all upstreams but those for which keep says so.
func (b *Book) Keep(keep func(id string) bool) {
	maps.DeleteFunc(b.byID, func(id string, _ Sum) bool { return !keep(id) })
}
