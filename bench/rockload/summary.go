package rockload

import (
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/process"
)

// Upper bound of recorded latencies in microseconds, and the number of significant
// digits that the histogram keeps.
const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Summary holds the counts and latencies of a load run.
type Summary struct {
	Total      int
	Answered   int
	NotOffered int64
	// Writes and WritesAnswered count the attempts of requests that are not idempotent.
	Writes         int
	WritesAnswered int
	Kinds          map[string]int
	latency        *hdrhistogram.Histogram
}

// Summarize counts the outcomes by kind. Latencies are measured from the time at which
// each request was due, so they include the time that it waited to be sent.
func Summarize(r load.Result) Summary {
	s := Summary{
		NotOffered: r.NotOffered,
		Kinds:      make(map[string]int),
		latency:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for _, o := range r.Outcomes {
		s.Total++
		if !o.Idempotent {
			s.Writes++
		}
		if !o.Idempotent && o.OK() {
			s.WritesAnswered++
		}
		if o.OK() {
			s.Answered++
			_ = s.latency.RecordValue(min(max((o.End-o.Due)/1000, 1), maxLatencyMicros))
			continue
		}
		s.Kinds[o.Kind]++
	}
	return s
}

// Quantile returns the latency at the percentile p, from 0 to 100.
func (s Summary) Quantile(p float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(p)) * time.Microsecond
}

// Print writes the summary as a table.
func (s Summary) Print(out io.Writer) error {
	t := process.NewTableWriter(out)
	t.Printf("requests\t%d\nanswered\t%d\nnot offered\t%d\n", s.Total, s.Answered, s.NotOffered)
	t.Printf("not idempotent\t%d, answered %d\n", s.Writes, s.WritesAnswered)
	kinds := make([]string, 0, len(s.Kinds))
	for k := range s.Kinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		t.Printf("  %s\t%d\n", k, s.Kinds[k])
	}
	for _, p := range []float64{50, 90, 99, 99.9} {
		t.Printf("p%g\t%s\n", p, s.Quantile(p))
	}
	t.Printf("max\t%s\n", time.Duration(s.latency.Max())*time.Microsecond)
	return t.Close()
}
