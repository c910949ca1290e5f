package ownership

import "slices"

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
func (p *draft) fillEmptyUpstreams() {
	count := make(map[string]int)
	for _, s := range p.table.Spans {
		count[futureOwner(s)]++
	}
	for _, o := range p.usable {
		if count[o.ID] > 0 {
			continue
		}
		for moves := 0; moves < initialSpansPerUpstream/2; {
			from := p.mostUtilized(o.ID)
			if from == nil {
				break
			}
			if p.shift(from, o) {
				moves++
			} else {
				p.exhausted[from.ID] = true
			}
		}
		// An upstream with nothing for this one may still have a part that fits another one.
		clear(p.exhausted)
	}
}

// mostUtilized returns the usable upstream with the highest utilization, other than avoid and those
// that are exhausted.
func (p *draft) mostUtilized(avoid string) *Owner {
	var best *Owner
	for _, o := range p.usable {
		if o.ID != avoid && !p.exhausted[o.ID] && (best == nil || p.utilization(o) > p.utilization(best)) {
			best = o
		}
	}
	return best
}

// balance moves load from the most utilized upstreams to the least utilized ones.
func (p *draft) balance() {
	maxMoves := max(minMoveBudget, int(moveBudgetPerUpstream*float64(len(p.usable))))
	for moves := 0; moves < maxMoves && len(p.table.Spans) < maxSpansPerUpstream*len(p.usable); moves++ {
		from := p.mostUtilized("")
		if from == nil {
			return
		}
		to := p.leastUtilized(0, from.ID)
		if to == nil || p.utilization(from) < busyUtilization || p.utilization(from)-p.utilization(to) < minUtilizationGap {
			return
		}
		if !p.shift(from, to) {
			p.exhausted[from.ID] = true
		}
	}
}

// hasUrgentOverload reports whether an upstream is severely overloaded even without its hottest
// key, which balancing cannot divide.
func (p *draft) hasUrgentOverload() bool {
	hottestKeyLoad := make(map[string]float64, len(p.usable))
	for _, key := range p.sortedKeys {
		owner := futureOwner(p.table.Find(key))
		hottestKeyLoad[owner] = max(hottestKeyLoad[owner], p.keyLoad[key])
	}
	return slices.ContainsFunc(p.usable, func(o *Owner) bool {
		return p.loads[o.ID]-hottestKeyLoad[o.ID] > urgentUtilization*o.Capacity
	})
}

// shift moves a span, or a part of one, whose load brings the two upstreams close to equal
// utilization. It reports whether it found one that fits.
func (p *draft) shift(from, to *Owner) bool {
	// equalizing is the load to move so that both have the same utilization.
	equalizing := (p.loads[from.ID]*to.Capacity - p.loads[to.ID]*from.Capacity) / max(from.Capacity+to.Capacity, minCapacity)
	if equalizing <= 0 {
		return false
	}
	wanted := equalizing
	if headroom := p.targetUtilization*to.Capacity - p.loads[to.ID]; headroom > 0 {
		wanted = min(equalizing, headroom)
	}
	best, bestLoad := -1, 0.0
	for i, s := range p.table.Spans {
		if s.Moving() || s.Owner != from.ID || p.recentlyMoved[s.First] || p.pinned(s) {
			continue
		}
		if load := p.loadOf(s.KeyRange); load > bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return false
	}
	if bestLoad <= wanted*1.1 {
		p.move(best, to)
		return true
	}
	i, ok := p.splitOff(best, wanted)
	if !ok && wanted < equalizing {
		i, ok = p.splitOffKey(best, equalizing)
	}
	if !ok {
		return false
	}
	p.move(i, to)
	return true
}

// splitOff splits the span so that a part with about the wanted load becomes a span of its own, and
// returns its index. Keys whose own load is higher than that are not part of it.
func (p *draft) splitOff(i int, wanted float64) (int, bool) {
	k := p.table.Spans[i].KeyRange
	begin, sum := int(k.First), 0.0
	for j := p.firstLoadedKey(k.First); j < len(p.sortedKeys) && p.sortedKeys[j] <= k.Last; j++ {
		key := p.sortedKeys[j]
		if sum+p.keyLoad[key] <= wanted*1.1 {
			sum += p.keyLoad[key]
			continue
		}
		if sum >= wanted/2 {
			return p.isolate(i, begin, int(key)-1), true
		}
		// This key alone exceeds the wanted load: continue after it.
		begin, sum = int(key)+1, 0
	}
	if begin > int(k.Last) || begin == int(k.First) {
		return 0, false
	}
	return p.isolate(i, begin, int(k.Last)), true
}

// splitOffKey isolates the busiest key of the span whose load does not exceed maxLoad, give or take
// a tenth, and returns the index of its span.
func (p *draft) splitOffKey(i int, maxLoad float64) (int, bool) {
	k := p.table.Spans[i].KeyRange
	best, bestLoad := -1, 0.0
	for j := p.firstLoadedKey(k.First); j < len(p.sortedKeys) && p.sortedKeys[j] <= k.Last; j++ {
		if load := p.keyLoad[p.sortedKeys[j]]; load <= maxLoad*1.1 && load > bestLoad {
			best, bestLoad = int(p.sortedKeys[j]), load
		}
	}
	if best < 0 {
		return 0, false
	}
	return p.isolate(i, best, best), true
}

// meanUtilization returns the total load of the usable upstreams divided by their total capacity.
func (p *draft) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, o := range p.usable {
		load += p.loads[o.ID]
		capacity += o.Capacity
	}
	return load / max(capacity, minCapacity)
}

// isolate splits the span at index i so that the keys from first to last form a span of their own,
// and returns its index.
func (p *draft) isolate(i, first, last int) int {
	if last < int(p.table.Spans[i].Last) {
		p.table.Split(i, uint16(last+1))
	}
	if first > int(p.table.Spans[i].First) {
		p.table.Split(i, uint16(first))
		i++
	}
	return i
}
