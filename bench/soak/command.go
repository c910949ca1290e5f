package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// Limits of a deployment's size. One machine can run a few hundred processes. A gateway
// takes about 35 MB; processMB, in MB, allows for more.
const (
	minGateways  = 2
	maxGateways  = 200
	minUpstreams = 4
	maxUpstreams = 400
	maxSteps     = 10000
	processMB    = 60
)

// Command returns the root command of the soak test, which prints its results to out.
func Command(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "rocksoak", Short: "Run seeded fault sequences against real gateway processes",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(out), pageCommand(out))
	return root
}

func runCommand(out io.Writer) *cobra.Command {
	var seed uint64
	var dir string
	var kinds []string
	size := Size{}
	cmd := &cobra.Command{
		Use: "run", Short: "Run the faults of one seed; scripts/soak.sh starts the gateways", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := size.Check(memoryMB()); err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			report, err := Run(cmd.Context(), dir, size, NewPlan(seed, size.Steps).Only(toKinds(kinds)), out)
			if err != nil {
				return err
			}
			if err := report.Save(dir); err != nil {
				return err
			}
			return report.verdict(out)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of the fault sequence")
	cmd.Flags().StringVar(&dir, "dir", "", "directory for settings, process IDs, logs and the report")
	cmd.Flags().IntVar(&size.Gateways, "gateways", 5, "number of gateway processes")
	cmd.Flags().IntVar(&size.Upstreams, "upstreams", 8, "number of upstreams, half of them keyed")
	cmd.Flags().IntVar(&size.Steps, "steps", 20, "number of faults")
	cmd.Flags().StringSliceVar(&kinds, "kinds", nil, "leave out the faults of all other kinds")
	for _, name := range []string{"seed", "dir"} {
		// MarkFlagRequired fails only for undefined flags; both are defined above.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func toKinds(names []string) []Kind {
	var out []Kind
	for _, name := range names {
		out = append(out, Kind(name))
	}
	return out
}

// verdict prints the violations and totals. It returns an error if there are violations.
func (r *Report) verdict(out io.Writer) error {
	for _, v := range r.Violations {
		if _, err := fmt.Fprintln(out, "violation:", v); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "seed %d: %d served, %d refused, %d failed, %d without a connection, %d violations\n",
		r.Seed, r.Served, r.Refused, r.Failed, r.NoConnection, len(r.Violations))
	if err == nil && len(r.Violations) > 0 {
		err = fmt.Errorf("seed %d: %d violations", r.Seed, len(r.Violations))
	}
	return err
}

// Check returns an error if a run of this size is not possible; it is called before
// anything is started. memory is the machine's memory in MB, zero if unknown; the gateways
// may use at most half of it.
func (s Size) Check(memory int) error {
	switch {
	case s.Gateways < minGateways || s.Gateways > maxGateways:
		return fmt.Errorf("--gateways: %d is not between %d and %d", s.Gateways, minGateways, maxGateways)
	case s.Upstreams < minUpstreams || s.Upstreams > maxUpstreams:
		return fmt.Errorf("--upstreams: %d is not between %d and %d", s.Upstreams, minUpstreams, maxUpstreams)
	case s.Steps < 1 || s.Steps > maxSteps:
		return fmt.Errorf("--steps: %d is not between 1 and %d", s.Steps, maxSteps)
	case memory > 0 && s.Gateways*processMB > memory/2:
		return fmt.Errorf("--gateways: %d need %d MB, more than half of the machine's %d MB", s.Gateways, s.Gateways*processMB, memory)
	}
	return nil
}

// memoryMB returns the machine's memory in MB, or zero if it cannot be determined.
func memoryMB() int {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	kb := 0
	if _, err := fmt.Fscanf(f, "MemTotal: %d kB", &kb); err != nil {
		return 0
	}
	return kb >> 10
}

func pageCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "page DIR", Short: "Write an HTML page with plots from the reports of all runs below a directory", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			reports, err := Load(args[0])
			if err != nil {
				return err
			}
			name := filepath.Join(args[0], "soak.html")
			if err := WritePage(name, reports); err != nil {
				return err
			}
			bad := 0
			for _, r := range reports {
				bad += min(len(r.Violations), 1)
			}
			_, err = fmt.Fprintf(out, "%d seeds, %d with violations: %s\n", len(reports), bad, name)
			return err
		},
	}
}
