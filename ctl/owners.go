package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// ownersCommand returns the command that shows how many keys and how much load each upstream has, and
// why some upstreams get no keys.
func ownersCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "owners",
		Short: "Show which upstream owns how many keys with which load, and which ones get none",
		Long:  "Talks to the peer address of any gateway, named by --entry.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			state, err := o.placement().Owners(ctx, &placementpb.OwnersRequest{})
			if err != nil {
				return err
			}
			return o.printOwners(state)
		},
	}
}

// printOwners prints a line for each service and each of its upstreams.
func (o *options) printOwners(state *placementpb.OwnersState) error {
	if o.json() {
		return writeJSON(o.out, state)
	}
	for _, s := range state.Services {
		if _, err := fmt.Fprintf(o.out, "%s  %d upstreams, %d moves under way\n", s.Service, len(s.Owners), s.Moving); err != nil {
			return err
		}
		for _, owner := range s.Owners {
			if _, err := fmt.Fprintf(o.out, "    %s  %d keys in %d spans, %.0f of %.0f requests a second%s\n",
				owner.Upstream, owner.Keys, owner.Spans, owner.Load, owner.Capacity, unusableReason(owner)); err != nil {
				return err
			}
		}
	}
	return nil
}

// unusableReason describes why the upstream gets no keys. It returns an empty string if the upstream
// is usable.
func unusableReason(owner *placementpb.OwnerState) string {
	failing := time.Duration(owner.FailingMs) * time.Millisecond
	switch {
	case owner.Usable:
		return ""
	case owner.FailingMs > 0 && owner.Reached:
		return fmt.Sprintf("; given none: grants fail for %s, other calls are answered", failing)
	case owner.FailingMs > 0:
		return fmt.Sprintf("; given none: calls fail for %s", failing)
	case owner.Warming:
		return "; given none: warms up"
	}
	return "; given none: leaves or has ended"
}
