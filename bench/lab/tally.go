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

// maxLatencyMicros bounds the latency histograms, in microseconds.
const maxLatencyMicros = 60_000_000

// tally collects the measurements of a run.
type tally struct {
	routes map[string]*routeTally
	// fullUpstream counts requests that reached an upstream without a free slot or queue place.
	fullUpstream int
	// ownerArrivals counts requests that reached the owner of a key, ownerRejections those of them
	// for which it had no slot or queue place. keyedTries counts tries for services with keys,
	// refusedWithFreeSlot those refused although the gateway's estimate showed a free slot at the
	// owner, and refusedAtIdleOwner those refused while the owner had one.
	ownerArrivals, ownerRejections, keyedTries, refusedWithFreeSlot, refusedAtIdleOwner int
	// peakOverLimit is the highest ratio, within a window, of the requests that reached an upstream
	// to those that its named limit allows.
	peakOverLimit float64
	// warmUpFailures counts upstreams that failed from overload while they were warming up.
	warmUpFailures int
	// movedKeys counts keys that moved, plans the plans with moves.
	movedKeys, plans int
	// sent counts attempts for services without keys, crossDomain those of them that went to
	// another failure domain.
	sent, crossDomain int
	// seconds are the outcomes by the second of the first try.
	seconds [][outcomes]int
}

// routeTally collects the measurements of one route.
type routeTally struct {
	route    *Route
	count    [outcomes]int
	refusals int
	// greedyCalls counts the calls of greedy callers, greedyServed those of them that were served.
	greedyCalls, greedyServed int
	// refusedAgain counts calls that were refused twice or more, refusedThrice those refused three
	// times or more.
	refusedAgain, refusedThrice int
	heldTime                    time.Duration
	wastedTime                  time.Duration
	latency                     *hdrhistogram.Histogram
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

// end records the end of a call.
func (t *tally) end(c *call, o outcome) {
	one := t.route(c.route)
	one.count[o]++
	if c.greedy() {
		one.greedyCalls++
		if o == onTime || o == late {
			one.greedyServed++
		}
	}
	if o == refused {
		one.heldTime += c.heldFor
	}
	if o == onTime || o == late {
		// This cannot fail: no client waits as long as the upper bound of the histogram.
		_ = one.latency.RecordValue((c.sim.elapsed - c.startedAt).Microseconds())
	}
	second := int(c.startedAt / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, [outcomes]int{})
	}
	t.seconds[second][o]++
}

// addRefusal records the given refusal of a call; the first has the number 1.
func (t *routeTally) addRefusal(number int) {
	t.refusals++
	switch number {
	case 2:
		t.refusedAgain++
	case 3:
		t.refusedThrice++
	}
}

// calls returns the number of calls that have ended.
func (t *routeTally) calls() int {
	return t.count[onTime] + t.count[late] + t.count[refused] + t.count[failed]
}

// othersServed returns the number of served calls of callers that are not greedy.
func (t *routeTally) othersServed() int {
	return t.count[onTime] + t.count[late] - t.greedyServed
}

// greedyRatio returns the number of served calls of a greedy caller over that of another caller.
func (t *routeTally) greedyRatio() float64 {
	greedy, others := t.route.GreedyCallers, t.route.Callers-t.route.GreedyCallers
	if greedy == 0 || others == 0 {
		return 0
	}
	return float64(t.greedyServed) / float64(greedy) / (float64(max(t.othersServed(), 1)) / float64(others))
}

// worth returns the worth that the calls achieved, maxWorth the worth if all were served on time.
func (t *routeTally) worth() float64 {
	return t.route.Worth*float64(t.count[onTime]) + t.route.LateWorth*float64(t.count[late])
}

func (t *routeTally) maxWorth() float64 { return t.route.Worth * float64(t.calls()) }
