package rockload

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rockcroft/rockcroft/bench/check"
	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/standin/upstream"
)

// imbalanceWindow is the time over which load is compared between upstreams.
const imbalanceWindow = 10 * time.Second

// shownViolations bounds the violations printed.
const shownViolations = 10

// report is what one experiment showed.
type report struct {
	experiment  experiment
	began       time.Time
	summary     Summary
	history     check.Report
	outcomes    []load.Outcome
	runs        []upstream.Run
	before      map[string]string
	after       map[string]string
	unavailable []unavailableLine
}

// unavailableLine is one kind of hand-over at one entry.
type unavailableLine struct {
	name          string
	count         int
	p50, p99, max time.Duration
}

// assignment samples the owner of a fixed set of points of each service.
func (c *cluster) assignment(ctx context.Context) (map[string]string, error) {
	out := make(map[string]string)
	for i := range c.m.Entries {
		s, err := c.operator(i).Status(ctx, &operatorpb.StatusRequest{})
		if err != nil {
			continue
		}
		for _, cell := range s.Cells {
			for _, u := range cell.Upstreams {
				out[u.Id] = fmt.Sprintf("%d ranges, share %.4f, %s", u.Ranges, u.Share, u.State)
			}
		}
		return out, nil
	}
	return nil, fmt.Errorf("no entry answers")
}

// unavailable reads the times without an owner that the entries measured.
func (c *cluster) unavailable() []unavailableLine {
	var out []unavailableLine
	for i := range c.m.Entries {
		m, err := c.metrics(i)
		if err != nil {
			continue
		}
		for _, kind := range []string{"planned", "unplanned"} {
			h := m["unavailable_us."+kind]
			if h["count"] == 0 {
				continue
			}
			out = append(out, unavailableLine{
				name:  c.m.Entries[i].Name + " " + kind,
				count: int(h["count"]),
				p50:   micros(h["median"]),
				p99:   micros(h["99%"]),
				max:   micros(h["max"]),
			})
		}
	}
	return out
}

func micros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// imbalances returns busiest over mean for each window of a service. Upstreams
// that ran nothing in a window count unless they ran nothing at all.
func imbalances(runs []upstream.Run, owners map[string]bool, window time.Duration) []float64 {
	byWindow := make(map[int64]map[string]int)
	var last int64
	for _, r := range runs {
		if !owners[r.Upstream] {
			continue
		}
		w := r.At / int64(window)
		last = max(last, w)
		if byWindow[w] == nil {
			byWindow[w] = make(map[string]int)
		}
		byWindow[w][r.Upstream]++
	}
	var out []float64
	for w, counts := range byWindow {
		if w == last {
			continue
		}
		busiest, total := 0, 0
		for _, n := range counts {
			busiest = max(busiest, n)
			total += n
		}
		out = append(out, float64(busiest)*float64(len(owners))/float64(total))
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func (r *report) print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\nexperiment %s: %s\n", r.experiment.name, r.experiment.about)
	if err := r.summary.Print(out); err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, service := range services(r.runs) {
		list := imbalances(r.runs, service.owners, imbalanceWindow)
		_, _ = fmt.Fprintf(t, "imbalance %s\tp50 %.3f\tp99 %.3f\tmax %.3f\n",
			service.name, quantile(list, 0.5), quantile(list, 0.99), quantile(list, 1))
	}
	changed := 0
	for id, was := range r.before {
		if r.after[id] != was {
			changed++
		}
	}
	_, _ = fmt.Fprintf(t, "upstreams with another share\t%d of %d\n", changed, len(r.before))
	for _, u := range r.unavailable {
		_, _ = fmt.Fprintf(t, "unavailable %s\t%d ranges\tp50 %s\tp99 %s\tmax %s\n", u.name, u.count, u.p50, u.p99, u.max)
	}
	_, _ = fmt.Fprintf(t, "history\t%d outcomes against %d runs\n", r.history.Outcomes, r.history.Runs)
	_, _ = fmt.Fprintf(t, "violations\t%d\n", len(r.history.Violations))
	for i, v := range r.history.Violations {
		if i < shownViolations {
			_, _ = fmt.Fprintf(t, "  %s\t%s\n", v.Rule, v.Detail)
		}
	}
	return t.Flush()
}

// serviceOwners are the upstreams that ran requests of one service.
type serviceOwners struct {
	name   string
	owners map[string]bool
}

func services(runs []upstream.Run) []serviceOwners {
	var out []serviceOwners
	for _, r := range runs {
		name := serviceOf(r.Upstream)
		i := slices.IndexFunc(out, func(s serviceOwners) bool { return s.name == name })
		if i < 0 {
			out = append(out, serviceOwners{name, make(map[string]bool)})
			i = len(out) - 1
		}
		out[i].owners[r.Upstream] = true
	}
	return out
}

// serviceOf returns the service part of a stand-in's name, such as "status-3".
func serviceOf(upstreamName string) string {
	for i := len(upstreamName) - 1; i > 0; i-- {
		if upstreamName[i] == '-' {
			return upstreamName[:i]
		}
	}
	return upstreamName
}
