package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// watchesCommand returns the command that shows how long ago a gateway last received data from the
// store, by kind of object.
func watchesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "watches",
		Short: "Show how long ago the store last answered a gateway's lists and watches, by kind",
		Long: "Shows what the gateway named by --entry has heard itself. Only the leader watches, and gateways that hear from\n" +
			"no leader; the others are told, and are not to hear from the store.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			state, err := o.placement().Watches(ctx, &placementpb.WatchesRequest{})
			if err != nil {
				return err
			}
			return o.printWatches(state)
		},
	}
}

// printWatches prints a line for each kind of object.
func (o *options) printWatches(state *placementpb.WatchesState) error {
	if o.json() {
		return writeJSON(o.out, state)
	}
	for _, w := range state.Watches {
		age := time.Duration(w.HeardMs) * time.Millisecond
		if _, err := fmt.Fprintf(o.out, "%s  heard %s ago; %s\n", w.Kind, age, watchStateText(w)); err != nil {
			return err
		}
	}
	if len(state.Watches) == 0 {
		_, err := fmt.Fprintln(o.out, "nothing was heard from the store")
		return err
	}
	return nil
}

// watchStateText describes the state of a watch.
func watchStateText(w *placementpb.WatchState) string {
	switch {
	case w.Silent:
		return "watched, hears nothing"
	case w.Watched:
		return "watched"
	}
	return "not watched"
}
