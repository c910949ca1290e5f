package rockload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/bench/check"
	"github.com/rockcroft/rockcroft/bench/deploy"
	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/standin/platform"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// action is something done to the deployment during a run.
type action struct {
	at   time.Duration
	what string
	do   func(ctx context.Context, c *cluster) error
}

// experiment is a named load with actions.
type experiment struct {
	name     string
	about    string
	duration time.Duration
	// ratio is the offered load over the capacity of the slots.
	ratio    float64
	zipf     float64
	writes   float64
	hotShift time.Duration
	askAgain int
	actions  []action
}

func victim(c *cluster, i int) string { return c.m.Upstreams[i%len(c.m.Upstreams)].Name }

func killUpstream(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.signal(victim(c, i), syscall.SIGKILL) }
}

func restartUpstream(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.restart(victim(c, i)) }
}

func stopUpstream(i int, sig syscall.Signal) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.signal(victim(c, i), sig) }
}

func signalEntry(i int, sig syscall.Signal) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error {
		return c.signal(c.m.Entries[i%len(c.m.Entries)].Name, sig)
	}
}

func restartEntry(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error {
		return c.restart(c.m.Entries[i%len(c.m.Entries)].Name)
	}
}

func faults(f platform.Faults) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.platformFaults(f) }
}

func slowUpstream(i int, f upstream.Faults) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.upstreamFaults(victim(c, i), f) }
}

func leave(i int) func(context.Context, *cluster) error {
	return func(ctx context.Context, c *cluster) error {
		return c.enactSpec(ctx, intent.Spec{Kind: intent.Leave, Names: []string{victim(c, i)}})
	}
}

// moveKeys moves the hottest keys of the first service to one upstream.
func moveKeys(i int) func(context.Context, *cluster) error {
	return func(ctx context.Context, c *cluster) error {
		var errs []error
		for rank := range 4 {
			errs = append(errs, c.enactSpec(ctx, intent.Spec{
				Kind: intent.Move, ServiceName: c.m.Upstreams[0].Service,
				Key: fmt.Sprintf("%s-key-%d", c.m.Upstreams[0].Service, rank), To: victim(c, i),
			}))
		}
		return errors.Join(errs...)
	}
}

func experiments() []experiment {
	const s = time.Second
	rolling := func() []action {
		var out []action
		for i := range 12 {
			at := time.Duration(5+4*i) * s
			out = append(out,
				action{at, fmt.Sprintf("stop entry %d", i), signalEntry(i, syscall.SIGTERM)},
				action{at + 2*s, fmt.Sprintf("start entry %d", i), restartEntry(i)})
		}
		return out
	}
	return []experiment{
		{
			name: "demo", about: "a planned move, a kill, a hot-key shift", duration: 30 * s,
			ratio: 0.25, zipf: 1.1, writes: 0.3, hotShift: 15 * s, askAgain: 2,
			actions: []action{
				{4 * s, "move the 4 hottest keys", moveKeys(1)},
				{9 * s, "kill an upstream", killUpstream(3)},
				{20 * s, "start it again", restartUpstream(3)},
			},
		},
		{
			name: "steady", about: "steady load, nothing happens", duration: 30 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3,
		},
		{
			name: "hotset", about: "the hot set moves every 60 s", duration: 120 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.2, hotShift: 60 * s,
		},
		{
			name: "rush", about: "a morning rush of idempotent look-ups", duration: 45 * s,
			ratio: 0.8, zipf: 1.2, writes: 0.05,
		},
		{
			name: "leave", about: "one upstream leaves", duration: 30 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3, askAgain: 2,
			actions: []action{{8 * s, "leave", leave(2)}},
		},
		{
			name: "crash", about: "one upstream is killed", duration: 30 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3, askAgain: 2,
			actions: []action{{8 * s, "kill", killUpstream(2)}, {20 * s, "start again", restartUpstream(2)}},
		},
		{
			name: "freeze", about: "one upstream is stopped and continued", duration: 30 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3, askAgain: 2,
			actions: []action{
				{8 * s, "stop", stopUpstream(2, syscall.SIGSTOP)},
				{18 * s, "continue", stopUpstream(2, syscall.SIGCONT)},
			},
		},
		{
			name: "rolling", about: "all entries are replaced one by one", duration: 60 * s,
			ratio: 0.3, zipf: 1.1, writes: 0.3, askAgain: 3, actions: rolling(),
		},
		{
			name: "controller", about: "the controller of the first cell is killed, then frozen", duration: 30 * s,
			ratio: 0.3, zipf: 1.1, writes: 0.3, askAgain: 3,
			actions: []action{
				{6 * s, "kill entry 0", signalEntry(0, syscall.SIGKILL)},
				{7 * s, "kill an upstream of its cell", killUpstream(0)},
				{14 * s, "start entry 0", restartEntry(0)},
				{18 * s, "freeze entry 1", signalEntry(1, syscall.SIGSTOP)},
				{24 * s, "wake entry 1", signalEntry(1, syscall.SIGCONT)},
			},
		},
		{
			name: "slow", about: "one upstream becomes five times slower", duration: 40 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3,
			actions: []action{{8 * s, "slow", slowUpstream(2, upstream.Faults{SlowFactor: 5})}},
		},
		{
			name: "lying", about: "one upstream's health endpoint lies", duration: 25 * s,
			ratio: 0.4, zipf: 1.1, writes: 0.3,
			actions: []action{{8 * s, "lie", slowUpstream(2, upstream.Faults{ReportUnhealthy: true})}},
		},
		{
			name: "overload", about: "twice the capacity", duration: 30 * s,
			ratio: 2, zipf: 1.05, writes: 0.3,
		},
		{
			name: "outage", about: "the platform is down for 20 s; an entry is lost meanwhile", duration: 45 * s,
			ratio: 0.3, zipf: 1.1, writes: 0.3, askAgain: 3,
			actions: []action{
				{6 * s, "platform down", faults(platform.Faults{Down: true})},
				{10 * s, "kill entry 0", signalEntry(0, syscall.SIGKILL)},
				{26 * s, "platform up", faults(platform.Faults{})},
				{30 * s, "start entry 0", restartEntry(0)},
			},
		},
	}
}

func findExperiment(name string) (experiment, error) {
	var names []string
	for _, e := range experiments() {
		if e.name == name {
			return e, nil
		}
		names = append(names, e.name)
	}
	return experiment{}, fmt.Errorf("no experiment %q; there are %s", name, strings.Join(names, ", "))
}

// callerTimeout is how long the experiments' callers wait: some ten times the longest run.
const callerTimeout = 2 * time.Second

// rates divides the wanted load among services by their capacity.
func rates(shape deploy.Shape, e experiment) []load.Service {
	var out []load.Service
	for _, s := range shape.Services {
		mean := (1-e.writes)*s.ReadTime.Seconds() + e.writes*s.WriteTime.Seconds()
		capacity := float64(s.Instances*s.Slots) / mean
		out = append(out, load.Service{
			Name: s.Name, Rate: e.ratio * capacity, Keys: 100_000, Zipf: e.zipf, Writes: e.writes,
			Timeout: jsonc.Duration(callerTimeout),
		})
	}
	return out
}

func listCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "experiments",
		Short: "List the experiments",
		RunE: func(*cobra.Command, []string) error {
			for _, e := range experiments() {
				if _, err := fmt.Fprintf(out, "%-12s %4s  %s\n", e.name, e.duration, e.about); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func waitCommand(io.Writer) *cobra.Command {
	return dirCommand("wait", "Wait until every process of a deployment answers",
		func(ctx context.Context, c *cluster) error { return c.waitReady(ctx) })
}

func createCommand(io.Writer) *cobra.Command {
	return dirCommand("create", "Create the services of a deployment",
		func(ctx context.Context, c *cluster) error { return c.createServices(ctx) })
}

func dirCommand(use, short string, run func(context.Context, *cluster) error) *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := openCluster(dir)
			if err != nil {
				return err
			}
			return run(cmd.Context(), c)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder of the deployment")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// ownersLimit bounds the check of what callers saw.
const ownersLimit = 30 * time.Second

// errViolations makes the command fail when a promise was broken.
var errViolations = errors.New("promises were broken")

func experimentCommand(out io.Writer) *cobra.Command {
	var dir, name string
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run an experiment on a running deployment and print what it showed",
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := findExperiment(name)
			if err != nil {
				return err
			}
			c, err := openCluster(dir)
			if err != nil {
				return err
			}
			report, err := c.run(cmd.Context(), e, out)
			if err != nil {
				return err
			}
			if err := report.print(out); err != nil {
				return err
			}
			if len(report.history.Violations) > 0 || report.owners == check.Violated {
				return errViolations
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder of the deployment")
	cmd.Flags().StringVar(&name, "name", "demo", "name of the experiment")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// run drives one experiment to its end and gathers what it showed.
func (c *cluster) run(ctx context.Context, e experiment, out io.Writer) (*report, error) {
	shape, err := deploy.Find(c.m.Shape)
	if err != nil {
		return nil, err
	}
	conf := load.DefaultSettings()
	for _, entry := range c.m.Entries {
		conf.Entries = append(conf.Entries, entry.Callers)
		conf.Ready = append(conf.Ready, entry.Admin)
	}
	conf.Services = rates(shape, e)
	conf.Duration = jsonc.Duration(e.duration)
	conf.HotShift = jsonc.Duration(e.hotShift)
	conf.AskAgain = e.askAgain
	before, err := c.assignment(ctx)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	go c.act(ctx, e, began, out)
	result := load.Run(ctx, conf)
	outcomes := filepath.Join(c.dir, e.name+".outcomes")
	if err := load.Save(outcomes, result.Outcomes); err != nil {
		return nil, err
	}
	var runs []upstream.Run
	for _, u := range c.m.Upstreams {
		list, err := load.ReadLines[upstream.Run](u.Oracle)
		if err != nil {
			return nil, err
		}
		runs = append(runs, list...)
	}
	r := &report{
		experiment: e,
		began:      began,
		summary:    Summarize(result),
		history:    check.History(result.Outcomes, since(runs, began)),
		owners:     check.Owners(result.Outcomes, ownersLimit),
		outcomes:   result.Outcomes,
		runs:       since(runs, began),
		before:     before,
	}
	r.after, err = c.assignment(ctx)
	if err != nil {
		return nil, err
	}
	r.unavailable = c.unavailable()
	return r, nil
}

func since(runs []upstream.Run, began time.Time) []upstream.Run {
	return slices.DeleteFunc(runs, func(r upstream.Run) bool { return r.At < began.UnixNano() })
}

// act carries out the actions at their times.
func (c *cluster) act(ctx context.Context, e experiment, began time.Time, out io.Writer) {
	for _, a := range e.actions {
		select {
		case <-time.After(time.Until(began.Add(a.at))):
		case <-ctx.Done():
			return
		}
		result := "ok"
		if err := a.do(ctx, c); err != nil {
			result = err.Error()
		}
		_, _ = fmt.Fprintf(out, "%6.1fs  %s: %s\n", time.Since(began).Seconds(), a.what, result)
	}
}
