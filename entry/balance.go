package entry

import (
	"context"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/coordination/load"
	"github.com/rockcroft/rockcroft/coordination/placement"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// balanceInterval is the time between two rebalancing rounds.
const balanceInterval = 2 * time.Second

const (
	// maxSplitsPerRound bounds the ranges that one round splits.
	maxSplitsPerRound = 16
	// maxExportsPerRound bounds the ranges handed to other cells in one round.
	// exportInterval is the time between two such rounds, long enough for the
	// load reports to show the effect of the first.
	maxExportsPerRound = 4
	exportInterval     = 6 * time.Second
	// maxRangesPerCell bounds the ranges of one service in one cell.
	maxRangesPerCell = 2048
)

// placer chooses the owners of ranges by the load that the entries reported.
type placer struct{ e *Entry }

func (e *Entry) placer() controller.Placer { return placer{e} }

// Place implements controller.Placer. Callers hold the lock of Entry.control,
// which also guards Entry.loads.
func (p placer) Place(doc *cell.Cell, name string, spans []keyspace.Span, avoid string) []string {
	unassigned := make(map[keyspace.Span]bool, len(spans))
	for _, s := range spans {
		unassigned[s] = true
	}
	items := p.e.placementItems(doc, name)
	for i := range items {
		if unassigned[items[i].Span] {
			items[i].Owner = ""
		} else if items[i].Owner == "" {
			items[i].Owner = "-"
		}
	}
	chosen := make(map[keyspace.Span]string, len(spans))
	for _, m := range placement.Place(usableNodes(doc, name), items, avoid) {
		chosen[m.Span] = m.To
	}
	out := make([]string, len(spans))
	for i, s := range spans {
		out[i] = chosen[s]
	}
	return out
}

// usableNodes returns the upstreams of a service that can own ranges: the active
// ones whose process is known.
func usableNodes(doc *cell.Cell, name string) []placement.Node {
	var out []placement.Node
	for _, u := range doc.UpstreamsOf(name, cell.Active) {
		if u.Boot != "" {
			out = append(out, placement.Node{ID: u.ID, Weight: 1})
		}
	}
	return out
}

// placementItems returns the ranges of a service, each with its load and its
// owner; a range that is being moved counts for its next owner. Callers hold the
// lock of Entry.control.
func (e *Entry) placementItems(doc *cell.Cell, name string) []placement.Item {
	s := doc.Service(name)
	if s == nil {
		return nil
	}
	out := make([]placement.Item, 0, len(s.Ranges))
	for _, r := range s.Ranges {
		if r.Phase == cell.Exported {
			continue
		}
		owner := r.Owner
		if r.Next != "" {
			owner = r.Next
		}
		out = append(out, placement.Item{Span: r.Span, Owner: owner, Load: e.loads.Rate(name, r.Span)})
	}
	return out
}

// balanceLoop splits hot ranges and moves ranges between upstreams and cells,
// within the limits that the configuration of each service sets. Only the
// controller of the cell does so.
func (e *Entry) balanceLoop(ctx context.Context) {
	budgets := make(map[string]*moveBudget)
	e.every(ctx, balanceInterval, func(context.Context) {
		doc := e.gate.Doc()
		if doc == nil || !e.control.isLeader() {
			return
		}
		for _, s := range doc.Services {
			conf := e.docs.Service(s.Name)
			if conf == nil || !conf.Rebalance {
				continue
			}
			budget := budgets[s.Name]
			if budget == nil {
				budget = &moveBudget{}
				budgets[s.Name] = budget
			}
			e.balance(doc, conf, budget)
		}
	})
}

// moveBudget limits the moves of one service per minute.
type moveBudget struct {
	moveTimes []time.Time
	// lastExport is when ranges were last handed to another cell.
	lastExport time.Time
}

// remaining returns how many more moves the limit allows now.
func (b *moveBudget) remaining(now time.Time, perMinute int) int {
	recent := b.moveTimes[:0]
	for _, at := range b.moveTimes {
		if now.Sub(at) < time.Minute {
			recent = append(recent, at)
		}
	}
	b.moveTimes = recent
	return perMinute - len(b.moveTimes)
}

func (b *moveBudget) spend(now time.Time, n int) {
	for range n {
		b.moveTimes = append(b.moveTimes, now)
	}
}

func placementHotKeys(list []load.KeyLoad) []placement.HotKey {
	out := make([]placement.HotKey, len(list))
	for i, k := range list {
		out[i] = placement.HotKey{Hash: k.Hash, Load: k.Rate}
	}
	return out
}

// balance runs one rebalancing round for a service. It starts no moves while
// earlier ones are pending.
func (e *Entry) balance(doc *cell.Cell, conf *service.Config, budget *moveBudget) {
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	now := e.clock()
	nodes := usableNodes(doc, conf.Name)
	items := e.placementItems(doc, conf.Name)
	imbalance := placement.Imbalance(nodes, items)
	telemetry.SetGauge(e.registry, "imbalance_permille."+conf.Name, int64(1000*imbalance))
	e.recordOwnLoad(now, conf.Name, nodes, items)
	core := e.control.core
	if len(core.PendingMoves()) > 0 || len(items) == 0 {
		return
	}
	if len(items) < maxRangesPerCell {
		core.AddSplits(conf.Name, placement.Splits(nodes, items, placementHotKeys(e.loads.HotKeys(conf.Name)), maxSplitsPerRound))
	}
	options := placement.OptionsFor(conf.Weights.Imbalance, conf.Weights.Churn, conf.Weights.Unavailable)
	options.MaxMoves = min(options.MaxMoves, budget.remaining(now, conf.MovesPerMinute))
	var moves []handover.Move
	for _, m := range placement.Rebalance(nodes, items, options) {
		moves = append(moves, handover.Move{Service: conf.Name, Span: m.Span, To: m.To})
	}
	if len(moves) == 0 && now.Sub(budget.lastExport) >= exportInterval {
		moves = e.exportMoves(now, conf.Name, items, options)
		if len(moves) > 0 {
			budget.lastExport = now
		}
	}
	if len(moves) == 0 {
		return
	}
	budget.spend(now, len(moves))
	core.AddMoves(moves)
	telemetry.Counter(e.registry, "rebalance.moves."+conf.Name).Inc(int64(len(moves)))
	e.log.Info("rebalancing", "service", conf.Name, "moves", len(moves), "imbalance", imbalance, "to_cell", moves[0].ToCell)
}

// recordOwnLoad records the load of this cell, which gossip carries to the other
// cells.
func (e *Entry) recordOwnLoad(now time.Time, name string, nodes []placement.Node, items []placement.Item) {
	rate := 0.0
	for _, it := range items {
		rate += it.Load
	}
	e.cellLoads.Add(now, load.CellLoad{
		Cell: e.self.Cell, Service: name, Rate: rate, Upstreams: len(nodes), At: now.UnixMilli(),
	})
}

// exportMoves returns the moves to other cells that even out the load between the
// cells.
func (e *Entry) exportMoves(now time.Time, name string, items []placement.Item, o placement.Options) []handover.Move {
	var cells []placement.CellNode
	for _, c := range e.cellLoads.All(now) {
		if c.Service == name {
			cells = append(cells, placement.CellNode{Cell: c.Cell, Upstreams: c.Upstreams, Load: c.Rate})
		}
	}
	o.MaxMoves = min(o.MaxMoves, maxExportsPerRound)
	var out []handover.Move
	for _, x := range placement.Exports(e.self.Cell, cells, items, o) {
		out = append(out, handover.Move{Service: name, Span: x.Span, ToCell: x.ToCell})
	}
	return out
}
