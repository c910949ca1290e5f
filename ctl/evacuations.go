package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// evacuationsCommand returns the command that shows the progress of the platform's evacuations of
// failure domains.
func evacuationsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "evacuations",
		Short: "Show which failure domains are evacuated, what is left there, and which gateways know it",
		Long:  "Talks to the peer address of any gateway, named by --entry.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			state, err := o.placement().Evacuations(ctx, &placementpb.EvacuationsRequest{})
			if err != nil {
				return err
			}
			return o.printEvacuations(state)
		},
	}
}

// printEvacuations prints a line for each evacuated failure domain and for each gateway that does not
// have the latest revision yet.
func (o *options) printEvacuations(state *placementpb.EvacuationsState) error {
	if o.json() {
		return writeJSON(o.out, state)
	}
	for _, d := range state.Domains {
		known := (time.Duration(d.KnownMs) * time.Millisecond).Round(time.Second)
		if _, err := fmt.Fprintf(o.out, "%s  evacuated, revision %d, known for %s: %d upstreams, which own %d keys\n",
			d.Domain, d.Revision, known, d.Upstreams, d.Keys); err != nil {
			return err
		}
	}
	behind := 0
	for _, g := range state.Gateways {
		if g.Revision >= state.Revision {
			continue
		}
		behind++
		if _, err := fmt.Fprintf(o.out, "    %s in %s is at revision %d\n", g.Node, g.Domain, g.Revision); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(o.out, "%d domains evacuated, %d of %d gateways at revision %d\n",
		len(state.Domains), len(state.Gateways)-behind, len(state.Gateways), state.Revision)
	return err
}
