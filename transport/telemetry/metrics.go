// Package telemetry provides the metrics and traces of a process.
package telemetry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

// latencySampleSize is the number of samples kept in a latency histogram.
const latencySampleSize = 4096

// Requests counts requests by service and outcome. It is safe for concurrent use.
type Requests struct{ registry metrics.Registry }

// NewRequests returns counters that are registered in r.
func NewRequests(r metrics.Registry) *Requests { return &Requests{registry: r} }

// RecordResponse counts a response of an upstream and its latency.
func (m *Requests) RecordResponse(service string, latency time.Duration) {
	metrics.GetOrRegisterCounter("requests."+service+".answered", m.registry).Inc(1)
	h := m.registry.GetOrRegister("requests."+service+".latency_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(latency.Microseconds())
	}
}

// RecordError counts an error response. Unknown services share one counter, so that callers cannot
// create counters.
func (m *Requests) RecordError(service string, kind answer.Kind) {
	if kind == answer.UnknownService {
		service = "unknown"
	}
	metrics.GetOrRegisterCounter("requests."+service+"."+string(kind), m.registry).Inc(1)
}

// Counter returns the counter with the given name.
func Counter(r metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r)
}

// SetGauge sets the gauge with the given name.
func SetGauge(r metrics.Registry, name string, value int64) {
	metrics.GetOrRegisterGauge(name, r).Update(value)
}

// Handler serves the metrics of the registry as JSON.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r.GetAll())
	})
}
