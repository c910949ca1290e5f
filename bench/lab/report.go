package lab

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
)

// mechanisms are the parts of the decision logic that the ablate command disables.
var mechanisms = []struct {
	name    string
	disable func(*dispatch.Mechanisms)
}{
	{"shares of an upstream's room", func(m *dispatch.Mechanisms) { m.NoShares = true }},
	{"waits only while on time is likely", func(m *dispatch.Mechanisms) { m.NoLikelihood = true }},
	{"hung requests noticed", func(m *dispatch.Mechanisms) { m.NoHung = true }},
	{"cold keys leave room", func(m *dispatch.Mechanisms) { m.NoCold = true }},
	{"hot keys limited", func(m *dispatch.Mechanisms) { m.NoLimits = true }},
	{"importance bounds room", func(m *dispatch.Mechanisms) { m.NoKinds = true }},
	{"work by route", func(m *dispatch.Mechanisms) { m.NoRoutes = true }},
	{"room by caller", func(m *dispatch.Mechanisms) { m.NoCallers = true }},
}

// mean returns the mean over the seeds of one scenario and policy. Some counts are summed instead:
// calls, full upstreams and plans.
func mean(results []*Result, scenario string, p Policy) *Result {
	var of []*Result
	for _, r := range results {
		if r.Scenario == scenario && r.Policy == p {
			of = append(of, r)
		}
	}
	if len(of) == 0 {
		return nil
	}
	n := float64(len(of))
	sum := &Result{Scenario: scenario, Policy: p, Routes: make([]RouteResult, len(of[0].Routes)), Pools: make([]PoolResult, len(of[0].Pools))}
	for _, r := range of {
		sum.Worth += r.Worth / n
		sum.Imbalance += r.Imbalance / n
		sum.PeakPerSlot = max(sum.PeakPerSlot, r.PeakPerSlot)
		sum.FullUpstream += r.FullUpstream
		sum.Moved += r.Moved / n
		sum.Plans += r.Plans
		sum.CrossDomain += r.CrossDomain / n
		sum.WallMs += r.WallMs / n
		for i, one := range r.Routes {
			sum.Routes[i].add(one, n)
		}
		for i, one := range r.Pools {
			sum.Pools[i].add(one, n)
		}
	}
	return sum
}

// add adds one of n results to a mean; Calls is summed.
func (r *RouteResult) add(one RouteResult, n float64) {
	r.Route = one.Route
	r.Calls += one.Calls
	r.OnTime += one.OnTime / n
	r.Late += one.Late / n
	r.Refused += one.Refused / n
	r.Failed += one.Failed / n
	r.HeldMs += one.HeldMs / n
	r.Refusals += one.Refusals / n
	r.RefusedAgain += one.RefusedAgain / n
	r.RefusedThrice += one.RefusedThrice / n
	r.OthersServed += one.OthersServed / n
	r.GreedyRatio += one.GreedyRatio / n
	r.WastedS += one.WastedS / n
	r.P50Ms += one.P50Ms / n
	r.P99Ms += one.P99Ms / n
	r.Worth += one.Worth / n
}

// add adds one of n results to a mean; Arrivals is summed.
func (r *PoolResult) add(one PoolResult, n float64) {
	r.Service = one.Service
	r.Arrivals += one.Arrivals
	r.Rejected += one.Rejected / n
	r.Busiest += one.Busiest / n
	r.Connections += one.Connections / n
	r.Subset += one.Subset / n
}

// printRun prints the means over the seeds as a table.
func printRun(out io.Writer, scenarios []*Scenario, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// The tabwriter keeps its first error and returns it from Flush.
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	row("scenario\tpolicy\troute\tworth\tof limit\ton time\tlate\trefused\tfailed\theld ms\trefusals\tagain\tthrice\twasted s\tp50 ms\tp99 ms\timbalance\tmost/slots\tfull\tmoved\tplans\tms\n")
	for _, sc := range scenarios {
		limit := mean(results, sc.Name, Ideal)
		for _, p := range []Policy{Product, Ideal, Plain} {
			r := mean(results, sc.Name, p)
			row("%s\t%s\tall\t%.3f\t%.3f\t\t\t\t\t\t\t\t\t\t\t\t%.2f\t%.1f\t%d\t%.2f\t%d\t%.0f\n",
				sc.Name, p, r.Worth, r.Worth/limit.Worth, r.Imbalance, r.PeakPerSlot, r.FullUpstream, r.Moved, r.Plans, r.WallMs)
			for i, x := range r.Routes {
				row("\t\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.2f\t%.4f\t%.4f\t%.1f\t%.0f\t%.0f\n",
					x.Route, x.Worth, x.Worth/limit.Routes[i].Worth, x.OnTime, x.Late, x.Refused, x.Failed, x.HeldMs, x.Refusals, x.RefusedAgain, x.RefusedThrice, x.WastedS, x.P50Ms, x.P99Ms)
			}
		}
	}
	row("\n")
	row("scenario\tpolicy\tpool\tarrivals\trejected\tbusiest/mean\topened\tsubset\n")
	for _, sc := range scenarios {
		for _, p := range []Policy{Product, Ideal, Plain} {
			for _, x := range mean(results, sc.Name, p).Pools {
				row("%s\t%s\t%s\t%d\t%.4f\t%.2f\t%.3f\t%.1f\n", sc.Name, p, x.Service, x.Arrivals, x.Rejected, x.Busiest, x.Connections, x.Subset)
			}
		}
	}
	return w.Flush()
}

// Comparison compares two sets of runs over the same seeds.
type Comparison struct {
	A      string  `json:"a"`
	B      string  `json:"b"`
	WorthA float64 `json:"worth_a"`
	WorthB float64 `json:"worth_b"`
	// Difference is the worth of B minus that of A, paired by seed.
	Difference Spread `json:"difference"`
}

func compareResults(nameA, nameB string, a, b []*Result) Comparison {
	c := Comparison{A: nameA, B: nameB}
	var differences []float64
	for i := range a {
		c.WorthA += a[i].Worth / float64(len(a))
		c.WorthB += b[i].Worth / float64(len(b))
		differences = append(differences, b[i].Worth-a[i].Worth)
	}
	c.Difference = newSpread(differences)
	return c
}

func (c Comparison) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%s %.4f\n%s %.4f\ndifference %.4f, deviation of the mean %.4f, of one seed %.4f\n",
		c.A, c.WorthA, c.B, c.WorthB, c.Difference.Mean, c.Difference.StandardError, c.Difference.Deviation)
	return err
}

func printAblation(out io.Writer, rows []Comparison) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tswitched off\tworth with\twithout\tis worth\t+-")
	for _, c := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%+.4f\t%.4f\n", c.B, c.A, c.WorthB, c.WorthA, c.Difference.Mean, c.Difference.StandardError)
	}
	return w.Flush()
}
