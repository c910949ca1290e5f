package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// reservoir is the sample size of a latency histogram.
const reservoir = 1024

// meters are the counters of a gateway process.
type meters struct{ registry metrics.Registry }

func newMeters() *meters { return &meters{registry: metrics.NewRegistry()} }

func (m *meters) inc(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

func (m *meters) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// took notes a latency in microseconds.
func (m *meters) took(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(reservoir))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}
