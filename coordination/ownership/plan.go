// Package ownership plans which upstream owns which keys of a service: the initial assignment, the
// replacement of lost and leaving owners, load balancing and the placement of hot keys. It only
// computes the moves; other packages carry them out.
package ownership

import (
	"slices"
	"sort"

	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// initialSpansPerUpstream is the number of spans that each upstream gets in the initial
	// assignment. Busy keys tend to be adjacent, so consecutive spans alternate between upstreams:
	// with eleven upstreams, a run of 1,000 busy keys is shared by three of them. Each span costs
	// one renewal call a second.
	initialSpansPerUpstream = 16
	// maxInitialSpans bounds the total number of spans of the initial assignment. With many
	// upstreams the spans are narrow enough without a further split.
	maxInitialSpans = 256
	// minInitialSpansPerUpstream is the minimum number of initial spans for each upstream of a
	// service with at most manyUpstreams upstreams. Larger services start with one span for each,
	// because the leader makes one call a second for every span.
	minInitialSpansPerUpstream = 2
	manyUpstreams              = 512
	// baseKeyLoad is the load, in requests a second, that is assumed for each key in addition to
	// its measured load, so that idle keys are distributed too.
	baseKeyLoad = 0.0002
	// hotKeyCapacityShare is the share of its owner's capacity from which a single key counts as
	// hot and is placed on its own.
	hotKeyCapacityShare = 0.5
	// hotKeyMinGain is the minimum ratio of another upstream's capacity to the present owner's for
	// which a hot key moves there.
	hotKeyMinGain = 1.25
	// isolatedHotKeyMinGain is the same ratio for a hot key that already has a span of its own.
	// Under its load the owner's capacity is underestimated by a factor of somewhat more than two. An
	// upstream that has become slow exceeds the ratio.
	isolatedHotKeyMinGain = 3.0
	// coldKeyFactor is how many times as long requests run for keys that came to their owner without a
	// handover.
	coldKeyFactor = 4
)

// Owner is an upstream that can own keys.
type Owner struct {
	ID string
	// Usable is true if the upstream may be assigned keys: it is neither leaving nor suspected.
	Usable bool
	// MayKeep is true if the upstream may keep the keys that it owns.
	MayKeep bool
	// Warming is true while the upstream warms up and can handle only a few requests.
	Warming bool
	// Capacity is the number of runs of mean work a second that the upstream can complete.
	Capacity float64
	// Incarnation identifies the current process start of the upstream.
	Incarnation instances.Incarnation
}

// restarted reports whether the owner may have restarted since it was granted the span. A grant to the new
// start needs a higher fence.
func (o *Owner) restarted(s spans.Span) bool { return s.GrantedToOtherStart(o.Incarnation) }

// PlanInput is the input of MakePlan.
type PlanInput struct {
	Table *spans.Table
	// Owners lists the upstreams of the service. An owner in Table that is not listed is lost.
	Owners []Owner
	// Load is the work asked for each key, in runs of mean work a second.
	Load map[uint16]float64
	// Pins lists the keys that operators have assigned to upstreams.
	Pins []Pin
	// BalanceDue is true if moves for load balancing are due. Otherwise the plan contains only
	// moves that cannot wait.
	BalanceDue bool
	// ControlUnreliable is true if control calls to working upstreams fail. A move then leaves keys
	// without an owner until a call is answered, so the plan contains only moves that cannot wait.
	ControlUnreliable bool
	// RecentlyMoved is the set of the first keys of spans that have moved recently. They are not
	// moved again for load balancing.
	RecentlyMoved map[uint16]bool
	// Refused is the set of the first keys of spans whose owner has refused their grant because it has
	// seen a higher fence. They move by a higher one: to the same owner if that may be assigned keys.
	Refused map[uint16]bool
}

// Pin assigns keys to an upstream for as long as that upstream may be assigned keys.
type Pin struct {
	spans.KeyRange
	Owner string
}

// InitialTable returns the initial assignment of the keys of a service to the usable owners.
func InitialTable(service string, owners []Owner) *spans.Table {
	t := &spans.Table{Service: service}
	usable := usableIDs(owners)
	if len(usable) == 0 {
		t.Spans = []spans.Span{{KeyRange: spans.KeyRange{First: 0, Last: spans.MaxKey}}}
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
			KeyRange: spans.KeyRange{First: uint16(first), Last: uint16(last)},
			Next:     usable[i%len(usable)], NextFence: t.LastFence,
		})
	}
	return t
}

// PreferWarm excludes upstreams that are warming up from new assignments as long as another
// upstream is usable: they can handle only a few requests a second and would fail under a hot key.
// It modifies and returns owners.
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

// draft is the state of a plan while it is computed.
type draft struct {
	table         *spans.Table
	keyLoad       map[uint16]float64
	recentlyMoved map[uint16]bool
	refused       map[uint16]bool
	pins          []Pin
	sortedKeys    []uint16
	owners        map[string]*draftOwner
	usable        []*draftOwner
	moves         int
	// targetUtilization is the utilization up to which upstreams are filled.
	targetUtilization float64
}

// draftOwner is an upstream in a draft.
type draftOwner struct {
	*Owner
	// load is that of the keys that it will own.
	load float64
	// coldLoad is the additional load of cold keys while they are slow.
	coldLoad float64
	// firstKeys are the first keys of its spans that do not move, in no particular order.
	firstKeys []uint16
	// exhausted is set if it has no load left that can be moved to the present target, immovable if it
	// has none that can be moved to any. Skipping such upstreams lets the others be balanced even if
	// one key is hotter than the capacity of any upstream.
	exhausted, immovable bool
}

func (o *draftOwner) utilization() float64 { return o.load / max(o.Capacity, minCapacity) }

// MakePlan returns a copy of the table with the moves that are due, or nil if there are none. It
// does not modify the input's table.
func MakePlan(in PlanInput) *spans.Table {
	d := newDraft(in)
	if len(d.usable) == 0 {
		return nil
	}
	d.placePinned()
	d.replaceLost()
	if !in.ControlUnreliable {
		d.levelLoads(in.BalanceDue)
	}
	if d.moves == 0 {
		return nil
	}
	return d.table
}

// levelLoads distributes the load. Moves for load balancing are made only if they are due or an
// upstream is severely overloaded.
func (d *draft) levelLoads(balance bool) {
	d.fillEmptyUpstreams()
	d.placeHotKey()
	if balance || d.hasUrgentOverload() {
		d.balance()
	}
}

func newDraft(in PlanInput) *draft {
	d := &draft{
		table:         in.Table.Clone(),
		keyLoad:       in.Load,
		recentlyMoved: in.RecentlyMoved,
		refused:       in.Refused,
		pins:          in.Pins,
		owners:        make(map[string]*draftOwner, len(in.Owners)),
	}
	for key := range in.Load {
		d.sortedKeys = append(d.sortedKeys, key)
	}
	sort.Slice(d.sortedKeys, func(i, j int) bool { return d.sortedKeys[i] < d.sortedKeys[j] })
	for i := range in.Owners {
		o := &draftOwner{Owner: &in.Owners[i]}
		d.owners[o.ID] = o
		if o.Usable {
			d.usable = append(d.usable, o)
		}
	}
	for _, s := range d.table.Spans {
		o := d.owners[futureOwner(s)]
		if o == nil {
			continue
		}
		load := d.loadOf(s.KeyRange)
		o.load += load
		if s.Cold {
			o.coldLoad += (coldKeyFactor - 1) * load
		}
		if !s.Moving() {
			o.firstKeys = append(o.firstKeys, s.First)
		}
	}
	d.targetUtilization = d.meanUtilization()
	return d
}

// futureOwner returns the owner of the span once its pending move, if any, is complete.
func futureOwner(s spans.Span) string {
	if s.Moving() {
		return s.Next
	}
	return s.Owner
}

// loadOf returns the load of a range of keys.
func (d *draft) loadOf(k spans.KeyRange) float64 {
	sum := baseKeyLoad * float64(k.Count())
	for i := d.firstLoadedKey(k.First); i < len(d.sortedKeys) && d.sortedKeys[i] <= k.Last; i++ {
		sum += d.keyLoad[d.sortedKeys[i]]
	}
	return sum
}

// firstLoadedKey returns the index in sortedKeys of the first key at or above key.
func (d *draft) firstLoadedKey(key uint16) int {
	return sort.Search(len(d.sortedKeys), func(i int) bool { return d.sortedKeys[i] >= key })
}

// leastUtilized returns the usable upstream, other than avoid, that would have the lowest
// utilization after taking on the load.
func (d *draft) leastUtilized(load float64, avoid string) *draftOwner {
	var best *draftOwner
	lowest := 0.0
	for _, o := range d.usable {
		if o.ID == avoid {
			continue
		}
		u := (o.load + load) / max(o.Capacity, minCapacity)
		if best == nil || u < lowest {
			best, lowest = o, u
		}
	}
	return best
}

// leastUtilizedByColdKeys is leastUtilized for the keys of a lost owner, which are slow at first. With
// their usual load, an upstream without keys would get most of them and be late with all.
func (d *draft) leastUtilizedByColdKeys(load float64, avoid string) *draftOwner {
	var best *draftOwner
	lowest := 0.0
	for _, o := range d.usable {
		if o.ID == avoid {
			continue
		}
		u := (o.load + o.coldLoad + coldKeyFactor*load) / max(o.Capacity, minCapacity)
		if best == nil || u < lowest {
			best, lowest = o, u
		}
	}
	return best
}

// move starts a move of the span at index i to the owner, with a new fence.
func (d *draft) move(i int, to *draftOwner) {
	s := &d.table.Spans[i]
	load := d.loadOf(s.KeyRange)
	if from := d.owners[futureOwner(*s)]; from != nil {
		from.load -= load
		from.firstKeys = slices.DeleteFunc(from.firstKeys, func(first uint16) bool { return first == s.First })
	}
	to.load += load
	d.table.LastFence++
	s.Next = to.ID
	s.NextFence = d.table.LastFence
	d.moves++
}

// placePinned moves pinned keys to their upstreams.
func (d *draft) placePinned() {
	for _, pin := range d.pins {
		owner := d.owners[pin.Owner]
		if owner == nil || !owner.Usable {
			continue
		}
		for i := d.table.Index(pin.First); i < len(d.table.Spans) && d.table.Spans[i].First <= pin.Last; i++ {
			s := d.table.Spans[i]
			if s.Moving() || s.Owner == pin.Owner {
				continue
			}
			i = d.isolate(i, int(max(s.First, pin.First)), int(min(s.Last, pin.Last)))
			d.move(i, owner)
		}
	}
}

// pinned reports whether any key of the span is pinned to its present owner.
func (d *draft) pinned(s spans.Span) bool {
	for _, pin := range d.pins {
		if pin.Owner == s.Owner && s.First <= pin.Last && s.Last >= pin.First {
			return true
		}
	}
	return false
}

// replaceLost reassigns the spans of lost and leaving owners, the busiest first. A restarted owner
// gets its spans back: they can be granted without a wait, and no keys change their upstream. So does an
// owner that has refused a grant.
func (d *draft) replaceLost() {
	var orphans []int
	for i, s := range d.table.Spans {
		if s.Moving() {
			continue
		}
		o := d.owners[s.Owner]
		switch {
		case o == nil || !o.MayKeep:
			orphans = append(orphans, i)
		case !o.restarted(s) && !d.refused[s.First]:
		case o.Usable:
			d.move(i, o)
		default:
			orphans = append(orphans, i)
		}
	}
	sort.Slice(orphans, func(a, b int) bool {
		return d.loadOf(d.table.Spans[orphans[a]].KeyRange) > d.loadOf(d.table.Spans[orphans[b]].KeyRange)
	})
	for _, i := range orphans {
		s := d.table.Spans[i]
		load := d.loadOf(s.KeyRange)
		if to := d.leastUtilizedByColdKeys(load, s.Owner); to != nil {
			d.move(i, to)
			to.coldLoad += (coldKeyFactor - 1) * load
		}
	}
}

// placeHotKey moves the hottest key to the upstream with the highest capacity if that is clearly
// higher than the capacity of the present owner. The other load of that upstream is moved away by
// balance.
func (d *draft) placeHotKey() {
	var hot uint16
	hottestLoad := 0.0
	for key, load := range d.keyLoad {
		if load > hottestLoad {
			hot, hottestLoad = key, load
		}
	}
	if hottestLoad == 0 {
		return
	}
	i := d.table.Index(hot)
	s := d.table.Spans[i]
	owner := d.owners[s.Owner]
	if s.Moving() || owner == nil || hottestLoad < hotKeyCapacityShare*owner.Capacity || d.recentlyMoved[s.First] && s.Count() == 1 || d.pinned(s) {
		return
	}
	minGain := hotKeyMinGain
	if s.Count() == 1 {
		minGain = isolatedHotKeyMinGain
	}
	best := d.highestCapacity()
	if best == nil || best.ID == owner.ID || best.Capacity < minGain*owner.Capacity {
		return
	}
	i = d.isolate(i, int(hot), int(hot))
	d.move(i, best)
}

func (d *draft) highestCapacity() *draftOwner {
	var best *draftOwner
	for _, o := range d.usable {
		if best == nil || o.Capacity > best.Capacity {
			best = o
		}
	}
	return best
}
