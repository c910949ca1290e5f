package rockload

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/bench/check"
	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// imbalanceWindow is the length of the windows over which the load of the upstreams
// is compared.
const imbalanceWindow = 10 * time.Second

// maxPrintedViolations limits the number of violations that a report prints.
const maxPrintedViolations = 10

// report holds the results of one experiment.
type report struct {
	experiment  experiment
	began       time.Time
	summary     Summary
	history     check.Report
	ownership   check.Verdict
	outcomes    []load.Outcome
	runs        []upstream.Run
	before      map[string]string
	after       map[string]string
	unavailable []unavailability
}

// unavailability summarizes how long ranges had no owner during one kind of handover,
// as measured by one entry.
type unavailability struct {
	name          string
	count         int
	p50, p99, max time.Duration
}

// upstreamShares returns a description of each upstream's ranges, share of the hash
// space and state, by upstream ID. It asks the first entry that responds.
func (c *cluster) upstreamShares(ctx context.Context) (map[string]string, error) {
	out := make(map[string]string)
	for i := range c.deployment.Entries {
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
	return nil, fmt.Errorf("no entry answered the status request")
}

// unavailableTimes returns the times without an owner that the entries measured for
// planned and unplanned handovers.
func (c *cluster) unavailableTimes() []unavailability {
	var out []unavailability
	for i := range c.deployment.Entries {
		m, err := c.metrics(i)
		if err != nil {
			continue
		}
		for _, kind := range []string{"planned", "unplanned"} {
			h := m["unavailable_us."+kind]
			if h["count"] == 0 {
				continue
			}
			out = append(out, unavailability{
				name:  c.deployment.Entries[i].Name + " " + kind,
				count: int(h["count"]),
				p50:   microseconds(h["median"]),
				p99:   microseconds(h["99%"]),
				max:   microseconds(h["max"]),
			})
		}
	}
	return out
}

func microseconds(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// window holds the request counts of one time window, by name.
type window struct {
	counts  map[string]int
	total   int
	busiest int
}

func (w *window) add(name string) {
	w.counts[name]++
	w.total++
	w.busiest = max(w.busiest, w.counts[name])
}

// countByWindow counts the runs of the given upstreams by name in each time window. The
// last window is incomplete and is left out.
func countByWindow(runs []upstream.Run, upstreams map[string]bool, length time.Duration, name func(upstream.Run) string) []*window {
	byTime := make(map[int64]*window)
	var last int64
	for _, r := range runs {
		if !upstreams[r.Upstream] {
			continue
		}
		at := r.At / int64(length)
		last = max(last, at)
		if byTime[at] == nil {
			byTime[at] = &window{counts: make(map[string]int)}
		}
		byTime[at].add(name(r))
	}
	delete(byTime, last)
	return slices.Collect(maps.Values(byTime))
}

// imbalances returns the load of the busiest upstream divided by the mean load, for each
// window and in ascending order, if owner determines which upstream a request runs on.
func imbalances(runs []upstream.Run, upstreams map[string]bool, length time.Duration, owner func(upstream.Run) string) []float64 {
	var out []float64
	for _, w := range countByWindow(runs, upstreams, length, owner) {
		out = append(out, float64(w.busiest)*float64(len(upstreams))/float64(w.total))
	}
	slices.Sort(out)
	return out
}

// minImbalances returns a lower bound of the imbalance for each window, in ascending
// order. As a key has only one owner, no placement can go below the share of the hottest
// key times the number of upstreams.
func minImbalances(runs []upstream.Run, upstreams map[string]bool, length time.Duration) []float64 {
	var out []float64
	for _, w := range countByWindow(runs, upstreams, length, func(r upstream.Run) string { return r.Key }) {
		out = append(out, max(1, float64(w.busiest)*float64(len(upstreams))/float64(w.total)))
	}
	slices.Sort(out)
	return out
}

// rendezvousOwner returns a function that assigns each key to the upstream with the
// highest hash of upstream and key (rendezvous hashing). It is the static baseline for
// the imbalance.
func rendezvousOwner(upstreams map[string]bool) func(upstream.Run) string {
	names := slices.Sorted(maps.Keys(upstreams))
	ownerByKey := make(map[string]string)
	return func(r upstream.Run) string {
		if owner, ok := ownerByKey[r.Key]; ok {
			return owner
		}
		best, highest := "", keyspace.Hash(0)
		for _, name := range names {
			if h := keyspace.HashKey(name + "/" + r.Key); best == "" || h > highest {
				best, highest = name, h
			}
		}
		ownerByKey[r.Key] = best
		return best
	}
}

// quantile returns the p-quantile of sorted values, or zero if there are none.
func quantile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func (r *report) print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "\nexperiment %s: %s\n", r.experiment.name, r.experiment.description); err != nil {
		return err
	}
	if err := r.summary.Print(out); err != nil {
		return err
	}
	t := process.NewTableWriter(out)
	for _, service := range servicesOf(r.runs) {
		for _, method := range []struct {
			name  string
			owner func(upstream.Run) string
		}{
			{"", func(run upstream.Run) string { return run.Upstream }},
			{" by rendezvous hashing", rendezvousOwner(service.upstreams)},
		} {
			list := imbalances(r.runs, service.upstreams, imbalanceWindow, method.owner)
			t.Printf("imbalance %s%s\tp50 %.3f\tp99 %.3f\tmax %.3f\n",
				service.name, method.name, quantile(list, 0.5), quantile(list, 0.99), quantile(list, 1))
		}
		bounds := minImbalances(r.runs, service.upstreams, imbalanceWindow)
		t.Printf("imbalance %s, least for its hottest key\tp50 %.3f\tp99 %.3f\t\n",
			service.name, quantile(bounds, 0.5), quantile(bounds, 0.99))
	}
	changed := 0
	for id, before := range r.before {
		if r.after[id] != before {
			changed++
		}
	}
	t.Printf("upstreams with another share\t%d of %d\n", changed, len(r.before))
	for _, u := range r.unavailable {
		t.Printf("unavailable %s\t%d ranges\tp50 %s\tp99 %s\tmax %s\n", u.name, u.count, u.p50, u.p99, u.max)
	}
	t.Printf("history\t%d outcomes against %d runs\n", r.history.Outcomes, r.history.Runs)
	t.Printf("owners as callers saw them\t%s\n", r.ownership)
	t.Printf("violations\t%d\n", len(r.history.Violations))
	for i, v := range r.history.Violations {
		if i < maxPrintedViolations {
			t.Printf("  %s\t%s\n", v.Rule, v.Detail)
		}
	}
	return t.Close()
}

// serviceUpstreams is the set of upstreams that ran requests of one service.
type serviceUpstreams struct {
	name      string
	upstreams map[string]bool
}

// servicesOf groups the upstreams of the runs by service.
func servicesOf(runs []upstream.Run) []serviceUpstreams {
	var out []serviceUpstreams
	for _, r := range runs {
		name := serviceOf(r.Upstream)
		i := slices.IndexFunc(out, func(s serviceUpstreams) bool { return s.name == name })
		if i < 0 {
			out = append(out, serviceUpstreams{name, make(map[string]bool)})
			i = len(out) - 1
		}
		out[i].upstreams[r.Upstream] = true
	}
	return out
}

// serviceOf returns the service in the name of a stand-in upstream: "status" for
// "status-3".
func serviceOf(upstreamName string) string {
	for i := len(upstreamName) - 1; i > 0; i-- {
		if upstreamName[i] == '-' {
			return upstreamName[:i]
		}
	}
	return upstreamName
}
