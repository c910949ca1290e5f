package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/intent"
)

func (o *options) table() *tabwriter.Writer {
	return tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
}

func (o *options) printIntent(data []byte) error {
	if o.json() {
		return writeJSON(o.out, json.RawMessage(data))
	}
	i, err := intent.Decode(data)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.out, "intent   %s\nkind     %s\nstate    %s\nwhy      %s\n", i.ID, i.Spec.Kind, i.State, i.Plan.Why)
	c := i.Plan.Cost
	_, _ = fmt.Fprintf(o.out, "cost     %d ranges, churn %.3f (least %.3f), unavailable %s a key\n",
		c.Ranges, c.Churn, c.LeastChurn, c.Unavailable.D())
	_, _ = fmt.Fprintf(o.out, "balance  %.3f before, %.3f after\n", c.ImbalanceBefore, c.ImbalanceAfter)
	if len(i.Progress) > 0 {
		_, _ = fmt.Fprintf(o.out, "done in  %s\n", strings.Join(i.Progress, ", "))
	}
	t := o.table()
	_, _ = fmt.Fprintln(t, "\nCELL\tACTION\tSERVICE\tSPAN\tFROM\tTO")
	for _, s := range i.Plan.Steps {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s%s\n", s.Cell, s.Action, s.Service, s.Span, s.From, s.To, s.ToCell)
	}
	return t.Flush()
}

func (o *options) printIntents(list [][]byte) error {
	if o.json() {
		raw := make([]json.RawMessage, len(list))
		for i, data := range list {
			raw[i] = data
		}
		return writeJSON(o.out, raw)
	}
	t := o.table()
	_, _ = fmt.Fprintln(t, "ID\tCREATED\tKIND\tSTATE\tSTEPS\tDONE IN\tBY")
	for _, data := range list {
		i, err := intent.Decode(data)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", i.ID, i.Created.Format(time.RFC3339),
			i.Spec.Kind, i.State, len(i.Plan.Steps), strings.Join(i.Progress, ","), i.By)
	}
	return t.Flush()
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show cells, upstreams, moves under way, and the configuration in force",
		Example: "  rockcroftctl --entry 127.0.0.1:7002 status",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			resp, err := o.client().Status(ctx, &operatorpb.StatusRequest{})
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(o.out, resp)
			}
			return o.printStatus(resp)
		},
	}
}

func (o *options) printStatus(r *operatorpb.StatusResponse) error {
	e := r.Entry
	_, _ = fmt.Fprintf(o.out, "entry %s of cell %s: controller %v, may send %v, version %d\n",
		e.Id, e.Cell, e.Leads, e.MaySend, e.Version)
	if r.PlatformError != "" {
		_, _ = fmt.Fprintf(o.out, "platform: %s\n", r.PlatformError)
	}
	t := o.table()
	_, _ = fmt.Fprintln(t, "\nCELL\tDOMAIN\tVERSION\tFENCE\tENTRIES")
	for _, c := range r.Cells {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", c.Name, c.Domain, c.Version, c.Fence, strings.Join(c.Members, " "))
	}
	_, _ = fmt.Fprintln(t, "\nUPSTREAM\tSERVICE\tCELL\tADDR\tSTATE\tRANGES\tSHARE\tRATE")
	for _, c := range r.Cells {
		for _, u := range c.Upstreams {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%.4f\t%.0f/s\n",
				u.Id, u.Service, c.Name, u.Addr, u.State, u.Ranges, u.Share, u.Rate)
		}
	}
	_, _ = fmt.Fprintln(t, "\nMOVE\tCELL\tSPAN\tEPOCH\tPHASE\tFROM\tTO")
	for _, c := range r.Cells {
		for _, m := range c.Moves {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Service, c.Name, m.Span, m.Epoch, m.Phase, m.From, m.To)
		}
	}
	_, _ = fmt.Fprintln(t, "\nCONFIGURATION\tVERSION\tCELL\tDOMAIN\tENTRY")
	for _, f := range r.InForce {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", f.Service, f.Version, f.Cell, f.Domain, f.Entry)
	}
	return t.Flush()
}
