package gateway

import (
	"fmt"
	"io"
	"sort"
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

// write prints all counters, gauges and histograms as text, one value a line,
// in the order of their names.
func (m *meters) write(w io.Writer) {
	var lines []string
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			p := s.Percentiles([]float64{0.5, 0.9, 0.99})
			lines = append(lines, fmt.Sprintf("%s count %d p50 %.0f p90 %.0f p99 %.0f max %d", name, s.Count(), p[0], p[1], p[2], s.Max()))
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return
		}
	}
}
