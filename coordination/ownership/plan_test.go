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

// done ends all moves of a table as granted.
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

func TestFirstAlternates(t *testing.T) {
	table := InitialTable("s", owners(11))
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for i, s := range table.Spans {
		counts[s.Next]++
		if i > 0 && s.Next == table.Spans[i-1].Next {
			t.Errorf("neighbours %d and %d have one owner", i-1, i)
		}
	}
	for id, n := range counts {
		if n != initialSpansPerUpstream {
			t.Errorf("%s has %d spans", id, n)
		}
	}
}

func TestNothingToDo(t *testing.T) {
	if next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(5), Owners: owners(5)}); next != nil {
		t.Error("a plan without a reason")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: settledTable(5)}); next != nil {
		t.Error("a plan without upstreams")
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

// TestRestartedOwnerIsGrantedItsKeysAgain, at once and with higher fences; if it may not
// be given keys, others get them.
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
			t.Errorf("span of %s moves to %q by fence %d after %d", s.Owner, s.Next, s.NextFence, s.Fence)
		}
	}
	list[1].Usable = false
	for _, s := range MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list}).Spans {
		if s.Owner == "u1" && (!s.Moving() || s.Next == "u1") {
			t.Errorf("span of the restarted one goes to %q", s.Next)
		}
	}
}

// TestSuspectedOwnerKeepsButGetsNothing: one that is only suspected keeps what
// it has.
func TestSuspectedOwnerKeepsButGetsNothing(t *testing.T) {
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
		t.Error("the new upstream gets nothing")
	}
}

// TestNewUpstreamGetsKeysBesideAHotKey: the upstream of a key that nobody can run has nothing
// to give, the others have.
func TestNewUpstreamGetsKeysBesideAHotKey(t *testing.T) {
	table := settledTable(4)
	load := map[uint16]float64{100: 5, 20000: 5, 40000: 5, 60000: 5, 100 + 4096: 900}
	table.Split(table.At(100+4096), 100+4096)
	table.Split(table.At(100+4096), 100+4096+1)
	for i := range table.Spans {
		// The hot key stands alone, and is all that its owner has.
		if table.Spans[i].Owner == table.Find(100+4096).Owner && !table.Spans[i].Has(100+4096) {
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
	t.Error("the new upstream gets nothing")
}

// TestBusyNeighboursAreSpread: keys that lie together and carry most of the load
// come apart within a few rounds.
func TestBusyNeighboursAreSpread(t *testing.T) {
	table, list := settledTable(6), owners(6)
	load := make(map[uint16]float64)
	for k := range uint16(64) {
		load[5000+k] = 3
	}
	before := maxUtilization(table, list, load)
	table = runPlans(6, table, list, load)
	if after := maxUtilization(table, list, load); after > 0.75 {
		t.Errorf("worst utilization %.2f, was %.2f", after, before)
	}
}

// TestHotKeyDoesNotKeepOthersUneven: a key that is more than any upstream can run cannot be
// spread, and all else is.
func TestHotKeyDoesNotKeepOthersUneven(t *testing.T) {
	table, list := settledTable(40), owners(40)
	load := map[uint16]float64{60000: 700}
	for k := range uint16(60) {
		load[5000+k] = 20
	}
	table = runPlans(4, table, list, load)
	delete(load, 60000)
	if after := maxUtilization(table, list, load); after > 1 {
		t.Errorf("worst utilization by other keys %.2f", after)
	}
}

// TestGroupOfHotKeysIsSpreadAtOnce: four plans bring a group of hot keys from a few upstreams
// to many, each filled to the mean and no further.
func TestGroupOfHotKeysIsSpreadAtOnce(t *testing.T) {
	table, list := settledTable(300), owners(300)
	load := make(map[uint16]float64)
	for k := range uint16(200) {
		load[5000+k] = 25
	}
	before := maxUtilization(table, list, load)
	table = runPlans(4, table, list, load)
	if after := maxUtilization(table, list, load); after > 1 || before < 10 {
		t.Errorf("worst utilization %.2f, was %.2f", after, before)
	}
}

// TestBalanceWaits: unless an upstream is asked for far more than it can run.
func TestBalanceWaits(t *testing.T) {
	table, list := settledTable(6), owners(6)
	load := make(map[uint16]float64)
	for k := range uint16(30) {
		load[5000+k] = 2.5
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: load}); next != nil {
		t.Error("keys move for balance before it is due")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load}); next == nil {
		t.Error("no key moves though balance is due")
	}
	for k := range load {
		load[k] *= 2
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: load}); next == nil {
		t.Error("no key moves though one upstream is asked for 2.5 times what it can run")
	}
	if next := MakePlan(PlanInput{Table: table, Owners: list, Load: map[uint16]float64{5000: 900}}); next != nil {
		t.Error("keys move for a key that cannot be spread")
	}
}

// balanced makes and ends so many plans, one after the other.
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

// TestHotKeyGoesToTheStrongest and what else that one has is moved away.
func TestHotKeyGoesToTheStrongest(t *testing.T) {
	table, list := settledTable(4), owners(4)
	list[3].Capacity = 150
	load := map[uint16]float64{500: 100, 30000: 10}
	hot := table.Find(500).Owner
	if hot == "u3" {
		t.Fatal("the test wants the hot key elsewhere")
	}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Load: load})
	if next == nil {
		t.Fatal("no plan")
	}
	if s := next.Find(500); s.Next != "u3" || s.Count() != 1 {
		t.Errorf("the hot key's span %+v", s)
	}
	again := MakePlan(PlanInput{BalanceDue: true, Table: completeMoves(next), Owners: list, Load: load, RecentlyMoved: map[uint16]bool{500: true}})
	if again != nil && again.Find(500).Moving() {
		t.Error("the hot key moves on")
	}
}

// TestHotKeyStays: an upstream under the load of a hot key looks weaker than idle ones
// of the same strength. The key does not go round among them. (It moved each two
// seconds: abyconnect-sim quiet-1.)
func TestHotKeyStays(t *testing.T) {
	table, list := settledTable(4), owners(4)
	i := table.At(500)
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

// TestPlansKeepTheRules: for any state and load, a plan covers all keys, raises
// the fence of each move above all before, changes no move under way and gives
// keys to usable upstreams only.
func TestPlansKeepTheRules(t *testing.T) {
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
	if err := next.Check(); err != nil {
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
			t.Fatalf("a move under way was changed: %+v to %+v", old, s)
		case s.Moving() && !old.Moving() && (s.NextFence <= before.LastFence || !usable[s.Next]):
			t.Fatalf("move %+v, last fence before %d", s, before.LastFence)
		case s.Owner != old.Owner || s.Fence != old.Fence:
			t.Fatalf("a plan changes an owner: %+v to %+v", old, s)
		}
	}
}

// TestHeatOfAShortPast: half a second after it begins an estimate is as high as later.
func TestHeatOfAShortPast(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	for range 50 {
		h.Add(7)
	}
	if r := h.Rates(start.Add(500 * time.Millisecond))[7]; r < 60 || r > 130 {
		t.Errorf("a hundred a second for half a second count as %.0f", r)
	}
}

// TestHeatAtTheBeginning: what the first reports tell right after a leader begins was asked
// before, and one request is no hot key.
func TestHeatAtTheBeginning(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	h.Add(7)
	if r := h.Rates(start.Add(10 * time.Millisecond))[7]; r > 3 {
		t.Errorf("one request counts as %.0f a second", r)
	}
}

func TestHeatFades(t *testing.T) {
	start := time.Now()
	h := NewRateEstimator(start)
	for i := range 300 {
		h.Add(7)
		if i%30 == 29 {
			h.Rates(start.Add(time.Duration(i) * 10 * time.Millisecond))
		}
	}
	if r := h.Rates(start.Add(3 * time.Second))[7]; r < 60 || r > 110 {
		t.Errorf("a hundred a second for three seconds count as %.0f", r)
	}
	if r := h.Rates(start.Add(time.Minute)); len(r) != 0 {
		t.Errorf("after a minute %v", r)
	}
}

// TestPins: keys go where operators want them, stay there under load, and go
// elsewhere when that upstream is lost.
func TestPins(t *testing.T) {
	table, list := settledTable(4), owners(4)
	pins := []Pin{{Keys: spans.Keys{First: 1000, Last: 9000}, Owner: "u2"}}
	load := map[uint16]float64{1500: 55, 1600: 55}
	next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins})
	if next == nil {
		t.Fatal("no plan")
	}
	table = completeMoves(next)
	for key := 1000; key <= 9000; key += 100 {
		if o := table.Find(uint16(key)).Owner; o != "u2" {
			t.Fatalf("key %d is at %s", key, o)
		}
	}
	if o := table.Find(999).Owner; o == "u2" && settledTable(4).Find(999).Owner != "u2" {
		t.Error("a key beside the pinned ones has moved")
	}
	if next := MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins, Load: load}); next != nil {
		if s := next.Find(1500); s.Moving() {
			t.Error("pinned keys move for balance")
		}
	}
	list[2].Usable, list[2].MayKeep = false, false
	next = MakePlan(PlanInput{BalanceDue: true, Table: table, Owners: list, Pins: pins, Load: load})
	if next == nil || !next.Find(1500).Moving() {
		t.Error("keys pinned to a lost upstream stay there")
	}
}

// BenchmarkMake is one plan that finds nothing to do, at the size of Addis grown and at
// ten times that.
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

// TestWarmingUpstreamsGetNoKeys while a warm one may have them; when all warm up, they are
// shared out among these.
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
