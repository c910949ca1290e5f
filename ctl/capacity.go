package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/state/capacity"
)

func capacityCommand(o *options) *cobra.Command {
	size := capacity.DeploymentSize{}
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what gateways cost at a size, from measured slopes",
		Long: "Prints processor time, memory, bytes and calls of each role, and which exceed what a node may\n" +
			"spend on control. It is arithmetic on slopes measured at small sizes; see docs/CAPACITY.md.",
		Example: "  rockcroftctl capacity --gateways 78 --domains 3 --upstreams 346 --keyed 119 --rate 1400",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := size.Validate(); err != nil {
				return usageError{err}
			}
			lines := capacity.Estimate(size)
			if o.json() {
				return writeJSON(o.out, lines)
			}
			return o.printCapacity(lines)
		},
	}
	cmd.Flags().IntVar(&size.Gateways, "gateways", 11, "gateways in all")
	cmd.Flags().IntVar(&size.Domains, "domains", 3, "failure domains")
	cmd.Flags().IntVar(&size.Upstreams, "upstreams", 35, "upstreams in all")
	cmd.Flags().IntVar(&size.Keyed, "keyed", 11, "upstreams of the largest service divided by key")
	cmd.Flags().Float64Var(&size.Rate, "rate", 569, "requests a second in all")
	return cmd
}

func (o *options) printCapacity(lines []capacity.Line) error {
	t := process.NewTableWriter(o.out)
	t.Printf("ROLE\tWHAT\tVALUE\tLIMIT\tGROWS WITH\n")
	for _, l := range lines {
		limit := "-"
		if l.Limit > 0 {
			limit = fmt.Sprintf("%.4g", l.Limit)
		}
		if !l.Fits() {
			limit += " DOES NOT FIT"
		}
		t.Printf("%s\t%s\t%.4g %s\t%s\t%s\n", l.Role, l.What, l.Value, l.Unit, limit, l.By)
	}
	return t.Close()
}
