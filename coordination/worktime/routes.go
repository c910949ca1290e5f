package worktime

import (
	"math"
	"time"
)

// This file estimates how the work of a service's routes differs. Upstreams are rated by the time of a
// run of mean work, so that the mix of routes that an upstream happens to get does not make it look
// slow or fast.

const (
	// minRouteRuns is how many runs of a route are needed before its factor counts. Run times vary so much
	// that the mean of fewer says little.
	minRouteRuns = 8
	// maxRouteRuns is how many runs the factor of a route covers: newer runs displace older ones. The
	// standard error of the factor is then a few percent.
	maxRouteRuns = 300
	// priorRouteRuns is the weight, in runs, of the factor 1 in the estimate. It also holds the scale:
	// the work of upstreams is measured in units of the factors and the factors in units of that work,
	// so that without it both could drift in opposite directions.
	priorRouteRuns = 10
	// minFactor and maxFactor clamp factors, so that wrong measurements change an estimate by a bounded
	// amount.
	minFactor, maxFactor = 0.2, 5
	// maxRunFactor clamps the factor of a single run: tails reach ten times the mean.
	maxRunFactor = 20
	// minSpread and maxSpread clamp spreads. A spread of 1 is assumed until one is measured.
	minSpread, maxSpread = 0.5, 1.5
	// maxRoutes bounds the routes of a service that are kept, because changes of the configuration
	// rename routes.
	maxRoutes = 128
	// mixWeight is the weight of one request in the mean factor of the present mix: it follows a change
	// of the mix within some hundred requests.
	mixWeight = 0.01
)

// Route is what a gateway has learned about the runs of one route.
type Route struct {
	routes *Routes
	name   string
	// runs is the number of runs; work and expected are the sums of their times and of the times that
	// runs of mean work would have taken, squares that of the squared ratios of both.
	runs, work, expected, squares float64
	// usedAt is the count of requests of the service at the route's last one.
	usedAt uint64
}

// Routes estimates the work of the routes of one service. It is not safe for concurrent use. A nil
// *Routes and a nil *Route stand for routes of equal work.
type Routes struct {
	byName map[string]*Route
	// known is the number of routes with enough runs.
	known    int
	requests uint64
	// mix is the mean factor of recent requests.
	mix float64
}

// NewRoutes returns an estimator without observations.
func NewRoutes() *Routes { return &Routes{byName: make(map[string]*Route), mix: 1} }

// Get returns the route of the given name.
func (r *Routes) Get(name string) *Route {
	r.requests++
	one := r.byName[name]
	if one == nil {
		if len(r.byName) >= maxRoutes {
			r.removeOldest()
		}
		one = &Route{routes: r, name: name}
		r.byName[name] = one
	}
	one.usedAt = r.requests
	return one
}

// Factor returns the factor of the route of the given name, 1 if it is not known.
func (r *Routes) Factor(name string) float64 { return r.byName[name].Factor() }

// Differ reports whether the work of the service's routes is known to differ.
func (r *Routes) Differ() bool { return r.known > 1 }

// removeOldest removes the route that has gone longest without a request.
func (r *Routes) removeOldest() {
	var oldest *Route
	for _, one := range r.byName {
		if oldest == nil || one.usedAt < oldest.usedAt {
			oldest = one
		}
	}
	if oldest.known() {
		r.known--
	}
	delete(r.byName, oldest.name)
	oldest.routes = nil
}

// RouteWork is the work of the runs of a route: the mean as a factor of the service's mean, and the
// standard deviation as a factor of the route's mean.
type RouteWork struct{ Factor, Spread float64 }

// All returns what is known about the routes, by name.
func (r *Routes) All() map[string]RouteWork {
	out := make(map[string]RouteWork, len(r.byName))
	for name, one := range r.byName {
		out[name] = RouteWork{Factor: one.Factor(), Spread: one.Spread()}
	}
	return out
}

// Mix returns the mean factor of the requests that were sent recently.
func (r *Routes) Mix() float64 {
	if r == nil {
		return 1
	}
	return r.mix
}

// known reports whether the route has enough runs.
func (o *Route) known() bool { return o.runs >= minRouteRuns }

// counts reports whether the route differs from the service as a whole: it has enough runs, and so has
// another route.
func (o *Route) counts() bool { return o != nil && o.known() && o.routes != nil && o.routes.known > 1 }

// Factor returns the mean work of the route's runs as a factor of the service's mean.
func (o *Route) Factor() float64 {
	if !o.counts() {
		return 1
	}
	// Sums are divided, not averages of ratios: an upstream whose work is underestimated would count
	// too much.
	mean := o.expected / o.runs
	factor := (o.work + priorRouteRuns*mean) / (o.expected + priorRouteRuns*mean)
	return min(max(factor, minFactor), maxFactor)
}

// Spread returns the standard deviation of the work of the route's runs as a factor of their mean.
func (o *Route) Spread() float64 {
	if !o.counts() {
		return 1
	}
	mean := o.work / o.expected
	variance := max(o.squares/o.runs/(mean*mean)-1, 0)
	spread := (o.runs*math.Sqrt(variance) + priorRouteRuns) / (o.runs + priorRouteRuns)
	return min(max(spread, minSpread), maxSpread)
}

// Send records that a request of the route was sent.
func (o *Route) Send() {
	if o == nil || o.routes == nil {
		return
	}
	o.routes.mix += mixWeight * (o.Factor() - o.routes.mix)
}

// Observe records a run that took the given time where one of mean work was expected to take the other.
// weight is below 1 for a run whose time is partly estimated. It ignores a run without an expected time.
func (o *Route) Observe(work, expected time.Duration, weight float64) {
	if o == nil || o.routes == nil || expected <= 0 || work < 0 {
		return
	}
	before := o.known()
	ratio := min(work.Seconds()/expected.Seconds(), maxRunFactor)
	o.runs += weight
	o.expected += weight * expected.Seconds()
	o.work += weight * ratio * expected.Seconds()
	o.squares += weight * ratio * ratio
	if o.runs > maxRouteRuns {
		keep := maxRouteRuns / o.runs
		o.runs, o.expected, o.work, o.squares = o.runs*keep, o.expected*keep, o.work*keep, o.squares*keep
	}
	if !before && o.known() {
		o.routes.known++
	}
}
