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

// balanceInterval is the time between looks at the balance.
const balanceInterval = 2 * time.Second

const (
	// splitsPerLook bounds the ranges split at one look.
	splitsPerLook = 16
	// maxRanges bounds the ranges of one service in one cell.
	maxRanges = 2048
)

// placer chooses owners by the load in the book.
type placer struct{ e *Entry }

func (e *Entry) placer() controller.Placer { return placer{e} }

// Place implements controller.Placer. It is called under the control's lock,
// which also guards the book.
func (p placer) Place(doc *cell.Cell, name string, spans []keyspace.Span, avoid string) []string {
	needs := make(map[keyspace.Span]bool, len(spans))
	for _, s := range spans {
		needs[s] = true
	}
	items := p.e.items(doc, name)
	for i := range items {
		if needs[items[i].Span] {
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

// usableNodes returns the upstreams that may take ranges.
func usableNodes(doc *cell.Cell, name string) []placement.Node {
	var out []placement.Node
	for _, u := range doc.UpstreamsOf(name, cell.Active) {
		if u.Boot != "" {
			out = append(out, placement.Node{ID: u.ID, Weight: 1})
		}
	}
	return out
}

// items returns the ranges of a service with their owner or the one to come,
// and their load. Callers hold the control's lock.
func (e *Entry) items(doc *cell.Cell, name string) []placement.Item {
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
		out = append(out, placement.Item{Span: r.Span, Owner: owner, Load: e.book.Rate(name, r.Span)})
	}
	return out
}

// balanceLoop splits hot ranges and moves load, within the limits that the
// configuration of each service sets.
func (e *Entry) balanceLoop(ctx context.Context) {
	budgets := make(map[string]*moveBudget)
	e.every(ctx, balanceInterval, func(context.Context) {
		doc := e.gate.Doc()
		if doc == nil || !e.control.isLeader() {
			return
		}
		for _, s := range doc.Services {
			conf := e.library.Service(s.Name)
			if conf == nil || !conf.Rebalance {
				continue
			}
			b := budgets[s.Name]
			if b == nil {
				b = &moveBudget{}
				budgets[s.Name] = b
			}
			e.balance(doc, conf, b)
		}
	})
}

// moveBudget bounds the moves within the last minute.
type moveBudget struct{ moved []time.Time }

func (b *moveBudget) left(now time.Time, perMinute int) int {
	kept := b.moved[:0]
	for _, at := range b.moved {
		if now.Sub(at) < time.Minute {
			kept = append(kept, at)
		}
	}
	b.moved = kept
	return perMinute - len(b.moved)
}

func (b *moveBudget) spend(now time.Time, n int) {
	for range n {
		b.moved = append(b.moved, now)
	}
}

func hotKeys(list []load.KeyLoad) []placement.Hot {
	out := make([]placement.Hot, len(list))
	for i, k := range list {
		out[i] = placement.Hot{Hash: k.Hash, Load: k.Rate}
	}
	return out
}

func (e *Entry) balance(doc *cell.Cell, conf *service.Config, b *moveBudget) {
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	now := e.clock()
	nodes := usableNodes(doc, conf.Name)
	items := e.items(doc, conf.Name)
	imbalance := placement.Imbalance(nodes, items)
	telemetry.Gauge(e.registry, "imbalance_permille."+conf.Name, int64(1000*imbalance))
	core := e.control.core
	if len(core.PendingMoves()) > 0 || len(items) == 0 {
		return
	}
	if len(items) < maxRanges {
		core.AddSplits(conf.Name, placement.Splits(nodes, items, hotKeys(e.book.Hot(conf.Name)), splitsPerLook))
	}
	options := placement.OptionsFor(conf.Weights.Imbalance, conf.Weights.Churn, conf.Weights.Unavailable)
	options.MaxMoves = min(options.MaxMoves, b.left(now, conf.MovesPerMinute))
	moves := placement.Rebalance(nodes, items, options)
	if len(moves) == 0 {
		return
	}
	b.spend(now, len(moves))
	list := make([]handover.Move, len(moves))
	for i, m := range moves {
		list[i] = handover.Move{Service: conf.Name, Span: m.Span, To: m.To}
	}
	core.AddMoves(list)
	telemetry.Counter(e.registry, "rebalance.moves."+conf.Name).Inc(int64(len(moves)))
	e.log.Info("rebalancing", "service", conf.Name, "moves", len(moves), "imbalance", imbalance)
}
