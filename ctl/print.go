package ctl

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/intent"
)

func (o *options) printIntent(data []byte) error {
	if o.json() {
		return writeJSON(o.out, json.RawMessage(data))
	}
	i, err := intent.Decode(data)
	if err != nil {
		return err
	}
	header := process.NewTextWriter(o.out)
	header.Printf("intent   %s\nkind     %s\nstate    %s\nwhy      %s\n", i.ID, i.Spec.Kind, i.State, i.Plan.Explanation)
	c := i.Plan.Cost
	header.Printf("cost     %d ranges, churn %.3f (least %.3f), unavailable %s a key\n",
		c.Ranges, c.Churn, c.MinChurn, c.Unavailable.D())
	header.Printf("balance  %.3f before, %.3f after\n", c.ImbalanceBefore, c.ImbalanceAfter)
	if len(i.CompletedCells) > 0 {
		header.Printf("done in  %s\n", strings.Join(i.CompletedCells, ", "))
	}
	t := process.NewTableWriter(o.out)
	t.Printf("\nCELL\tACTION\tSERVICE\tSPAN\tFROM\tTO\n")
	for _, s := range i.Plan.Steps {
		t.Printf("%s\t%s\t%s\t%s\t%s\t%s%s\n", s.Cell, s.Action, s.Service, s.Span, s.From, s.To, s.ToCell)
	}
	return errors.Join(header.Close(), t.Close())
}

func (o *options) printIntents(list [][]byte) error {
	if o.json() {
		raw := make([]json.RawMessage, len(list))
		for i, data := range list {
			raw[i] = data
		}
		return writeJSON(o.out, raw)
	}
	t := process.NewTableWriter(o.out)
	t.Printf("ID\tCREATED\tKIND\tSTATE\tSTEPS\tDONE IN\tBY\n")
	for _, data := range list {
		i, err := intent.Decode(data)
		if err != nil {
			return err
		}
		t.Printf("%s\t%s\t%s\t%s\t%d\t%s\t%s\n", i.ID, i.Created.Format(time.RFC3339),
			i.Spec.Kind, i.State, len(i.Plan.Steps), strings.Join(i.CompletedCells, ","), i.Operator)
	}
	return t.Close()
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
	header := process.NewTextWriter(o.out)
	header.Printf("entry %s of cell %s: controller %v, may send %v, version %d\n",
		e.Id, e.Cell, e.Leads, e.MaySend, e.Version)
	if r.PlatformError != "" {
		header.Printf("platform: %s\n", r.PlatformError)
	}
	t := process.NewTableWriter(o.out)
	t.Printf("\nCELL\tDOMAIN\tVERSION\tFENCE\tENTRIES\n")
	for _, c := range r.Cells {
		t.Printf("%s\t%s\t%d\t%d\t%s\n", c.Name, c.Domain, c.Version, c.Fence, strings.Join(c.Members, " "))
	}
	t.Printf("\nUPSTREAM\tSERVICE\tCELL\tADDR\tSTATE\tRANGES\tSHARE\tRATE\n")
	for _, c := range r.Cells {
		for _, u := range c.Upstreams {
			t.Printf("%s\t%s\t%s\t%s\t%s\t%d\t%.4f\t%.0f/s\n",
				u.Id, u.Service, c.Name, u.Addr, u.State, u.Ranges, u.Share, u.Rate)
		}
	}
	t.Printf("\nMOVE\tCELL\tSPAN\tEPOCH\tPHASE\tFROM\tTO\n")
	for _, c := range r.Cells {
		for _, m := range c.Moves {
			t.Printf("%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Service, c.Name, m.Span, m.Epoch, m.Phase, m.From, m.To)
		}
	}
	t.Printf("\nCONFIGURATION\tVERSION\tCELL\tDOMAIN\tENTRY\n")
	for _, f := range r.InForce {
		t.Printf("%s\t%d\t%s\t%s\t%s\n", f.Service, f.Version, f.Cell, f.Domain, f.Entry)
	}
	return errors.Join(header.Close(), t.Close())
}
