package ownership

import (
	"slices"

	"github.com/rockcroft/rockcroft/state/spans"
)

// This file balances the load between upstreams.

const (
	// maxSpansPerUpstream bounds the spans of a service, in multiples of the number of its
	// upstreams. Each span is one grant to renew.
	maxSpansPerUpstream = 32
	// busyUtilization is the utilization below which no load is moved away from an upstream for
	// balancing.
	busyUtilization = 0.6
	// urgentUtilization is the utilization from which moves for balancing are made at once, as for
	// a group of hot keys on one upstream. A smaller imbalance can wait for a second, so that many
	// moves share one write to the store.
	urgentUtilization = 1.4
	// minUtilizationGap is the minimum difference in utilization that justifies a move. The noise
	// of request counts over a second or two is about half of it.
	minUtilizationGap = 0.25
	// The number of moves for balancing in one plan is bounded by moveBudgetPerUpstream for each
	// usable upstream, but is at least minMoveBudget: with hundreds of upstreams a few plans then
	// suffice to spread a group of hot keys.
	minMoveBudget         = 6
	moveBudgetPerUpstream = 0.25
)

// fillEmptyUpstreams moves spans to usable upstreams that have none.
func (d *draft) fillEmptyUpstreams() {
	count := make(map[string]int, len(d.owners))
	for _, s := range d.table.Spans {
		count[futureOwner(s)]++
	}
	for _, o := range d.usable {
		if count[o.ID] == 0 {
			d.fill(o)
		}
	}
}

// spansToFill returns how many spans an upstream without any is given, in a service with the given number
// of upstreams: a single one where the initial assignment gives no more either.
func spansToFill(upstreams int) int {
	if upstreams > manyUpstreams {
		return 1
	}
	return initialSpansPerUpstream / 2
}

// fill moves spans to an upstream that has none.
func (d *draft) fill(o *draftOwner) {
	var tried []*draftOwner
	for moves := 0; moves < spansToFill(len(d.usable)); {
		from := d.mostUtilized(o.ID)
		if from == nil || from.utilization() <= o.utilization() {
			break
		}
		if d.shift(from, o) {
			moves++
			continue
		}
		from.exhausted = true
		tried = append(tried, from)
	}
	// An upstream with nothing for this one may still have a part that fits another one.
	for _, from := range tried {
		from.exhausted = false
	}
}

// mostUtilized returns the usable upstream with the highest utilization, other than avoid and those
// that have nothing to move.
func (d *draft) mostUtilized(avoid string) *draftOwner {
	var best *draftOwner
	for _, o := range d.usable {
		if o.exhausted || o.immovable || best != nil && o.utilization() <= best.utilization() || o.ID == avoid {
			continue
		}
		best = o
	}
	return best
}

// balance moves load from the most utilized upstreams to the least utilized ones.
func (d *draft) balance() {
	maxMoves := max(minMoveBudget, int(moveBudgetPerUpstream*float64(len(d.usable))))
	for moves := 0; moves < maxMoves && len(d.table.Spans) < maxSpansPerUpstream*len(d.usable); moves++ {
		from := d.mostUtilized("")
		if from == nil {
			return
		}
		to := d.leastUtilized(0, from.ID)
		if to == nil || from.utilization() < busyUtilization || from.utilization()-to.utilization() < minUtilizationGap {
			return
		}
		if !d.shift(from, to) {
			from.exhausted = true
		}
	}
}

// hasUrgentOverload reports whether an upstream is severely overloaded even without its hottest
// key, which balancing cannot divide.
func (d *draft) hasUrgentOverload() bool {
	hottestKeyLoad := make(map[string]float64, len(d.usable))
	for _, key := range d.sortedKeys {
		owner := futureOwner(d.table.Find(key))
		hottestKeyLoad[owner] = max(hottestKeyLoad[owner], d.keyLoad[key])
	}
	return slices.ContainsFunc(d.usable, func(o *draftOwner) bool {
		return o.load-hottestKeyLoad[o.ID] > urgentUtilization*o.Capacity
	})
}

// shift moves a span, or a part of one, whose load brings the two upstreams close to equal
// utilization. It reports whether it found one that fits.
func (d *draft) shift(from, to *draftOwner) bool {
	// equalizing is the load to move so that both have the same utilization.
	equalizing := (from.load*to.Capacity - to.load*from.Capacity) / max(from.Capacity+to.Capacity, minCapacity)
	if equalizing <= 0 {
		return false
	}
	targetLoad := equalizing
	if headroom := d.targetUtilization*to.Capacity - to.load; headroom > 0 {
		targetLoad = min(equalizing, headroom)
	}
	best, bestLoad := d.busiestSpan(from)
	if best < 0 {
		from.immovable = true
		return false
	}
	if bestLoad <= targetLoad*1.1 {
		d.move(best, to)
		return true
	}
	if d.loadedKeys(d.table.Spans[best].KeyRange) == 0 {
		// Nothing shows where to split it, and all other spans have no more load.
		from.immovable = len(from.firstKeys) == 1
		return false
	}
	i, ok := d.splitOff(best, targetLoad)
	if !ok && targetLoad < equalizing {
		i, ok = d.splitOffKey(best, equalizing)
	}
	if !ok {
		return false
	}
	d.move(i, to)
	return true
}

// busiestSpan returns the index of the span with the most load that may be moved away from an owner,
// and its load. The index is negative if there is none.
func (d *draft) busiestSpan(of *draftOwner) (best int, bestLoad float64) {
	best = -1
	for _, first := range of.firstKeys {
		i := d.table.Index(first)
		s := d.table.Spans[i]
		if s.Moving() || s.Owner != of.ID || d.recentlyMoved[s.First] || d.pinned(s) {
			continue
		}
		load := d.loadOf(s.KeyRange)
		if load > bestLoad || load == bestLoad && best >= 0 && i < best {
			best, bestLoad = i, load
		}
	}
	return best, bestLoad
}

// loadedKeys returns how many keys of the range have requests.
func (d *draft) loadedKeys(k spans.KeyRange) int {
	n := 0
	for i := d.firstLoadedKey(k.First); i < len(d.sortedKeys) && d.sortedKeys[i] <= k.Last; i++ {
		n++
	}
	return n
}

// splitOff splits the span so that a part with about the target load becomes a span of its own, and
// returns its index. Keys whose own load is higher than that are not part of it.
func (d *draft) splitOff(i int, targetLoad float64) (int, bool) {
	k := d.table.Spans[i].KeyRange
	begin, sum := int(k.First), 0.0
	for j := d.firstLoadedKey(k.First); j < len(d.sortedKeys) && d.sortedKeys[j] <= k.Last; j++ {
		key := d.sortedKeys[j]
		if sum+d.keyLoad[key] <= targetLoad*1.1 {
			sum += d.keyLoad[key]
			continue
		}
		if sum >= targetLoad/2 {
			return d.isolate(i, begin, int(key)-1), true
		}
		// This key alone exceeds the target load: continue after it.
		begin, sum = int(key)+1, 0
	}
	if begin > int(k.Last) || begin == int(k.First) {
		return 0, false
	}
	return d.isolate(i, begin, int(k.Last)), true
}

// splitOffKey isolates the busiest key of the span whose load does not exceed maxLoad, give or take
// a tenth, and returns the index of its span.
func (d *draft) splitOffKey(i int, maxLoad float64) (int, bool) {
	k := d.table.Spans[i].KeyRange
	best, bestLoad := -1, 0.0
	for j := d.firstLoadedKey(k.First); j < len(d.sortedKeys) && d.sortedKeys[j] <= k.Last; j++ {
		if load := d.keyLoad[d.sortedKeys[j]]; load <= maxLoad*1.1 && load > bestLoad {
			best, bestLoad = int(d.sortedKeys[j]), load
		}
	}
	if best < 0 {
		return 0, false
	}
	return d.isolate(i, best, best), true
}

// meanUtilization returns the total load of the usable upstreams divided by their total capacity.
func (d *draft) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, o := range d.usable {
		load += o.load
		capacity += o.Capacity
	}
	return load / max(capacity, minCapacity)
}

// isolate splits the span at index i so that the keys from first to last form a span of their own,
// and returns its index.
func (d *draft) isolate(i, first, last int) int {
	if last < int(d.table.Spans[i].Last) {
		d.split(i, uint16(last+1))
	}
	if first > int(d.table.Spans[i].First) {
		d.split(i, uint16(first))
		i++
	}
	return i
}

// split divides the span at index i so that a new span begins at the key first.
func (d *draft) split(i int, first uint16) {
	s := d.table.Spans[i]
	if o := d.owners[s.Owner]; o != nil && !s.Moving() {
		o.firstKeys = append(o.firstKeys, first)
	}
	d.table.Split(i, first)
}
