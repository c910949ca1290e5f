// Package telemetry holds the counters, traces and logs of a process.
package telemetry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

// latencySampleSize is the sample size of a latency histogram.
const latencySampleSize = 4096

// Requests counts requests by service and outcome. It is safe for concurrent
// use.
type Requests struct{ registry metrics.Registry }

// NewRequests returns counters in the registry.
func NewRequests(r metrics.Registry) *Requests { return &Requests{registry: r} }

// RecordAnswer counts an upstream's answer that latency the given time.
func (m *Requests) RecordAnswer(service string, latency time.Duration) {
	metrics.GetOrRegisterCounter("requests."+service+".answered", m.registry).Inc(1)
	h := m.registry.GetOrRegister("requests."+service+".latency_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(latency.Microseconds())
	}
}

// RecordError counts an error answer. Unknown services are counted together, so that
// callers cannot make counters up.
func (m *Requests) RecordError(service string, kind answer.Kind) {
	if kind == answer.UnknownService {
		service = "unknown"
	}
	metrics.GetOrRegisterCounter("requests."+service+"."+string(kind), m.registry).Inc(1)
}

// Counter returns the named counter.
func Counter(r metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r)
}

// SetGauge sets the named gauge.
func SetGauge(r metrics.Registry, name string, value int64) {
	metrics.GetOrRegisterGauge(name, r).Update(value)
}

// Handler serves the registry as JSON.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r.GetAll())
	})
}
