package gateway

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoir is the sample size of a latency histogram: enough for the 99th
	// percentile, 2 KB each.
	histogramSampleSize = 256
	// mostLabels bounds the different labels of one family: operators may add
	// hundreds of routes. Those beyond are counted together.
	maxLabels = 64
	// otherLabel stands for the labels beyond the bound.
	otherLabel = "other"
)

// meters are the counters of a gateway process, for concurrent use. The names are
// those of the catalog.
type meters struct {
	registry metrics.Registry
	mu       sync.Mutex
	// labels are those in use, by pattern prefix.
	labels map[string]map[string]bool
}

func newMeters() *meters {
	return &meters{registry: metrics.NewRegistry(), labels: make(map[string]map[string]bool)}
}

// label returns the label, or the one for all others when the family has enough.
func (m *meters) label(family, label string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.labels[family]
	if known == nil {
		known = make(map[string]bool)
		m.labels[family] = known
	}
	switch {
	case known[label]:
	case len(known) >= maxLabels:
		return otherLabel
	default:
		known[label] = true
	}
	return label
}

// Families of labels that others than this program choose.
const (
	routeFamily   = "route"
	serviceFamily = "service"
)

// route fills a pattern of a route in.
func (m *meters) route(pattern, route string, labels ...string) string {
	return fillPattern(pattern, append([]string{m.label(routeFamily, route)}, labels...)...)
}

// service fills a pattern of a service in.
func (m *meters) service(pattern, service string, labels ...string) string {
	return fillPattern(pattern, append([]string{m.label(serviceFamily, service)}, labels...)...)
}

// counter returns the counter of the name, which is served from now on.
func (m *meters) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

func (m *meters) inc(name string) { m.counter(name).Inc(1) }

func (m *meters) add(name string, n int) { m.counter(name).Inc(int64(n)) }

func (m *meters) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// took notes a time in microseconds.
func (m *meters) recordDuration(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
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
