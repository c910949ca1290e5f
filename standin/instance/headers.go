package instance

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// This file controls what the instance states in the headers of its responses, and records
// the requests that arrive.

// AdvertiseLimit makes each response from now on state a limit, in requests per second.
func (i *Instance) AdvertiseLimit(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = perSecond
}

// ClearLimit makes responses state no limit any longer.
func (i *Instance) ClearLimit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = -1
}

// AnnounceLeaving makes each response from now on announce that the instance is leaving.
func (i *Instance) AnnounceLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

// Overload makes the instance reject requests from now on, with the given values of
// platform.RetryAfterHeader. Valid values are numbers of seconds.
func (i *Instance) Overload(retryAfter ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.retryAfter = Overloaded, retryAfter
}

// Recover ends the overload, so that the instance serves requests again.
func (i *Instance) Recover() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.retryAfter = Healthy, nil
}

// Arrival is a request that the instance received.
type Arrival struct {
	// RequestID is the ID of the request, as received.
	RequestID  string
	ReceivedAt time.Time
	// RetryAfter is how long the response asked the sender to send nothing.
	RetryAfter time.Duration
}

// Arrivals returns the requests received, as far as they are remembered.
func (i *Instance) Arrivals() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.arrivals)
}

// ArrivalTimes returns the times at which requests were received, as far as they are
// remembered.
func (i *Instance) ArrivalTimes() []time.Time {
	var out []time.Time
	for _, a := range i.Arrivals() {
		out = append(out, a.ReceivedAt)
	}
	return out
}

// recordArrival records a request and sets the headers of its response in which the instance
// states its limit, its leaving, its overload and its incarnation.
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
		h[platform.RetryAfterHeader] = i.retryAfter
		arrival.RetryAfter = i.maxRetryAfter()
	}
	h.Set(IncarnationHeader, i.incarnation)
	i.arrivals = append(i.arrivals, arrival)
}

// maxRetryAfter returns the longest of the times in retryAfter. Values that are not numbers of
// seconds are ignored.
func (i *Instance) maxRetryAfter() time.Duration {
	maximum := time.Duration(0)
	for _, value := range i.retryAfter {
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
			maximum = max(maximum, time.Duration(seconds*float64(time.Second)))
		}
	}
	return maximum
}
