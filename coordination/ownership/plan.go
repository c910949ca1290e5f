// Package ownership decides which upstream owns which keys of a service: first
// assignment, replacement of lost and leaving owners, balance of load and the
// place of hot keys. It only plans: the steps of a move are made elsewhere.
package ownership

import (
	"slices"
	"sort"

	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// initialSpansPerUpstream is the number of spans each upstream gets at first. The keys that
	// are busy lie close to one another, so upstreams alternate; a run of 1,000 busy
	// keys lies on three of eleven. Each span is one renewal a second.
	initialSpansPerUpstream = 16
	// maxInitialSpans bounds the spans of the first assignment: the more upstreams,
	// the narrower their spans are anyway.
	maxInitialSpans = 256
	// minInitialSpansPerUpstream is the least number for each upstream, up to manyUpstreams upstreams. Beyond
	// it is one: each span is a call a second by the leader.
	minInitialSpansPerUpstream = 2
	manyUpstreams              = 512
	// baseKeyLoad is the load, in requests a second, that each key counts for
	// without having been asked for: so cold keys are spread as well.
	baseKeyLoad = 0.0002
	// hotKeyCapacityShare is the share of its owner's capacity from which a single key is
	// hot and is placed on its own.
	hotKeyCapacityShare = 0.5
	// hotKeyMinGain is how much more capacity another upstream must have for a hot
	// key to move there.
	hotKeyMinGain = 1.25
	// isolatedHotKeyMinGain is the same for a hot key that stands alone already: under its load
	// the owner's capacity is underestimated by up to about 2.2 times (from logs of a
	// calm day with one hot key); an upstream that has turned slow lies beyond.
	isolatedHotKeyMinGain = 3.0
)

// Owner is an upstream that can own keys.
type Owner struct {
	ID string
	// Usable says that it may be given keys: it is neither leaving nor
	// suspected.
	Usable bool
	// MayKeep says that it may keep the keys it has.
	MayKeep bool
	// Warming says that it warms up and bears few requests until it has.
	Warming bool
	// Capacity is how many requests a second it can run.
	Capacity float64
	// Incarnation tells which start of the upstream this is.
	Incarnation instances.Incarnation
}

// restarted reports whether the owner has started again since it was granted the keys:
// nobody holds them.
func (o *Owner) restarted(s spans.Span) bool { return o.Incarnation.Other(s.Incarnation) }

// PlanInput is what a plan is made from.
type PlanInput struct {
	Table *spans.Table
	// Owners are the upstreams of the service; those missing are lost.
	Owners []Owner
	// Load is requests a second by key.
	Load map[uint16]float64
	// Pins are where operators want keys to live.
	Pins []Pin
	// BalanceDue says that moves for balance are due. Without it only those are made that
	// cannot wait.
	BalanceDue bool
	// ControlUnreliable says that control calls get no answers: each move leaves keys without an owner
	// until some are, so only those are made that cannot wait.
	ControlUnreliable bool
	// RecentlyMoved are the first keys of spans that have moved lately: they are not
	// moved again for balance.
	RecentlyMoved map[uint16]bool
}

// Pin keeps keys on an upstream as long as that may be given keys.
type Pin struct {
	spans.Keys
	Owner string
}

// InitialTable returns the first assignment of a service over the owners.
func InitialTable(service string, owners []Owner) *spans.Table {
	t := &spans.Table{Service: service}
	usable := usableIDs(owners)
	if len(usable) == 0 {
		t.Spans = []spans.Span{{Keys: spans.Keys{First: 0, Last: spans.MaxKey}}}
		return t
	}
	minPerUpstream := minInitialSpansPerUpstream
	if len(usable) > manyUpstreams {
		minPerUpstream = 1
	}
	count := len(usable) * max(min(initialSpansPerUpstream, maxInitialSpans/len(usable)), minPerUpstream)
	for i := range count {
		first := i * (spans.MaxKey + 1) / count
		last := (i+1)*(spans.MaxKey+1)/count - 1
		t.LastFence++
		t.Spans = append(t.Spans, spans.Span{
			Keys: spans.Keys{First: uint16(first), Last: uint16(last)},
			Next: usable[i%len(usable)], NextFence: t.LastFence,
		})
	}
	return t
}

// PreferWarm lets upstreams that warm up get no keys as long as there are others that may:
// they bear a few requests a second, and with a hot key they would break.
func PreferWarm(owners []Owner) []Owner {
	if !slices.ContainsFunc(owners, func(o Owner) bool { return o.Usable && !o.Warming }) {
		return owners
	}
	for i := range owners {
		owners[i].Usable = owners[i].Usable && !owners[i].Warming
	}
	return owners
}

func usableIDs(owners []Owner) []string {
	var out []string
	for _, o := range owners {
		if o.Usable {
			out = append(out, o.ID)
		}
	}
	return out
}

// plan is a plan in the making.
type draft struct {
	table         *spans.Table
	keyLoad       map[uint16]float64
	recentlyMoved map[uint16]bool
	pins          []Pin
	sortedKeys    []uint16
	owners        map[string]*Owner
	usable        []*Owner
	loads         map[string]float64
	moves         int
	// stuck are upstreams that can give nothing away: a key that is hot beyond any
	// upstream's capacity must not keep the others uneven.
	exhausted map[string]bool
	// target is the utilization to which upstreams are filled up.
	targetUtilization float64
}

// MakePlan returns the table with the moves that are due, or nil when there are
// none. The input's table is not changed.
func MakePlan(in PlanInput) *spans.Table {
	p := newDraft(in)
	if len(p.usable) == 0 {
		return nil
	}
	p.placePinned()
	p.replaceLost()
	if !in.ControlUnreliable {
		p.levelLoads(in.BalanceDue)
	}
	if p.moves == 0 {
		return nil
	}
	return p.table
}

// even makes the moves that even loads out, those for balance if they are due or urgent.
func (p *draft) levelLoads(balance bool) {
	p.fillEmptyUpstreams()
	p.placeHotKey()
	if balance || p.hasUrgentOverload() {
		p.balance()
	}
}

func newDraft(in PlanInput) *draft {
	p := &draft{
		table:         in.Table.Clone(),
		keyLoad:       in.Load,
		recentlyMoved: in.RecentlyMoved,
		pins:          in.Pins,
		owners:        make(map[string]*Owner, len(in.Owners)),
		loads:         make(map[string]float64, len(in.Owners)),
		exhausted:     make(map[string]bool),
	}
	for key := range in.Load {
		p.sortedKeys = append(p.sortedKeys, key)
	}
	sort.Slice(p.sortedKeys, func(i, j int) bool { return p.sortedKeys[i] < p.sortedKeys[j] })
	for i := range in.Owners {
		o := &in.Owners[i]
		p.owners[o.ID] = o
		if o.Usable {
			p.usable = append(p.usable, o)
		}
	}
	for _, s := range p.table.Spans {
		p.loads[futureOwner(s)] += p.loadOf(s.Keys)
	}
	p.targetUtilization = p.meanUtilization()
	return p
}

// futureOwner is the upstream that has the keys after the moves under way.
func futureOwner(s spans.Span) string {
	if s.Moving() {
		return s.Next
	}
	return s.Owner
}

// loadOf returns the load of a span of keys.
func (p *draft) loadOf(k spans.Keys) float64 {
	sum := baseKeyLoad * float64(k.Count())
	for i := p.firstLoadedKey(k.First); i < len(p.sortedKeys) && p.sortedKeys[i] <= k.Last; i++ {
		sum += p.keyLoad[p.sortedKeys[i]]
	}
	return sum
}

// index returns the position of the first loaded key at or above the key.
func (p *draft) firstLoadedKey(key uint16) int {
	return sort.Search(len(p.sortedKeys), func(i int) bool { return p.sortedKeys[i] >= key })
}

func (p *draft) utilization(o *Owner) float64 { return p.loads[o.ID] / max(o.Capacity, minCapacity) }

// leastUtilized returns the usable upstream with the lowest utilization after taking
// the load, other than the one to avoid.
func (p *draft) leastUtilized(load float64, avoid string) *Owner {
	var best *Owner
	lowest := 0.0
	for _, o := range p.usable {
		if o.ID == avoid {
			continue
		}
		u := (p.loads[o.ID] + load) / max(o.Capacity, minCapacity)
		if best == nil || u < lowest {
			best, lowest = o, u
		}
	}
	return best
}

// move gives the span at index i to the owner with a new fence.
func (p *draft) move(i int, to *Owner) {
	s := &p.table.Spans[i]
	load := p.loadOf(s.Keys)
	p.loads[futureOwner(*s)] -= load
	p.loads[to.ID] += load
	p.table.LastFence++
	s.Next = to.ID
	s.NextFence = p.table.LastFence
	p.moves++
}

// placePinned moves keys to where operators want them.
func (p *draft) placePinned() {
	for _, pin := range p.pins {
		owner := p.owners[pin.Owner]
		if owner == nil || !owner.Usable {
			continue
		}
		for i := p.table.At(pin.First); i < len(p.table.Spans) && p.table.Spans[i].First <= pin.Last; i++ {
			s := p.table.Spans[i]
			if s.Moving() || s.Owner == pin.Owner {
				continue
			}
			i = p.isolate(i, int(max(s.First, pin.First)), int(min(s.Last, pin.Last)))
			p.move(i, owner)
		}
	}
}

// pinned reports whether the owner of the span is where operators want some of
// its keys to be.
func (p *draft) pinned(s spans.Span) bool {
	for _, pin := range p.pins {
		if pin.Owner == s.Owner && s.First <= pin.Last && s.Last >= pin.First {
			return true
		}
	}
	return false
}

// replaceLost gives the keys of lost and leaving owners to others, the busiest
// first, and those of owners that have started again to these themselves: that is a grant
// without a wait, and their other keys are where they were.
func (p *draft) replaceLost() {
	var orphans []int
	for i, s := range p.table.Spans {
		if s.Moving() {
			continue
		}
		o := p.owners[s.Owner]
		switch {
		case o == nil || !o.MayKeep:
			orphans = append(orphans, i)
		case o.restarted(s) && o.Usable:
			p.move(i, o)
		case o.restarted(s):
			orphans = append(orphans, i)
		}
	}
	sort.Slice(orphans, func(a, b int) bool {
		return p.loadOf(p.table.Spans[orphans[a]].Keys) > p.loadOf(p.table.Spans[orphans[b]].Keys)
	})
	for _, i := range orphans {
		s := p.table.Spans[i]
		if to := p.leastUtilized(p.loadOf(s.Keys), s.Owner); to != nil {
			p.move(i, to)
		}
	}
}

// placeHotKey puts the hottest single key on an upstream of its own strength: the
// strongest one when it has clearly more capacity than the present owner. What
// else that upstream has is moved away by balance.
func (p *draft) placeHotKey() {
	var hot uint16
	hottestLoad := 0.0
	for key, load := range p.keyLoad {
		if load > hottestLoad {
			hot, hottestLoad = key, load
		}
	}
	if hottestLoad == 0 {
		return
	}
	i := p.table.At(hot)
	s := p.table.Spans[i]
	owner := p.owners[s.Owner]
	if s.Moving() || owner == nil || hottestLoad < hotKeyCapacityShare*owner.Capacity || p.recentlyMoved[s.First] && s.Count() == 1 || p.pinned(s) {
		return
	}
	minGain := hotKeyMinGain
	if s.Count() == 1 {
		minGain = isolatedHotKeyMinGain
	}
	best := p.highestCapacity()
	if best == nil || best.ID == owner.ID || best.Capacity < minGain*owner.Capacity {
		return
	}
	i = p.isolate(i, int(hot), int(hot))
	p.move(i, best)
}

func (p *draft) highestCapacity() *Owner {
	var best *Owner
	for _, o := range p.usable {
		if best == nil || o.Capacity > best.Capacity {
			best = o
		}
	}
	return best
}
