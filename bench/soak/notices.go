package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file lets upstreams say that they leave and ask for rest, and checks what they get. It knows
// the promises only, and nothing of how gateways keep them.

const (
	// restGrace is how long after it was asked for rest a gateway may go on, mostInRest how many
	// requests it may send from then to the end of the rest.
	restGrace  = 500 * time.Millisecond
	mostInRest = 2
	// cutMemory is how long before and after a fault of an upstream's path its answers may be
	// lost.
	cutMemory = 3 * time.Second
)

// rests are what upstreams ask for: seconds, several of them, none, and what is no time.
var rests = [][]string{{"0.7"}, {"1"}, {"3"}, {"10"}, {"1", "2.5"}, {"0"}, {"-1"}, {"soon"}, {"Fri, 31 Dec 1999 23:59:59 GMT"}}

// span is a time in which a fault lasted.
type span struct{ from, to time.Time }

// faultTimes are when faults of one thing lasted. They are safe for concurrent use.
type faultTimes struct {
	mu    sync.Mutex
	spans []span
}

// during carries a fault out and notes when it lasted.
func (f *faultTimes) during(fault func()) {
	from := time.Now()
	fault()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, span{from, time.Now()})
}

// any reports whether a fault lasted in a part of a time.
func (f *faultTimes) any(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// asked is one request as its client saw it.
type asked struct {
	gateway *gateway
	sent    time.Time
	// told is when its answer came that tells that the upstream leaves; zero for none. by tells
	// which start of an upstream made the answer.
	told time.Time
	by   string
}

// asks keeps what clients have asked, by request. It is safe for concurrent use.
type asks struct {
	mu   sync.Mutex
	byID map[string]asked
}

func newAsks() *asks { return &asks{byID: make(map[string]asked)} }

func (a *asks) add(id string, one asked) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = one
}

// broken returns which promises were not kept to an upstream.
func (a *asks) broken(u *upstream) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	byGateway := make(map[*gateway][]instance.Arrival)
	for _, one := range u.Arrivals() {
		if g := a.byID[one.RequestID].gateway; g != nil {
			byGateway[g] = append(byGateway[g], one)
		}
	}
	var out []string
	for g, arrivals := range byGateway {
		out = append(out, a.lateAt(u, g, arrivals)...)
		out = append(out, inRests(u, g, arrivals)...)
	}
	return out
}

// lateAt returns the requests that a gateway sent to an upstream which had told it that it leaves.
func (a *asks) lateAt(u *upstream, g *gateway, arrivals []instance.Arrival) []string {
	var told time.Time
	for _, one := range arrivals {
		answer := a.byID[one.RequestID]
		if answer.by == u.Incarnation() && !answer.told.IsZero() && (told.IsZero() || answer.told.Before(told)) {
			told = answer.told
		}
	}
	var out []string
	for _, one := range arrivals {
		after := a.byID[one.RequestID].sent.Sub(told)
		if !told.IsZero() && after > upstreamDrain && !g.faults.any(told, one.ReceivedAt) {
			out = append(out, fmt.Sprintf("request %s reached %s by %s %s after that had told that it leaves", one.RequestID, u.ID, g.name, after))
		}
	}
	return out
}

// inRests returns the rests in which a gateway sent an upstream more than it may.
func inRests(u *upstream, g *gateway, arrivals []instance.Arrival) []string {
	var out []string
	for _, asked := range arrivals {
		ends := asked.ReceivedAt.Add(asked.RetryAfter)
		if asked.RetryAfter <= restGrace || g.faults.any(asked.ReceivedAt, ends) || u.cuts.any(asked.ReceivedAt.Add(-cutMemory), ends.Add(cutMemory)) {
			continue
		}
		count := 0
		for _, one := range arrivals {
			if one.ReceivedAt.After(asked.ReceivedAt.Add(restGrace)) && one.ReceivedAt.Before(ends) {
				count++
			}
		}
		if count > mostInRest {
			out = append(out, fmt.Sprintf("%s asked %s for %s of rest and got %d requests in it", u.ID, g.name, asked.RetryAfter, count))
		}
	}
	return out
}
