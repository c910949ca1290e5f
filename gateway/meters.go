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
	// histogramSampleSize is the sample size of a duration histogram: enough for the 99th
	// percentile at 2 KB each.
	histogramSampleSize = 256
	// maxLabels bounds the distinct labels of one family, because operators may add hundreds of
	// routes. Further labels are counted together.
	maxLabels = 64
	// otherLabel replaces the labels beyond the bound.
	otherLabel = "other"
)

// meters holds the metrics of a gateway process. It is safe for concurrent use. The names are
// those of the catalog.
type meters struct {
	registry metrics.Registry
	mu       sync.Mutex
	// labels are the labels in use, by family.
	labels map[string]map[string]bool
}

func newMeters() *meters {
	return &meters{registry: metrics.NewRegistry(), labels: make(map[string]map[string]bool)}
}

// boundedLabel returns the label, or otherLabel if the family has reached its bound.
func (m *meters) boundedLabel(family, label string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.labels[family]
	if used == nil {
		used = make(map[string]bool)
		m.labels[family] = used
	}
	switch {
	case used[label]:
	case len(used) >= maxLabels:
		return otherLabel
	default:
		used[label] = true
	}
	return label
}

// Families of labels that are defined by the configuration.
const (
	routeFamily   = "route"
	serviceFamily = "service"
)

// route fills in a pattern whose first label is a route.
func (m *meters) route(pattern, route string, labels ...string) string {
	return fillPattern(pattern, append([]string{m.boundedLabel(routeFamily, route)}, labels...)...)
}

// service fills in a pattern whose first label is a service.
func (m *meters) service(pattern, service string, labels ...string) string {
	return fillPattern(pattern, append([]string{m.boundedLabel(serviceFamily, service)}, labels...)...)
}

// counter returns the counter of that name and registers it if it does not exist.
func (m *meters) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

func (m *meters) inc(name string) { m.counter(name).Inc(1) }

func (m *meters) add(name string, n int) { m.counter(name).Inc(int64(n)) }

func (m *meters) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// recordDuration adds a duration in microseconds to a histogram.
func (m *meters) recordDuration(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// write prints all counters, gauges and histograms as text, one per line, sorted by name.
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
