package instance

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// This file lets the instance say with its answers what it wants, and remembers what came.

// Name lets the instance name a limit, in requests a second, with each answer from now on.
func (i *Instance) Name(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = perSecond
}

// NameNone ends that.
func (i *Instance) NameNone() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = -1
}

// Leave lets the instance say with each answer from now on that it leaves.
func (i *Instance) Leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

// Rest lets the instance turn requests away from now on and ask for rest in these words, seconds
// as a rule.
func (i *Instance) Rest(asked ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.rest = Sheds, asked
}

// Resume ends that.
func (i *Instance) Resume() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.rest = Serves, nil
}

// Arrival is one request that came.
type Arrival struct {
	// Request is its id, as the client sent it.
	Request string
	At      time.Time
	// Rest is the time for which the instance wanted nothing more from the sender, by its answer.
	Rest time.Duration
}

// Arrived returns the requests that came, as far as they are remembered.
func (i *Instance) Arrived() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.arrivals)
}

// Arrivals returns when requests came, as far as it is remembered.
func (i *Instance) Arrivals() []time.Time {
	var out []time.Time
	for _, a := range i.Arrived() {
		out = append(out, a.At)
	}
	return out
}

// arrived notes a request, and says in its answer what the instance says of itself.
func (i *Instance) arrived(id string, h http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.arrivals) == mostArrivals {
		i.arrivals = append(i.arrivals[:0], i.arrivals[mostArrivals/2:]...)
	}
	now := Arrival{Request: id, At: time.Now()}
	if i.limit >= 0 {
		h.Set(platform.LimitHeader, strconv.FormatFloat(i.limit, 'f', 1, 64))
	}
	if i.leaving {
		h.Set(platform.LeavingHeader, "1")
	}
	if i.mode == Sheds && len(i.rest) > 0 {
		h[platform.RetryAfterHeader] = i.rest
		now.Rest = i.longestRest()
	}
	h.Set(StartHeader, i.start)
	i.arrivals = append(i.arrivals, now)
}

// longestRest is the longest of the times that it asks for; those that are no seconds are none.
func (i *Instance) longestRest() time.Duration {
	longest := time.Duration(0)
	for _, text := range i.rest {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds > 0 {
			longest = max(longest, time.Duration(seconds*float64(time.Second)))
		}
	}
	return longest
}
