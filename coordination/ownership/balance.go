package ownership

import "slices"

// This file evens the load of upstreams out.

const (
	// mostSpans bounds the spans of a service, in multiples of its upstreams:
	// each span is one grant to renew.
	mostSpans = 32
	// busyUtilization is the share of its capacity below which an upstream
	// gives nothing away for balance.
	busyUtilization = 0.6
	// urgentUtilization is the utilization from which moves for balance do not wait: a group
	// of hot keys on one upstream. Below, an upstream that is a little more utilized than others
	// can wait a second, and many moves are one write to the store.
	urgentUtilization = 1.4
	// unevenness is the difference in utilization that is worth a move: the
	// noise of counts over a second or two is about half of it.
	unevenness = 0.25
	// leastMoves and movesShare bound the moves for balance in one plan: so many, or so
	// many for each upstream: among hundreds a hot group of keys is spread by a few plans.
	leastMoves = 6
	movesShare = 0.25
)

// fillEmpty gives keys to upstreams that have none.
func (p *plan) fillEmpty() {
	count := make(map[string]int)
	for _, s := range p.table.Spans {
		count[holder(s)]++
	}
	for _, o := range p.usable {
		if count[o.ID] > 0 {
			continue
		}
		for done := 0; done < firstSpans/2; {
			from := p.hottest(o.ID)
			if from == nil {
				break
			}
			if p.shift(from, o) {
				done++
			} else {
				p.stuck[from.ID] = true
			}
		}
		// What could not be given to this one may be given to others.
		clear(p.stuck)
	}
}

// hottest returns the usable upstream with the highest utilization, other than
// the one to avoid.
func (p *plan) hottest(avoid string) *Owner {
	var best *Owner
	for _, o := range p.usable {
		if o.ID != avoid && !p.stuck[o.ID] && (best == nil || p.utilization(o) > p.utilization(best)) {
			best = o
		}
	}
	return best
}

// balance moves load from the most to the least utilized upstreams.
func (p *plan) balance() {
	most := max(leastMoves, int(movesShare*float64(len(p.usable))))
	for done := 0; done < most && len(p.table.Spans) < mostSpans*len(p.usable); done++ {
		from := p.hottest("")
		if from == nil {
			return
		}
		to := p.coldest(0, from.ID)
		if to == nil || p.utilization(from) < busyUtilization || p.utilization(from)-p.utilization(to) < unevenness {
			return
		}
		if !p.shift(from, to) {
			p.stuck[from.ID] = true
		}
	}
}

// urgent reports whether an upstream is asked for far more than it can run, beside the
// hottest of its keys, which balance cannot spread.
func (p *plan) urgent() bool {
	hottest := make(map[string]float64, len(p.usable))
	for _, key := range p.sorted {
		owner := holder(p.table.Find(key))
		hottest[owner] = max(hottest[owner], p.load[key])
	}
	return slices.ContainsFunc(p.usable, func(o *Owner) bool {
		return p.loads[o.ID]-hottest[o.ID] > urgentUtilization*o.Capacity
	})
}

// shift moves about as much load as evens two upstreams out, and reports
// whether it found a part that fits.
func (p *plan) shift(from, to *Owner) bool {
	// The amount after which both have the same utilization.
	even := (p.loads[from.ID]*to.Capacity - p.loads[to.ID]*from.Capacity) / max(from.Capacity+to.Capacity, leastCapacity)
	if even <= 0 {
		return false
	}
	want := even
	if room := p.target*to.Capacity - p.loads[to.ID]; room > 0 {
		want = min(even, room)
	}
	best, bestLoad := -1, 0.0
	for i, s := range p.table.Spans {
		if s.Moving() || s.Owner != from.ID || p.resting[s.First] || p.pinned(s) {
			continue
		}
		if load := p.loadOf(s.Keys); load > bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return false
	}
	if bestLoad <= want*1.1 {
		p.move(best, to)
		return true
	}
	i, ok := p.cut(best, want)
	if !ok && want < even {
		i, ok = p.cutKey(best, even)
	}
	if !ok {
		return false
	}
	p.move(i, to)
	return true
}

// cut splits the span so that a part with about the wanted load stands alone,
// and returns its index. A key that is itself more than that stays.
func (p *plan) cut(i int, want float64) (int, bool) {
	k := p.table.Spans[i].Keys
	begin, sum := int(k.First), 0.0
	for j := p.index(k.First); j < len(p.sorted) && p.sorted[j] <= k.Last; j++ {
		key := p.sorted[j]
		if sum+p.load[key] <= want*1.1 {
			sum += p.load[key]
			continue
		}
		if sum >= want/2 {
			return p.isolate(i, begin, int(key)-1), true
		}
		// This key alone is too much: look behind it.
		begin, sum = int(key)+1, 0
	}
	if begin > int(k.Last) || begin == int(k.First) {
		return 0, false
	}
	return p.isolate(i, begin, int(k.Last)), true
}

// cutKey isolates the busiest single key of the span that has at most the load.
func (p *plan) cutKey(i int, most float64) (int, bool) {
	k := p.table.Spans[i].Keys
	best, bestLoad := -1, 0.0
	for j := p.index(k.First); j < len(p.sorted) && p.sorted[j] <= k.Last; j++ {
		if load := p.load[p.sorted[j]]; load <= most*1.1 && load > bestLoad {
			best, bestLoad = int(p.sorted[j]), load
		}
	}
	if best < 0 {
		return 0, false
	}
	return p.isolate(i, best, best), true
}

// meanUtilization is that of all usable upstreams together.
func (p *plan) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, o := range p.usable {
		load += p.loads[o.ID]
		capacity += o.Capacity
	}
	return load / max(capacity, leastCapacity)
}

// isolate splits the span at index i so that the keys from first to last are a
// span, and returns its index.
func (p *plan) isolate(i, first, last int) int {
	if last < int(p.table.Spans[i].Last) {
		p.table.Split(i, uint16(last+1))
	}
	if first > int(p.table.Spans[i].First) {
		p.table.Split(i, uint16(first))
		i++
	}
	return i
}
