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

// action is an operation on the deployment at a given time of a run.
type action struct {
	at    time.Duration
	label string
	do    func(ctx context.Context, c *cluster) error
}

// experiment is a named load profile with the actions to run during it.
type experiment struct {
	name        string
	description string
	duration    time.Duration
	// loadRatio is the offered load divided by the capacity of the upstreams' slots.
	loadRatio  float64
	zipf       float64
	writeShare float64
	hotShift   time.Duration
	maxRetries int
	actions    []action
}

// upstreamName returns the name of the upstream with the given index, modulo their
// number.
func upstreamName(c *cluster, i int) string {
	return c.deployment.Upstreams[i%len(c.deployment.Upstreams)].Name
}

func killUpstream(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.signal(upstreamName(c, i), syscall.SIGKILL) }
}

func restartUpstream(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.restart(upstreamName(c, i)) }
}

func signalUpstream(i int, sig syscall.Signal) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.signal(upstreamName(c, i), sig) }
}

func signalEntry(i int, sig syscall.Signal) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error {
		return c.signal(c.deployment.Entries[i%len(c.deployment.Entries)].Name, sig)
	}
}

func restartEntry(i int) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error {
		return c.restart(c.deployment.Entries[i%len(c.deployment.Entries)].Name)
	}
}

func setPlatformFaults(f platform.Faults) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.platformFaults(f) }
}

func setUpstreamFaults(i int, f upstream.Faults) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error { return c.upstreamFaults(upstreamName(c, i), f) }
}

func leaveUpstream(i int) func(context.Context, *cluster) error {
	return func(ctx context.Context, c *cluster) error {
		return c.applySpec(ctx, intent.Spec{Kind: intent.Leave, Names: []string{upstreamName(c, i)}})
	}
}

// moveHottestKeys moves the four hottest keys of the first service to one upstream.
func moveHottestKeys(i int) func(context.Context, *cluster) error {
	return func(ctx context.Context, c *cluster) error {
		var errs []error
		for rank := range 4 {
			errs = append(errs, c.applySpec(ctx, intent.Spec{
				Kind: intent.Move, ServiceName: c.deployment.Upstreams[0].Service,
				Key: fmt.Sprintf("%s-key-%d", c.deployment.Upstreams[0].Service, rank), To: upstreamName(c, i),
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
			name: "demo", description: "a planned move, a kill, a hot-key shift", duration: 30 * s,
			loadRatio: 0.25, zipf: 1.1, writeShare: 0.3, hotShift: 15 * s, maxRetries: 2,
			actions: []action{
				{4 * s, "move the 4 hottest keys", moveHottestKeys(1)},
				{9 * s, "kill an upstream", killUpstream(3)},
				{20 * s, "start it again", restartUpstream(3)},
			},
		},
		{
			name: "steady", description: "steady load, nothing happens", duration: 30 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3,
		},
		{
			name: "hotset", description: "the hot set moves every 60 s", duration: 120 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.2, hotShift: 60 * s,
		},
		{
			name: "rush", description: "a morning rush of idempotent look-ups", duration: 45 * s,
			loadRatio: 0.8, zipf: 1.2, writeShare: 0.05,
		},
		{
			name: "leave", description: "one upstream leaves", duration: 30 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3, maxRetries: 2,
			actions: []action{{8 * s, "leave", leaveUpstream(2)}},
		},
		{
			name: "crash", description: "one upstream is killed", duration: 30 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3, maxRetries: 2,
			actions: []action{{8 * s, "kill", killUpstream(2)}, {20 * s, "start again", restartUpstream(2)}},
		},
		{
			name: "freeze", description: "one upstream is stopped and continued", duration: 30 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3, maxRetries: 2,
			actions: []action{
				{8 * s, "stop", signalUpstream(2, syscall.SIGSTOP)},
				{18 * s, "continue", signalUpstream(2, syscall.SIGCONT)},
			},
		},
		{
			name: "rolling", description: "all entries are replaced one by one", duration: 60 * s,
			loadRatio: 0.3, zipf: 1.1, writeShare: 0.3, maxRetries: 3, actions: rolling(),
		},
		{
			name: "controller", description: "the controller of the first cell is killed, then frozen", duration: 30 * s,
			loadRatio: 0.3, zipf: 1.1, writeShare: 0.3, maxRetries: 3,
			actions: []action{
				{6 * s, "kill entry 0", signalEntry(0, syscall.SIGKILL)},
				{7 * s, "kill an upstream of its cell", killUpstream(0)},
				{14 * s, "start entry 0", restartEntry(0)},
				{18 * s, "freeze entry 1", signalEntry(1, syscall.SIGSTOP)},
				{24 * s, "wake entry 1", signalEntry(1, syscall.SIGCONT)},
			},
		},
		{
			name: "slow", description: "one upstream becomes five times slower", duration: 40 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3,
			actions: []action{{8 * s, "slow", setUpstreamFaults(2, upstream.Faults{SlowFactor: 5})}},
		},
		{
			name: "lying", description: "one upstream's health endpoint lies", duration: 25 * s,
			loadRatio: 0.4, zipf: 1.1, writeShare: 0.3,
			actions: []action{{8 * s, "lie", setUpstreamFaults(2, upstream.Faults{ReportUnhealthy: true})}},
		},
		{
			name: "overload", description: "twice the capacity", duration: 30 * s,
			loadRatio: 2, zipf: 1.05, writeShare: 0.3,
		},
		{
			name: "outage", description: "the platform is down for 20 s; an entry is lost meanwhile", duration: 45 * s,
			loadRatio: 0.3, zipf: 1.1, writeShare: 0.3, maxRetries: 3,
			actions: []action{
				{6 * s, "platform down", setPlatformFaults(platform.Faults{Down: true})},
				{10 * s, "kill entry 0", signalEntry(0, syscall.SIGKILL)},
				{26 * s, "platform up", setPlatformFaults(platform.Faults{})},
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
	return experiment{}, fmt.Errorf("unknown experiment %q; known experiments: %s", name, strings.Join(names, ", "))
}

// callerTimeout is the request timeout of the experiments' callers. It is about ten times
// the longest time that a stand-in upstream takes for a request.
const callerTimeout = 2 * time.Second

// serviceLoads returns the load of each service, in proportion to its capacity.
func serviceLoads(shape deploy.Shape, e experiment) []load.Service {
	var out []load.Service
	for _, s := range shape.Services {
		meanTime := (1-e.writeShare)*s.ReadTime.Seconds() + e.writeShare*s.WriteTime.Seconds()
		capacity := float64(s.Instances*s.Slots) / meanTime
		out = append(out, load.Service{
			Name: s.Name, Rate: e.loadRatio * capacity, Keys: 100_000, Zipf: e.zipf, Writes: e.writeShare,
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
				if _, err := fmt.Fprintf(out, "%-12s %4s  %s\n", e.name, e.duration, e.description); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func waitCommand(io.Writer) *cobra.Command {
	return dirCommand("wait", "Wait until every process of a deployment is ready",
		func(ctx context.Context, c *cluster) error { return c.waitReady(ctx) })
}

func createCommand(io.Writer) *cobra.Command {
	return dirCommand("create", "Create the services of a deployment",
		func(ctx context.Context, c *cluster) error { return c.createServices(ctx) })
}

// dirCommand returns a command that runs a function on the deployment in --dir.
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
	cmd.Flags().StringVar(&dir, "dir", "", "directory of the deployment")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// ownershipCheckTimeout is the timeout of the ownership check of the outcomes.
const ownershipCheckTimeout = 30 * time.Second

// errViolations makes the command fail if the run violated a guarantee.
var errViolations = errors.New("the run violated guarantees")

func experimentCommand(out io.Writer) *cobra.Command {
	var dir, name string
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run an experiment on a running deployment and print its report",
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
			if len(report.history.Violations) > 0 || report.ownership == check.Violated {
				return errViolations
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "directory of the deployment")
	cmd.Flags().StringVar(&name, "name", "demo", "name of the experiment")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// run runs one experiment to its end and collects its results.
func (c *cluster) run(ctx context.Context, e experiment, out io.Writer) (*report, error) {
	shape, err := deploy.Find(c.deployment.Shape)
	if err != nil {
		return nil, err
	}
	conf := load.DefaultSettings()
	for _, entry := range c.deployment.Entries {
		conf.Entries = append(conf.Entries, entry.Callers)
		conf.Ready = append(conf.Ready, entry.Admin)
	}
	conf.Services = serviceLoads(shape, e)
	conf.Duration = jsonc.Duration(e.duration)
	conf.HotShift = jsonc.Duration(e.hotShift)
	conf.MaxRetries = e.maxRetries
	before, err := c.upstreamShares(ctx)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	go c.runActions(ctx, e, began, out)
	result := load.Run(ctx, conf)
	outcomes := filepath.Join(c.dir, e.name+".outcomes")
	if err := load.Save(outcomes, result.Outcomes); err != nil {
		return nil, err
	}
	var runs []upstream.Run
	for _, u := range c.deployment.Upstreams {
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
		history:    check.History(result.Outcomes, runsSince(runs, began)),
		ownership:  check.Owners(result.Outcomes, ownershipCheckTimeout),
		outcomes:   result.Outcomes,
		runs:       runsSince(runs, began),
		before:     before,
	}
	r.after, err = c.upstreamShares(ctx)
	if err != nil {
		return nil, err
	}
	r.unavailable = c.unavailableTimes()
	return r, nil
}

// runsSince returns the runs that began at the given time or later. It modifies the
// slice.
func runsSince(runs []upstream.Run, began time.Time) []upstream.Run {
	return slices.DeleteFunc(runs, func(r upstream.Run) bool { return r.At < began.UnixNano() })
}

// runActions runs the actions of an experiment at their times and prints their results.
func (c *cluster) runActions(ctx context.Context, e experiment, began time.Time, out io.Writer) {
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
		_, _ = fmt.Fprintf(out, "%6.1fs  %s: %s\n", time.Since(began).Seconds(), a.label, result)
	}
}
