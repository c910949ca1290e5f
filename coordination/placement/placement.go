// Package placement decides which upstream should own which range. Its functions are deterministic:
// the same input always gives the same moves.
package placement

import (
	"cmp"
	"slices"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Node is an upstream that can own ranges.
type Node struct {
	ID string
	// Weight is the relative capacity. Values of zero or less count as 1.
	Weight float64
}

// Item is a range with its present owner and its load.
type Item struct {
	keyspace.Span
	// Owner is empty if the range needs an owner.
	Owner string
	// Load is the number of requests a second.
	Load float64
}

// Move assigns a range to an upstream. From is empty if the range had no owner.
type Move struct {
	keyspace.Span
	From, To string
	Load     float64
}

// Options limits what a plan may do.
type Options struct {
	// MaxMoves is the maximum number of moves.
	MaxMoves int
	// Band is the imbalance, the highest load over the mean, above which ranges move. Target is the
	// imbalance at which moving stops. A Target below Band gives hysteresis.
	Band, Target float64
	// MinGain is the minimum decrease in imbalance that a move must achieve, relative to the share
	// of the total load that it moves.
	MinGain float64
}

const (
	// minBand and maxBand limit the rebalancing band.
	minBand = 1.10
	maxBand = 1.40
	// targetExcessShare is the share of the band's excess over 1 that a plan leaves in place.
	targetExcessShare = 0.5
	maxMovesPerPlan   = 8
)

// OptionsFor derives options from the weights of a service. The more weight churn and unavailable
// time have relative to imbalance, the wider the band in which nothing moves, and the more a move
// has to gain.
func OptionsFor(imbalance, churn, unavailable float64) Options {
	moveAversion := 1.0
	if sum := imbalance + churn + unavailable; sum > 0 {
		moveAversion = (churn + unavailable) / sum
	}
	band := minBand + (maxBand-minBand)*moveAversion*moveAversion/2
	return Options{
		MaxMoves: maxMovesPerPlan,
		Band:     band,
		Target:   1 + (band-1)*targetExcessShare,
		MinGain:  moveAversion,
	}
}

// Imbalance returns the highest load of an upstream divided by the mean, both per unit of weight.
// It returns 1 if there is no load.
func Imbalance(nodes []Node, items []Item) float64 {
	l := newLoadModel(nodes, items)
	if l.total == 0 || len(nodes) == 0 {
		return 1
	}
	busiest := 0.0
	for _, n := range l.nodes {
		busiest = max(busiest, n.load/n.weight)
	}
	return busiest / l.mean()
}

// loadModel tracks the load of each node while a plan is computed.
type loadModel struct {
	nodes  []*nodeLoad
	byID   map[string]*nodeLoad
	total  float64
	weight float64
}

// nodeLoad is a node with its load and the ranges that it owns.
type nodeLoad struct {
	id     string
	weight float64
	load   float64
	items  []Item
}

func newLoadModel(nodes []Node, items []Item) *loadModel {
	l := &loadModel{byID: make(map[string]*nodeLoad, len(nodes))}
	for _, n := range nodes {
		w := n.Weight
		if w <= 0 {
			w = 1
		}
		a := &nodeLoad{id: n.ID, weight: w}
		l.nodes = append(l.nodes, a)
		l.byID[n.ID] = a
		l.weight += w
	}
	slices.SortFunc(l.nodes, func(a, b *nodeLoad) int { return cmp.Compare(a.id, b.id) })
	for _, it := range items {
		l.total += it.Load
		if a := l.byID[it.Owner]; a != nil {
			a.load += it.Load
			a.items = append(a.items, it)
		}
	}
	return l
}

// mean returns the mean load per unit of weight.
func (l *loadModel) mean() float64 { return l.total / l.weight }

// relative returns the load of the node per unit of weight.
func (a *nodeLoad) relative() float64 { return a.load / a.weight }

// leastLoaded returns the node, other than avoid, with the lowest load per unit of weight. Ties go
// to the node with fewer items per unit of weight, then to the one with the lower ID.
func (l *loadModel) leastLoaded(avoid string) *nodeLoad {
	var best *nodeLoad
	for _, n := range l.nodes {
		if n.id == avoid {
			continue
		}
		if best == nil || lessLoaded(n, best) {
			best = n
		}
	}
	return best
}

// lessLoaded reports whether a has less load, or the same load and fewer items, than b, each per
// unit of weight.
func lessLoaded(a, b *nodeLoad) bool {
	if a.relative() != b.relative() {
		return a.relative() < b.relative()
	}
	return float64(len(a.items))/a.weight < float64(len(b.items))/b.weight
}

func (l *loadModel) mostLoaded() *nodeLoad {
	var most *nodeLoad
	for _, n := range l.nodes {
		if most == nil || n.relative() > most.relative() {
			most = n
		}
	}
	return most
}

// baseLoad returns the load that is added to each range, so that ranges without measured load are
// distributed evenly too.
func baseLoad(items []Item) float64 {
	total := 0.0
	for _, it := range items {
		total += it.Load
	}
	if total == 0 {
		return 1
	}
	const share = 0.01
	return share * total / float64(len(items))
}

// Place chooses owners for the items that have none, in descending order of load. Each goes to the
// least loaded node other than avoid. It returns one move for each such item, in the order of the
// items; To is empty if there is no node.
func Place(nodes []Node, items []Item, avoid string) []Move {
	base := baseLoad(items)
	padded := slices.Clone(items)
	for i := range padded {
		padded[i].Load += base
	}
	l := newLoadModel(nodes, padded)
	var orphans []int
	for i, it := range padded {
		if it.Owner == "" {
			orphans = append(orphans, i)
		}
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(padded[b].Load, padded[a].Load) })
	chosen := make(map[int]string, len(orphans))
	for _, i := range orphans {
		n := l.leastLoaded(avoid)
		if n == nil {
			continue
		}
		n.load += padded[i].Load
		n.items = append(n.items, padded[i])
		chosen[i] = n.id
	}
	var out []Move
	for i, it := range items {
		if it.Owner == "" {
			out = append(out, Move{Span: it.Span, To: chosen[i], Load: it.Load})
		}
	}
	return out
}

// Join returns the moves that give a new node its share of the ranges and the load, taken from the
// most loaded nodes. It moves no more than that share requires.
func Join(nodes []Node, items []Item, id string) []Move {
	base := baseLoad(items)
	padded := slices.Clone(items)
	for i := range padded {
		padded[i].Load += base
	}
	l := newLoadModel(nodes, padded)
	to := l.byID[id]
	if to == nil {
		return nil
	}
	var out []Move
	for {
		from := l.mostLoaded()
		if from == to {
			return out
		}
		i := bestFit(from, to, l.mean())
		if i < 0 {
			return out
		}
		it := from.items[i]
		l.shift(from, to, i)
		out = append(out, Move{Span: it.Span, From: from.id, To: id, Load: it.Load - base})
	}
}

// bestFit returns the index of the largest item of from that fits, with a tolerance of 5 %, into
// the difference between the load of to and its share of the mean, or -1.
func bestFit(from, to *nodeLoad, mean float64) int {
	headroom := mean*to.weight - to.load
	best, bestLoad := -1, 0.0
	for i, it := range from.items {
		if it.Load <= headroom*1.05 && it.Load > bestLoad {
			best, bestLoad = i, it.Load
		}
	}
	return best
}

// shift moves the item at index i between two nodes.
func (l *loadModel) shift(from, to *nodeLoad, i int) {
	it := from.items[i]
	from.items = slices.Delete(from.items, i, i+1)
	from.load -= it.Load
	it.Owner = to.id
	to.items = append(to.items, it)
	to.load += it.Load
}

// Rebalance returns moves that reduce the imbalance if it exceeds the band, until it reaches the
// target or no move gains enough.
func Rebalance(nodes []Node, items []Item, o Options) []Move {
	l := newLoadModel(nodes, items)
	if l.total == 0 || len(nodes) < 2 || l.mostLoaded().relative() <= o.Band*l.mean() {
		return nil
	}
	moved := make(map[keyspace.Span]bool)
	var out []Move
	for len(out) < o.MaxMoves {
		from := l.mostLoaded()
		if from.relative() <= o.Target*l.mean() {
			break
		}
		i, to := l.bestMove(from, moved, o.MinGain)
		if i < 0 {
			break
		}
		it := from.items[i]
		moved[it.Span] = true
		l.shift(from, to, i)
		out = append(out, Move{Span: it.Span, From: from.id, To: to.id, Load: it.Load})
	}
	return out
}

// bestMove returns the item of from whose move to the least loaded other node gives the lowest
// maximum load of the two, and that node. The index is -1 if no move gains enough.
func (l *loadModel) bestMove(from *nodeLoad, moved map[keyspace.Span]bool, minGain float64) (int, *nodeLoad) {
	to := l.leastLoaded(from.id)
	before := from.relative()
	best, bestPeak := -1, before
	for i, it := range from.items {
		if moved[it.Span] || it.Load <= 0 {
			continue
		}
		peak := max((from.load-it.Load)/from.weight, (to.load+it.Load)/to.weight)
		gain := (before - peak) / l.mean()
		if peak < bestPeak && gain >= minGain*it.Load/l.total {
			best, bestPeak = i, peak
		}
	}
	return best, to
}
