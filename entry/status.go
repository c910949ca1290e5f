package entry

import (
	"context"
	"sync"

	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/docstore"
)

// Status implements operatorpb.Operator.
func (o operator) Status(ctx context.Context, _ *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	e := o.e
	resp := &operatorpb.StatusResponse{
		Entry: &operatorpb.EntryStatus{
			Id:      e.self.ID,
			Cell:    e.self.Cell,
			Leads:   e.control.isLeader(),
			MaySend: e.gate.MaySend(),
			Version: e.gate.Version(),
		},
	}
	view, err := e.planView(ctx)
	if err != nil {
		resp.PlatformError = err.Error()
		if doc := e.gate.Doc(); doc != nil {
			view.Cells[doc.Name] = doc
		}
	}
	for _, name := range sortedCellNames(view.Cells) {
		resp.Cells = append(resp.Cells, e.cellStatus(view.Cells[name]))
	}
	resp.InForce = e.configurationsInForce(ctx)
	return resp, nil
}

func (e *Entry) cellStatus(c *cell.Cell) *operatorpb.CellStatus {
	out := &operatorpb.CellStatus{Name: c.Name, Domain: c.Domain, Version: c.Version, Fence: c.Fence}
	for _, m := range c.Quorum.Local {
		out.Members = append(out.Members, m.ID)
	}
	byID := make(map[string]*operatorpb.UpstreamStatus)
	for _, u := range c.Upstreams {
		s := &operatorpb.UpstreamStatus{Id: u.ID, Service: u.Service, Addr: u.Addr, State: string(u.State)}
		byID[u.ID] = s
		out.Upstreams = append(out.Upstreams, s)
	}
	for _, s := range c.Services {
		for _, r := range s.Ranges {
			if u := byID[r.Owner]; u != nil && r.Phase == cell.Owned {
				u.Ranges++
				u.Share += r.Fraction()
				e.control.mu.Lock()
				u.Rate += e.loads.Rate(s.Name, r.Span)
				e.control.mu.Unlock()
				continue
			}
			out.Moves = append(out.Moves, &operatorpb.MoveStatus{
				Service: s.Name, Span: r.Span.String(), Epoch: r.Epoch,
				Phase: string(r.Phase), From: r.Owner, To: r.Next + r.NextCell,
			})
		}
	}
	return out
}

// configurationsInForce asks one entry of each cell which configuration versions it
// uses.
func (e *Entry) configurationsInForce(ctx context.Context) []*operatorpb.InForce {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var out []*operatorpb.InForce
	for _, d := range e.docs.All() {
		if d.Roster == nil || len(d.Roster.Members) == 0 {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			found := e.fetchConfigurations(ctx, d.Roster)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, found...)
		}()
	}
	wait.Wait()
	sortConfigurations(out)
	return out
}

func (e *Entry) fetchConfigurations(ctx context.Context, r *cell.Roster) []*operatorpb.InForce {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out []*operatorpb.InForce
	m := r.Members[0]
	resp, err := e.peers.Client(m.Peer).State(ctx, &peerpb.StateRequest{From: e.self.ID})
	if err != nil {
		return []*operatorpb.InForce{{Cell: r.Cell, Domain: r.Domain, Entry: m.ID, Service: "(no answer)"}}
	}
	for _, d := range resp.Documents {
		if d.Kind == string(docstore.Service) {
			out = append(out, &operatorpb.InForce{
				Cell: r.Cell, Domain: r.Domain, Entry: m.ID, Service: d.Name, Version: d.Version,
			})
		}
	}
	return out
}
