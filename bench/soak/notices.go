package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file checks which requests upstreams receive after they announce that they leave or
// ask for rest, a time without requests. It checks what gateways guarantee and does not depend
// on how they implement it.

const (
	// restGrace is how long a gateway may continue to send requests after it was asked for
	// rest; maxRequestsInRest is how many it may send from then to the end of the rest.
	restGrace         = 500 * time.Millisecond
	maxRequestsInRest = 2
	// pathFaultMargin is how long before and after a fault on an upstream's network path
	// its responses may be lost.
	pathFaultMargin = 3 * time.Second
)

// restValues are the Retry-After values with which upstreams ask for rest: seconds, several
// values, zero, and values that are not a number of seconds.
var restValues = [][]string{{"0.7"}, {"1"}, {"3"}, {"10"}, {"1", "2.5"}, {"0"}, {"-1"}, {"soon"}, {"Fri, 31 Dec 1999 23:59:59 GMT"}}

// interval is the time during which a fault lasted.
type interval struct{ from, to time.Time }

// faultIntervals records when faults of one process or network path lasted. It is safe for
// concurrent use.
type faultIntervals struct {
	mu        sync.Mutex
	intervals []interval
}

// record runs a fault and records when it began and ended.
func (f *faultIntervals) record(fault func()) {
	from := time.Now()
	fault()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intervals = append(f.intervals, interval{from, time.Now()})
}

// overlaps reports whether a fault overlaps the time between from and to.
func (f *faultIntervals) overlaps(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.intervals {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// sentRequest is a request from its caller's point of view.
type sentRequest struct {
	gateway *gateway
	sent    time.Time
	// leavingSeen is when a response arrived that announces that the upstream leaves, or
	// zero if there was none. incarnation identifies the upstream process that sent it.
	leavingSeen time.Time
	incarnation string
	// outcome is empty until the request has ended.
	outcome outcome
}

// requestLog records the requests that callers sent, by request ID. It is safe for
// concurrent use.
type requestLog struct {
	mu   sync.Mutex
	byID map[string]sentRequest
}

func newRequestLog() *requestLog { return &requestLog{byID: make(map[string]sentRequest)} }

func (l *requestLog) add(id string, request sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = request
}

func (l *requestLog) setOutcome(id string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.byID[id]
	request.outcome = o
	l.byID[id] = request
}

// forEach calls visit for each request.
func (l *requestLog) forEach(visit func(sentRequest)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range l.byID {
		visit(request)
	}
}

// forwardMargin is how long after the end of a cut a gateway may still forward requests.
const forwardMargin = time.Second

// mayBeForwarded reports whether a request that reached an upstream at the given time may have been sent
// by another gateway, because this one reached no upstream.
func (g *gateway) mayBeForwarded(at time.Time) bool {
	return g.cuts.overlaps(at.Add(-forwardMargin), at.Add(time.Millisecond))
}

// violations returns the violations of what gateways guarantee to an upstream. Requests that another
// gateway may have sent are left out, as that one may not have heard of the upstream's notices.
func (l *requestLog) violations(u *upstream, store *faultIntervals) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byGateway := make(map[*gateway][]instance.Arrival)
	for _, arrival := range u.Arrivals() {
		if g := l.byID[arrival.RequestID].gateway; g != nil && !g.mayBeForwarded(arrival.ReceivedAt) {
			byGateway[g] = append(byGateway[g], arrival)
		}
	}
	var out []string
	for g, arrivals := range byGateway {
		out = append(out, l.requestsAfterLeaving(u, g, arrivals)...)
		out = append(out, l.requestsAfterRemoval(u, g, arrivals, store)...)
		out = append(out, requestsDuringRest(u, g, arrivals)...)
	}
	return out
}

// requestsAfterLeaving returns the requests that a gateway sent to an upstream later than
// upstreamDrain after the upstream had announced to it that it leaves.
func (l *requestLog) requestsAfterLeaving(u *upstream, g *gateway, arrivals []instance.Arrival) []string {
	var leavingSeen time.Time
	for _, arrival := range arrivals {
		request := l.byID[arrival.RequestID]
		if request.incarnation == u.Incarnation() && !request.leavingSeen.IsZero() && (leavingSeen.IsZero() || request.leavingSeen.Before(leavingSeen)) {
			leavingSeen = request.leavingSeen
		}
	}
	var out []string
	for _, arrival := range arrivals {
		after := l.byID[arrival.RequestID].sent.Sub(leavingSeen)
		if !leavingSeen.IsZero() && after > upstreamDrain && !g.faults.overlaps(leavingSeen, arrival.ReceivedAt) {
			out = append(out, fmt.Sprintf("request %s reached %s by %s %s after that had told that it leaves", arrival.RequestID, u.ID, g.name, after))
		}
	}
	return out
}

// requestsDuringRest returns the rests during which a gateway sent an upstream more than
// maxRequestsInRest requests.
func requestsDuringRest(u *upstream, g *gateway, arrivals []instance.Arrival) []string {
	var out []string
	for _, restStart := range arrivals {
		ends := restStart.ReceivedAt.Add(restStart.RetryAfter)
		if restStart.RetryAfter <= restGrace || g.faults.overlaps(restStart.ReceivedAt, ends) || u.pathFaults.overlaps(restStart.ReceivedAt.Add(-pathFaultMargin), ends.Add(pathFaultMargin)) {
			continue
		}
		count := 0
		for _, arrival := range arrivals {
			if arrival.ReceivedAt.After(restStart.ReceivedAt.Add(restGrace)) && arrival.ReceivedAt.Before(ends) {
				count++
			}
		}
		if count > maxRequestsInRest {
			out = append(out, fmt.Sprintf("%s asked %s for %s of rest and got %d requests in it", u.ID, g.name, restStart.RetryAfter, count))
		}
	}
	return out
}
