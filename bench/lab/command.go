package lab

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// defaultSeeds is the number of seeds of a run. With four seeds a difference of 0.01 in worth can
// be distinguished from noise.
const defaultSeeds = 4

// options are the flags shared by all subcommands.
type options struct {
	seeds int
	page  string
	json  bool
}

// Command returns the command line of the lab.
func Command(out io.Writer) *cobra.Command {
	o := &options{}
	root := &cobra.Command{Use: "lab", Short: "Play the decisions about requests in virtual time"}
	flags := root.PersistentFlags()
	flags.IntVar(&o.seeds, "seeds", defaultSeeds, "number of seeds, from 1 on")
	flags.StringVar(&o.page, "page", "", "file for a page with plots")
	flags.BoolVar(&o.json, "json", false, "print JSON instead of a table")
	root.AddCommand(listCommand(out), runCommand(out, o), compareCommand(out, o), ablateCommand(out, o))
	return root
}

func listCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the scenarios that come with the lab", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, name := range Names() {
				if _, err := fmt.Fprintln(out, name); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func runCommand(out io.Writer, o *options) *cobra.Command {
	return &cobra.Command{
		Use: "run [SCENARIO or FILE]...", Short: "Play scenarios beside their limit and the plainest policy",
		Long: "Play each scenario under the product's decisions, under a dispatcher that knows everything\nat once, and under the plainest policy. Without an argument all scenarios that come with\nthe lab are played.",
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := findAll(names)
			if err != nil {
				return err
			}
			var jobs []Job
			for _, sc := range scenarios {
				for _, p := range []Policy{Product, Ideal, Plain} {
					jobs = append(jobs, o.jobs(sc, p)...)
				}
			}
			results := SimulateAll(jobs)
			if o.page != "" {
				if err := WritePage(o.page, results); err != nil {
					return err
				}
			}
			if o.json {
				return printJSON(out, results)
			}
			return printRun(out, scenarios, results)
		},
	}
}

func compareCommand(out io.Writer, o *options) *cobra.Command {
	return &cobra.Command{
		Use: "compare A B", Short: "Play two scenarios over the same seeds and show the paired differences", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := findAll(names)
			if err != nil {
				return err
			}
			a, b := SimulateAll(o.jobs(scenarios[0], Product)), SimulateAll(o.jobs(scenarios[1], Product))
			c := compareResults(names[0], names[1], a, b)
			if o.json {
				return printJSON(out, c)
			}
			return c.print(out)
		},
	}
}

func ablateCommand(out io.Writer, o *options) *cobra.Command {
	return &cobra.Command{
		Use: "ablate [SCENARIO or FILE]...", Short: "Switch each mechanism off in turn and show what it is worth",
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := findAll(names)
			if err != nil {
				return err
			}
			var rows []Comparison
			for _, sc := range scenarios {
				whole := SimulateAll(o.jobs(sc, Product))
				for _, m := range mechanisms {
					without := *sc
					m.disable(&without.Disabled)
					rows = append(rows, compareResults(m.name, sc.Name, SimulateAll(o.jobs(&without, Product)), whole))
				}
			}
			if o.json {
				return printJSON(out, rows)
			}
			return printAblation(out, rows)
		},
	}
}

// findAll returns the named scenarios, or all built-in ones if no name is given.
func findAll(names []string) ([]*Scenario, error) {
	if len(names) == 0 {
		names = Names()
	}
	var out []*Scenario
	for _, name := range names {
		sc, err := Find(name)
		if err != nil {
			return nil, err
		}
		out = append(out, sc)
	}
	return out, nil
}

func (o *options) jobs(sc *Scenario, p Policy) []Job {
	var jobs []Job
	for seed := range o.seeds {
		jobs = append(jobs, Job{Scenario: sc, Policy: p, Seed: uint64(seed + 1)})
	}
	return jobs
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
