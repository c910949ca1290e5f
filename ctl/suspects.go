package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// suspectsCommand returns the command that shows the requests suspected of crashing upstreams, and its
// subcommand that lets such a request through again.
func suspectsCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "suspects",
		Short: "Show requests that end the upstreams which run them, and which of them are sent no more",
		Long:  "Talks to the peer address of any gateway, named by --entry.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			state, err := o.placement().Suspects(ctx, &placementpb.SuspectsRequest{})
			if err != nil {
				return err
			}
			return o.printSuspects(state)
		},
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "lift DIGEST",
		Short:   "Let a request through again at all gateways",
		Example: "  rockcroftctl suspects lift 00c0ffee12345678",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			_, err := o.placement().LiftSuspect(ctx, &placementpb.Lift{Digest: args[0], By: operatorName()})
			return err
		},
	})
	return cmd
}

// printSuspects prints a line for each suspected request.
func (o *options) printSuspects(state *placementpb.SuspectsState) error {
	if o.json() {
		return writeJSON(o.out, state)
	}
	for _, s := range state.List {
		status := "sent on"
		if s.Refused {
			status = "sent no more"
		}
		last := (time.Duration(s.LastMs) * time.Millisecond).Round(time.Second)
		if _, err := fmt.Fprintf(o.out, "%s  %d upstreams ended with it, the last %s ago; %s\n", s.Digest, s.Crashes, last, status); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(o.out, "%d requests suspected\n", len(state.List))
	return err
}
