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
func (i *Instance) AdvertiseLimit(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = perSecond
}

// NameNone ends that.
func (i *Instance) ClearLimit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = -1
}

// Leave lets the instance say with each answer from now on that it leaves.
func (i *Instance) AnnounceLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

// Rest lets the instance turn requests away from now on and ask for rest in these words, seconds
// as a rule.
func (i *Instance) Overload(retryAfter ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.retryAfter = Overloaded, retryAfter
}

// Resume ends that.
func (i *Instance) Recover() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.retryAfter = Healthy, nil
}

// Arrival is one request that came.
type Arrival struct {
	// Request is its id, as the client sent it.
	RequestID  string
	ReceivedAt time.Time
	// Rest is the time for which the instance wanted nothing more from the sender, by its answer.
	RetryAfter time.Duration
}

// Arrived returns the requests that came, as far as they are remembered.
func (i *Instance) Arrivals() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.arrivals)
}

// Arrivals returns when requests came, as far as it is remembered.
func (i *Instance) ArrivalTimes() []time.Time {
	var out []time.Time
	for _, a := range i.Arrivals() {
		out = append(out, a.ReceivedAt)
	}
	return out
}

// arrived notes a request, and says in its answer what the instance says of itself.
func (i *Instance) recordArrival(id string, h http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.arrivals) == maxArrivals {
		i.arrivals = append(i.arrivals[:0], i.arrivals[maxArrivals/2:]...)
	}
	arrival := Arrival{RequestID: id, ReceivedAt: time.Now()}
	if i.limit >= 0 {
		h.Set(platform.LimitHeader, strconv.FormatFloat(i.limit, 'f', 1, 64))
	}
	if i.leaving {
		h.Set(platform.LeavingHeader, "1")
	}
	if i.mode == Overloaded && len(i.retryAfter) > 0 {
		h[platform.RestHeader] = i.retryAfter
		arrival.RetryAfter = i.maxRetryAfter()
	}
	h.Set(IncarnationHeader, i.incarnation)
	i.arrivals = append(i.arrivals, arrival)
}

// longestRest is the longest of the times that it asks for; those that are no seconds are none.
func (i *Instance) maxRetryAfter() time.Duration {
	maximum := time.Duration(0)
	for _, value := range i.retryAfter {
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
			maximum = max(maximum, time.Duration(seconds*float64(time.Second)))
		}
	}
	return maximum
}
