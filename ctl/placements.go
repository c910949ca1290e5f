package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// placementCommand groups the commands for intents about the placement of keys.
func placementCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "placement",
		Short: "State on the platform where keys should live and which upstreams stop, and confirm the plans",
		Long:  "Talks to the peer address of any gateway, named by --entry.",
	}
	cmd.AddCommand(pinCommand(o), drainCommand(o),
		placementIntentCommand(o, "confirm", "Put a planned intent in force", placementpb.Placement.Confirm),
		placementIntentCommand(o, "cancel", "Withdraw an intent", placementpb.Placement.Cancel),
		placementListCommand(o))
	return cmd
}

func (o *options) placement() placementpb.Placement {
	return placementpb.NewPlacementProtobufClient("http://"+o.entry.String(), httpClient())
}

func pinCommand(o *options) *cobra.Command {
	var service, keys, to string
	cmd := &cobra.Command{
		Use:     "pin",
		Short:   "Keep keys on an upstream as long as it lives",
		Example: "  rockcroftctl placement pin --service status --keys 100-199 --to i-7f3a91c2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			first, last, err := parseKeys(keys)
			if err != nil {
				return usageError{err}
			}
			if last < 0 {
				return usageError{fmt.Errorf("--keys is required")}
			}
			return createPlacementIntent(cmd, o, &placementpb.Intent{
				Kind: "pin", Service: service, Upstream: to, First: uint32(first), Last: uint32(last), By: operatorName(),
			})
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "service of the keys")
	cmd.Flags().StringVar(&keys, "keys", "", "a key, or a span of keys such as 100-199")
	cmd.Flags().StringVar(&to, "to", "", "id of the upstream")
	return cmd
}

func drainCommand(o *options) *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use:     "drain UPSTREAM",
		Short:   "Take keys and new requests away from an upstream before a planned stop",
		Example: "  rockcroftctl placement drain i-7f3a91c2 --service status",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return createPlacementIntent(cmd, o, &placementpb.Intent{Kind: "drain", Service: service, Upstream: args[0], By: operatorName()})
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "service of the upstream")
	return cmd
}

// createPlacementIntent creates an intent and prints it with its plan.
func createPlacementIntent(cmd *cobra.Command, o *options, i *placementpb.Intent) error {
	ctx, cancel := callContext(cmd)
	defer cancel()
	resp, err := o.placement().State(ctx, i)
	if err != nil {
		return err
	}
	return o.printPlacement(resp)
}

// placementIntentCall is a call that takes the ID of an intent.
type placementIntentCall func(placementpb.Placement, context.Context, *placementpb.Reference) (*placementpb.Intent, error)

func placementIntentCommand(o *options, use, short string, call placementIntentCall) *cobra.Command {
	return &cobra.Command{
		Use:   use + " INTENT",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			resp, err := call(o.placement(), ctx, &placementpb.Reference{Id: args[0]})
			if err != nil {
				return err
			}
			return o.printPlacement(resp)
		},
	}
}

func placementListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all intents",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			resp, err := o.placement().List(ctx, &placementpb.ListRequest{})
			if err != nil {
				return err
			}
			for _, i := range resp.List {
				if err := o.printPlacement(i); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// printPlacement prints an intent and the moves of its plan.
func (o *options) printPlacement(i *placementpb.Intent) error {
	if o.json() {
		return writeJSON(o.out, i)
	}
	keys := 0
	for _, s := range i.Plan {
		keys += int(s.Last) - int(s.First) + 1
	}
	if _, err := fmt.Fprintf(o.out, "%s  %s  %s  %s  %s  by %s: %d moves, %d keys\n",
		i.Id, i.State, i.Kind, i.Service, i.Upstream, i.By, len(i.Plan), keys); err != nil {
		return err
	}
	for _, s := range i.Plan {
		if _, err := fmt.Fprintf(o.out, "    %d-%d  %s -> %s\n", s.First, s.Last, s.From, s.To); err != nil {
			return err
		}
	}
	return nil
}
