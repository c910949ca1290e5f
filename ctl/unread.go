package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// unreadCommand returns the command that shows the response headers of upstreams that the gateway does
// not interpret.
func unreadCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "unread",
		Short: "Show headers of upstreams' answers that no code reads",
		Long:  "Shows what the gateway named by --entry has seen itself since its start. Such headers are handed on to callers.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			state, err := o.placement().Unread(ctx, &placementpb.UnreadRequest{})
			if err != nil {
				return err
			}
			return o.printUnread(state)
		},
	}
}

// printUnread prints a line for each header.
func (o *options) printUnread(state *placementpb.UnreadState) error {
	if o.json() {
		return writeJSON(o.out, state)
	}
	for _, h := range state.Headers {
		status := "sent"
		if !h.Sent {
			status = "not sent any more"
		}
		last := (time.Duration(h.LastMs) * time.Millisecond).Round(time.Second)
		if _, err := fmt.Fprintf(o.out, "%s  %s  %d answers, first by %s, the last %s ago; %s\n",
			h.Service, h.Name, h.Answers, h.Upstream, last, status); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(o.out, "%d headers that no code reads\n", len(state.Headers))
	return err
}
