package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rockcroft/rockcroft/state/spans"
)

func owners(n int) []Owner {
	var out []Owner
	for i := range n {
		out = append(out, Owner{ID: fmt.Sprintf("u%d", i), Usable: true, MayKeep: true, Capacity: 60})
	}
	return out
}

// completeMoves returns a copy of the table in which all pending moves are granted.
func completeMoves(t *spans.Table) *spans.Table {
	t = t.Clone()
	for i := range t.Spans {
		s := &t.Spans[i]
		if s.Moving() {
			s.Owner, s.Fence, s.Next, s.NextFence = s.Next, s.NextFence, "", 0
		}
	}
	return t
}

func settledTable(n int) *spans.Table { return completeMoves(InitialTable("s", owners(n))) }

func TestInitialTableAlternatesOwners(t *testing.T) {
	table := InitialTable("s", owners(11))
	if err := table.Validate(); err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for i, s := range table.Spans {
		counts[s.Next]++
		if i > 0 && s.Next == table.Spans[i-1].Next {
			t.Errorf("adjacent spans %d and %d have the same owner", i-1, i)
		}
	}
	for id, n := range counts {
		if n != initialSpansPerUpstream {
			t.Errorf("upstream %s has %d initial spans", id, n)
		}
	}
}

func TestNoPlanWithoutReason(t *testing.T) {
	if next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(5), Owners: owners(5)}); next != nil {
		t.Error("a plan was made though no move is due")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(5)}); next != nil {
		t.Error("a plan was made without upstreams")
	}
}

func TestLostOwnersAreReplaced(t *testing.T) {
	list := owners(5)
	list[1].MayKeep, list[1].Usable = false, false
	next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(5), Owners: append(list[:2:2], list[3:]...)})
	if next == nil {
		t.Fatal("no plan")
	}
	for _, s := range next.Spans {
		lost := s.Owner == "u1" || s.Owner == "u2"
		if lost != s.Moving() || s.Next == "u1" || s.Next == "u2" {
			t.Errorf("span of %s moves to %q", s.Owner, s.Next)
		}
	}
}

// TestRestartedOwnerIsGrantedItsKeysAgain checks that a restarted owner gets its spans back at once
// with higher fences, and that other upstreams get them if it is not usable.
func TestRestartedOwnerIsGrantedItsKeysAgain(t *testing.T) {
	table, list := settledTable(3), owners(3)
	for i := range table.Spans {
		table.Spans[i].Incarnation = 7
	}
	for i := range list {
		list[i].Incarnation = 7
	}
	list[1].Incarnation = 8
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list})
	for _, s := range next.Spans {
		again := s.Owner == "u1"
		if again != s.Moving() || again && (s.Next != "u1" || s.NextFence <= s.Fence) {
			t.Errorf("span of %s moves to %q with fence %d, previous fence %d", s.Owner, s.Next, s.NextFence, s.Fence)
		}
	}
	list[1].Usable = false
	for _, s := range MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list}).Spans {
		if s.Owner == "u1" && (!s.Moving() || s.Next == "u1") {
			t.Errorf("span of the unusable restarted owner moves to %q", s.Next)
		}
	}
}

// TestOwnerThatRefusedARenewalIsGrantedItsKeysAgain guards against keys that are given to another upstream
// because their owner has seen a higher fence on some of them.
func TestOwnerThatRefusedARenewalIsGrantedItsKeysAgain(t *testing.T) {
	table, list := settledTable(3), owners(3)
	first := table.Spans[1].First
	owner := table.Spans[1].Owner
	in := PlanInput{Table: table, Owners: list, Refused: map[uint16]bool{first: true}}
	for _, s := range MakePlan(in).Spans {
		if again := s.First == first; again != s.Moving() || again && (s.Next != owner || s.NextFence <= s.Fence) {
			t.Errorf("span of %s moves to %q with fence %d, previous fence %d", s.Owner, s.Next, s.NextFence, s.Fence)
		}
	}
	for i := range list {
		list[i].Usable = list[i].ID != owner
	}
	if s := MakePlan(in).Find(first); !s.Moving() || s.Next == owner {
		t.Errorf("span of the unusable owner moves to %q", s.Next)
	}
}

// TestRefusedSpanIsGrantedAgain checks that only the span whose owner has refused its grant moves, by a higher fence,
// to the same owner if that is usable and to another one if not.
func TestRefusedSpanIsGrantedAgain(t *testing.T) {
	table, list := settledTable(3), owners(3)
	refused := table.Spans[1]
	for _, usable := range []bool{true, false} {
		list[1].Usable = usable
		next := MakePlan(PlanInput{Table: table, Owners: list, Refused: map[uint16]bool{refused.First: true}})
		for _, s := range next.Spans {
			if again := s.First == refused.First; again != s.Moving() || again && (s.NextFence <= table.LastFence || (s.Next == s.Owner) != usable) {
				t.Errorf("usable %v: span %d of %s moves to %q with fence %d", usable, s.First, s.Owner, s.Next, s.NextFence)
			}
		}
	}
}

// TestSuspectedOwnerKeepsItsKeysAndGetsNoOthers checks that an owner that is not usable but may
// keep its keys neither loses nor gains any.
func TestSuspectedOwnerKeepsItsKeysAndGetsNoOthers(t *testing.T) {
	list := owners(3)
	list[0].Usable = false
	list[1].MayKeep, list[1].Usable = false, false
	next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(3), Owners: list})
	for _, s := range next.Spans {
		if s.Next == "u0" || (s.Owner == "u0" && s.Moving()) {
			t.Errorf("span of %s moves to %q", s.Owner, s.Next)
		}
	}
}

func TestNewUpstreamGetsKeys(t *testing.T) {
	table := settledTable(4)
	load := map[uint16]float64{100: 5, 20000: 5, 40000: 5, 60000: 5}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: owners(5), Load: load})
	if next == nil {
		t.Fatal("no plan")
	}
	assigned := 0
	for _, s := range next.Spans {
		if s.Next == "u4" {
			assigned++
		}
	}
	if assigned == 0 {
		t.Error("the new upstream gets no keys")
	}
}

// TestNewUpstreamGetsKeysBesideAHotKey checks that a new upstream gets keys from the others when
// the most utilized upstream has only a hot key that exceeds any capacity.
func TestNewUpstreamGetsKeysBesideAHotKey(t *testing.T) {
	table := settledTable(4)
	load := map[uint16]float64{100: 5, 20000: 5, 40000: 5, 60000: 5, 100 + 4096: 900}
	table.Split(table.Index(100+4096), 100+4096)
	table.Split(table.Index(100+4096), 100+4096+1)
	for i := range table.Spans {
		// The hot key has a span of its own and is all that its owner has.
		if table.Spans[i].Owner == table.Find(100+4096).Owner && !table.Spans[i].Contains(100+4096) {
			table.Spans[i].Owner = "u0"
		}
	}
	next := MakePlan(PlanInput{Table: table, Owners: owners(5), Load: load})
	if next == nil {
		t.Fatal("no plan")
	}
	for _, s := range next.Spans {
		if s.Next == "u4" {
			return
		}
	}
	t.Error("the new upstream gets no keys")
}

// TestAdjacentBusyKeysAreSpread checks that a few plans distribute adjacent keys that carry most of
// the load.
func TestAdjacentBusyKeysAreSpread(t *testing.T) {
	table, list := settledTable(6), owners(6)
	load := make(map[uint16]float64)
	for k := range uint16(64) {
		load[5000+k] = 3
	}
	before := maxUtilization(table, list, load)
	table = runPlans(6, table, list, load)
	if after := maxUtilization(table, list, load); after > 0.75 {
		t.Errorf("maximum utilization %.2f, was %.2f", after, before)
	}
}

// TestHotKeyDoesNotBlockBalancing checks that the other keys are balanced when one key exceeds the
// capacity of any upstream.
func TestHotKeyDoesNotBlockBalancing(t *testing.T) {
	table, list := settledTable(40), owners(40)
	load := map[uint16]float64{60000: 700}
	for k := range uint16(60) {
		load[5000+k] = 20
	}
	table = runPlans(4, table, list, load)
	delete(load, 60000)
	if after := maxUtilization(table, list, load); after > 1 {
		t.Errorf("maximum utilization by other keys %.2f", after)
	}
}

// TestHotKeyGroupIsSpreadQuickly checks that four plans distribute a group of hot keys from a few
// upstreams to many, none of which is filled beyond the mean.
func TestHotKeyGroupIsSpreadQuickly(t *testing.T) {
	table, list := settledTable(300), owners(300)
	load := make(map[uint16]float64)
	for k := range uint16(200) {
		load[5000+k] = 25
	}
	before := maxUtilization(table, list, load)
	table = runPlans(4, table, list, load)
	if after := maxUtilization(table, list, load); after > 1 || before < 10 {
		t.Errorf("maximum utilization %.2f, was %.2f", after, before)
	}
}

// TestBalancingWaitsUnlessUrgent checks that keys move for balancing only when it is due or an
// upstream is severely overloaded by more than one key.
func TestBalancingWaitsUnlessUrgent(t *testing.T) {
	table, list := settledTable(6), owners(6)
	load := make(map[uint16]float64)
	for k := range uint16(30) {
		load[5000+k] = 2.5
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: load}); next != nil {
		t.Error("keys move for balancing before it is due")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load}); next == nil {
		t.Error("no key moves though balancing is due")
	}
	for k := range load {
		load[k] *= 2
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: load}); next == nil {
		t.Error("no key moves though one upstream has 2.5 times its capacity in load")
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: map[uint16]float64{5000: 900}}); next != nil {
		t.Error("keys move because of a single hot key, which cannot be divided")
	}
}

// runPlans makes and completes up to the given number of plans, one after the other.
func runPlans(plans int, table *spans.Table, list []Owner, load map[uint16]float64) *spans.Table {
	for range plans {
		next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load})
		if next == nil {
			break
		}
		table = completeMoves(next)
	}
	return table
}

// maxUtilization returns the highest utilization of an owner.
func maxUtilization(t *spans.Table, list []Owner, load map[uint16]float64) float64 {
	sums := make(map[string]float64)
	for k, l := range load {
		sums[t.Find(k).Owner] += l
	}
	highest := 0.0
	for _, o := range list {
		highest = max(highest, sums[o.ID]/o.Capacity)
	}
	return highest
}

// TestHotKeyMovesToHighestCapacity checks that a hot key moves to the upstream with the highest
// capacity and stays there.
func TestHotKeyMovesToHighestCapacity(t *testing.T) {
	table, list := settledTable(4), owners(4)
	list[3].Capacity = 150
	load := map[uint16]float64{500: 100, 30000: 10}
	hot := table.Find(500).Owner
	if hot == "u3" {
		t.Fatal("test setup: the hot key is already at the upstream with the highest capacity")
	}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load})
	if next == nil {
		t.Fatal("no plan")
	}
	if s := next.Find(500); s.Next != "u3" || s.Count() != 1 {
		t.Errorf("span of the hot key: %+v", s)
	}
	again := MakePlan(PlanInput{BalanceDue: true, Table: completeMoves(next), Owners: list, Load: load, RecentlyMoved: map[uint16]bool{500: true}})
	if again != nil && again.Find(500).Moving() {
		t.Error("the hot key moves again")
	}
}

// TestIsolatedHotKeyStays checks that a hot key with a span of its own does not move between
// upstreams of equal strength. Under its load its owner's capacity is underestimated, so idle
// upstreams appear stronger, and the key would move every two seconds.
func TestIsolatedHotKeyStays(t *testing.T) {
	table, list := settledTable(4), owners(4)
	i := table.Index(500)
	table.Split(i, 501)
	table.Split(i, 500)
	hot := table.Find(500).Owner
	for i := range list {
		if list[i].ID != hot {
			list[i].Capacity = 2.2 * list[i].Capacity
		}
	}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: map[uint16]float64{500: 100}})
	if next != nil && next.Find(500).Moving() {
		t.Errorf("the hot key moves to %s", next.Find(500).Next)
	}
}

// TestPlanInvariants checks that for any state and load a plan covers all keys, gives each move a
// fence above all previous ones, leaves pending moves unchanged and moves keys only to usable
// upstreams.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		table := settledTable(n)
		list := owners(n + 1)
		for i := range list {
			list[i].Usable = rapid.Bool().Draw(t, "usable")
			list[i].MayKeep = list[i].Usable || rapid.Bool().Draw(t, "keeps")
			list[i].Capacity = float64(rapid.IntRange(1, 200).Draw(t, "capacity"))
		}
		load := make(map[uint16]float64)
		base := rapid.Uint16().Draw(t, "base")
		for range rapid.IntRange(0, 60).Draw(t, "keys") {
			load[base+uint16(rapid.IntRange(0, 200).Draw(t, "key"))] = float64(rapid.IntRange(1, 300).Draw(t, "rate"))
		}
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load})
			if next == nil {
				return
			}
			checkPlan(t, table, next, list)
			if rapid.Bool().Draw(t, "end moves") {
				next = completeMoves(next)
			}
			table = next
		}
	})
}

func checkPlan(t *rapid.T, before, next *spans.Table, list []Owner) {
	if err := next.Validate(); err != nil {
		t.Fatal(err)
	}
	usable := make(map[string]bool)
	for _, o := range list {
		usable[o.ID] = o.Usable
	}
	for _, s := range next.Spans {
		old := before.Find(s.First)
		switch {
		case old.Moving() && s != old:
			t.Fatalf("a pending move was changed: %+v to %+v", old, s)
		case s.Moving() && !old.Moving() && (s.NextFence <= before.LastFence || !usable[s.Next]):
			t.Fatalf("invalid move %+v, last fence before the plan %d", s, before.LastFence)
		case s.Owner != old.Owner || s.Fence != old.Fence:
			t.Fatalf("the plan changes the present owner or fence: %+v to %+v", old, s)
		}
	}
}

// TestRateAfterShortObservation checks that half a second after the start the estimate is already
// as high as it is later.
func TestRateAfterShortObservation(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	for range 50 {
		h.Add(7, 1)
	}
	if r := h.Rates(start.Add(500 * time.Millisecond))[7]; r < 60 || r > 130 {
		t.Errorf("rate %.0f after 100 requests a second for half a second", r)
	}
}

// TestRateRightAfterStart checks that one request right after the start does not make a key hot.
// The first reports to a new leader count requests from before it became leader.
func TestRateRightAfterStart(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	h.Add(7, 1)
	if r := h.Rates(start.Add(10 * time.Millisecond))[7]; r > 3 {
		t.Errorf("rate %.0f after a single request", r)
	}
}

func TestRateDecays(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	for i := range 300 {
		h.Add(7, 1)
		if i%30 == 29 {
			h.Rates(start.Add(time.Duration(i) * 10 * time.Millisecond))
		}
	}
	if r := h.Rates(start.Add(3 * time.Second))[7]; r < 60 || r > 110 {
		t.Errorf("rate %.0f after 100 requests a second for three seconds", r)
	}
	if r := h.Rates(start.Add(time.Minute)); len(r) != 0 {
		t.Errorf("rates %v after a minute without requests", r)
	}
}

// TestPins checks that pinned keys move to their upstream, stay there under load, and move
// elsewhere when that upstream is lost.
func TestPins(t *testing.T) {
	table, list := settledTable(4), owners(4)
	pins := []Pin{{KeyRange: spans.KeyRange{First: 1000, Last: 9000}, Owner: "u2"}}
	load := map[uint16]float64{1500: 55, 1600: 55}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins})
	if next == nil {
		t.Fatal("no plan")
	}
	table = completeMoves(next)
	for key := 1000; key <= 9000; key += 100 {
		if o := table.Find(uint16(key)).Owner; o != "u2" {
			t.Fatalf("key %d is owned by %s", key, o)
		}
	}
	if o := table.Find(999).Owner; o == "u2" && settledTable(4).Find(999).Owner != "u2" {
		t.Error("a key next to the pinned ones has moved")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins, Load: load}); next != nil {
		if s := next.Find(1500); s.Moving() {
			t.Error("pinned keys move for balancing")
		}
	}
	list[2].Usable, list[2].MayKeep = false, false
	next = MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins, Load: load})
	if next == nil || !next.Find(1500).Moving() {
		t.Error("keys pinned to a lost upstream do not move")
	}
}

// BenchmarkMake measures a plan without any moves, with 119 upstreams, about the size of the Addis
// scenario after its growth, and with ten times as many.
func BenchmarkMake(b *testing.B) {
	for _, n := range []int{119, 1190} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := owners(n)
			in := PlanInput{BalanceDue: true, Table: completeMoves(InitialTable("s", list)), Owners: list, Load: make(map[uint16]float64)}
			for k := range uint16(2000) {
				in.Load[32*k] = 0.01
			}
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(in)
			}
		})
	}
}

// TestWarmingUpstreamsGetNoKeys checks that upstreams that warm up get no keys while a warm one is
// usable, and that they share all keys if no other is usable.
func TestWarmingUpstreamsGetNoKeys(t *testing.T) {
	owners := []Owner{{ID: "a", Usable: true, MayKeep: true, Capacity: 10}, {ID: "b", Usable: true, MayKeep: true, Capacity: 10, Warming: true}}
	for _, s := range InitialTable("s", PreferWarm(owners)).Spans {
		if s.Next != "a" {
			t.Fatalf("keys %d-%d go to %s", s.First, s.Last, s.Next)
		}
	}
	owners = []Owner{{ID: "b", Usable: true, MayKeep: true, Capacity: 10, Warming: true}, {ID: "c", MayKeep: true, Capacity: 10}}
	for _, s := range InitialTable("s", PreferWarm(owners)).Spans {
		if s.Next != "b" {
			t.Fatalf("keys %d-%d go to %s", s.First, s.Last, s.Next)
		}
	}
}

// TestWorkIsBalanced guards against owners that are balanced by the number of requests: the owner of keys
// with a long route would get twice the work of the other one.
func TestWorkIsBalanced(t *testing.T) {
	rates := NewRateEstimator(start)
	for i := range 4000 {
		key := uint16(i % 200)
		work := 0.5
		if key < 100 {
			work = 1.5
		}
		rates.Add(key, work)
	}
	load := rates.Rates(start.Add(time.Second))
	long, short := 0.0, 0.0
	for key, rate := range load {
		if key < 100 {
			long += rate
		} else {
			short += rate
		}
	}
	if ratio := long / short; ratio < 2.9 || ratio > 3.1 {
		t.Errorf("work of the long route over that of the short one %.2f, want 3", ratio)
	}
	table := &spans.Table{Service: "s", LastFence: 2, Spans: []spans.Span{
		{KeyRange: spans.KeyRange{First: 0, Last: 99}, Owner: "a", Fence: 1},
		{KeyRange: spans.KeyRange{First: 100, Last: spans.MaxKey}, Owner: "b", Fence: 2},
	}}
	owners := []Owner{
		{ID: "a", Usable: true, MayKeep: true, Capacity: 1500}, {ID: "b", Usable: true, MayKeep: true, Capacity: 1500},
	}
	for range 10 {
		next := MakePlan(PlanInput{Table: table, Owners: owners, Load: load, BalanceDue: true})
		if next == nil {
			break
		}
		for i := range next.Spans {
			if s := &next.Spans[i]; s.Moving() {
				s.Owner, s.Fence, s.Next, s.NextFence = s.Next, s.NextFence, "", 0
			}
		}
		table = next
	}
	sum := make(map[string]float64)
	for key, rate := range load {
		sum[table.Find(key).Owner] += rate
	}
	if most := max(sum["a"], sum["b"]); most > 0.6*(sum["a"]+sum["b"]) {
		t.Errorf("work of the owners %v", sum)
	}
}
