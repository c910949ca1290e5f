package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a call ended for its client.
type outcome int

const (
	onTime outcome = iota
	late
	refused
	failed
	outcomes
)

// longestLatency bounds the histograms of latency, in microseconds.
const maxLatencyMicros = 60_000_000

// tally counts what clients got.
type tally struct {
	routes map[string]*routeTally
	// full counts requests that found an upstream without any room.
	fullUpstream int
	// overLimit is the most that came at an upstream in need within a window, over what might.
	peakOverLimit float64
	// fell counts upstreams that broke while they warmed up.
	warmUpFailures int
	// moved counts keys that moved, plans those with moves.
	movedKeys, plans int
	// sent counts tries for services without keys, crossed those of them that left the
	// failure domain.
	sent, crossDomain int
	// seconds are the outcomes by second of the first try.
	seconds [][outcomes]int
}

// routeTally is the part of one route.
type routeTally struct {
	route      *Route
	count      [outcomes]int
	refusals   int
	heldTime   time.Duration
	wastedTime time.Duration
	latency    *hdrhistogram.Histogram
}

func newTally(s *Scenario) *tally {
	t := &tally{routes: make(map[string]*routeTally)}
	for i := range s.Routes {
		r := &s.Routes[i]
		t.routes[r.Name] = &routeTally{route: r, latency: hdrhistogram.New(1, maxLatencyMicros, 2)}
	}
	return t
}

func (t *tally) route(r *Route) *routeTally { return t.routes[r.Name] }

// end counts the end of a call.
func (t *tally) end(c *call, o outcome) {
	one := t.route(c.route)
	one.count[o]++
	if o == refused {
		one.heldTime += c.heldFor
	}
	if o == onTime || o == late {
		// It cannot fail: no client waits for as long as the histogram's bound.
		_ = one.latency.RecordValue((c.sim.elapsed - c.startedAt).Microseconds())
	}
	second := int(c.startedAt / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, [outcomes]int{})
	}
	t.seconds[second][o]++
}

// asked is the number of calls that have ended.
func (t *routeTally) calls() int {
	return t.count[onTime] + t.count[late] + t.count[refused] + t.count[failed]
}

// worth is what the calls brought, owed what they could have.
func (t *routeTally) worth() float64 {
	return t.route.Worth*float64(t.count[onTime]) + t.route.LateWorth*float64(t.count[late])
}

func (t *routeTally) maxWorth() float64 { return t.route.Worth * float64(t.calls()) }
