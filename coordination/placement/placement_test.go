package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

func nodes(n int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{ID: fmt.Sprintf("u%02d", i), Weight: 1}
	}
	return out
}

// items returns ranges of equal width with the given owners and loads.
func items(owners []string, loads []float64) []Item {
	spans := keyspace.FullSpan().Split(len(owners))
	out := make([]Item, len(owners))
	for i := range out {
		out[i] = Item{Span: spans[i], Owner: owners[i], Load: loads[i]}
	}
	return out
}

// spreadItems returns n ranges assigned to the nodes in turn. Their loads follow a Zipf
// distribution in random order of the ranges.
func spreadItems(n int, ns []Node, exponent float64) []Item {
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([]float64, n)
	owners := make([]string, n)
	for i, rank := range rng.Perm(n) {
		loads[i] = 1000 / math.Pow(float64(rank+1), exponent)
		owners[i] = ns[i%len(ns)].ID
	}
	return items(owners, loads)
}

func apply(list []Item, moves []Move) []Item {
	out := append([]Item(nil), list...)
	for _, m := range moves {
		for i := range out {
			if out[i].Span == m.Span {
				out[i].Owner = m.To
			}
		}
	}
	return out
}

// routes formats moves as FROM>TO.
func routes(moves []Move) []string {
	out := make([]string, len(moves))
	for i, m := range moves {
		out[i] = m.From + ">" + m.To
	}
	return out
}

func TestRebalance(t *testing.T) {
	wide := Options{MaxMoves: 8, Band: 1.1, Target: 1.05}
	tests := []struct {
		name   string
		owners []string
		loads  []float64
		opts   Options
		want   []string
	}{
		{"even load moves nothing", []string{"u00", "u01", "u00", "u01"}, []float64{5, 5, 5, 5}, wide, nil},
		{"inside the band nothing moves", []string{"u00", "u01", "u00", "u01"}, []float64{5.2, 5, 5.2, 5}, wide, nil},
		{"one move balances the load", []string{"u00", "u00", "u00", "u01"}, []float64{5, 5, 5, 5}, wide, []string{"u00>u01"}},
		{"a range hotter than all others together stays", []string{"u00", "u01"}, []float64{90, 10}, wide, nil},
		{"the small range moves away from the hot one", []string{"u00", "u00", "u01"}, []float64{50, 20, 30}, wide, []string{"u00>u01"}},
		{"no load moves nothing", []string{"u00", "u00"}, []float64{0, 0}, wide, nil},
		{
			"MaxMoves bounds the moves", []string{"u00", "u00", "u00", "u00"}, []float64{5, 5, 5, 5},
			Options{MaxMoves: 1, Band: 1.1, Target: 1.05}, []string{"u00>u01"},
		},
		{
			"a move that gains too little is not made", []string{"u00", "u00", "u01"}, []float64{52, 10, 38},
			Options{MaxMoves: 8, Band: 1.1, Target: 1.05, MinGain: 5}, nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := routes(Rebalance(nodes(2), items(tt.owners, tt.loads), tt.opts))
			if len(got) == 0 {
				got = nil
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRebalanceConvergesWithinTheBand(t *testing.T) {
	ns := nodes(10)
	list := spreadItems(400, ns, 0.6)
	o := OptionsFor(3, 1, 1)
	moved := 0
	for range 50 {
		moves := Rebalance(ns, list, o)
		if len(moves) == 0 {
			break
		}
		moved += len(moves)
		list = apply(list, moves)
	}
	if got := Imbalance(ns, list); got > o.Band {
		t.Errorf("imbalance %.3f after %d moves, band %.3f", got, moved, o.Band)
	}
	if more := Rebalance(ns, list, o); len(more) != 0 {
		t.Errorf("%d more moves under constant load", len(more))
	}
}

func TestJoinMovesOnlyTheRequiredShare(t *testing.T) {
	for _, n := range []int{6, 10} {
		ns := nodes(n)
		list := spreadItems(16*n, ns, 0.4)
		joined := append(ns, Node{ID: "new", Weight: 1})
		moves := Join(joined, list, "new")
		total, moved := 0.0, 0.0
		for _, it := range list {
			total += it.Load
		}
		for _, m := range moves {
			moved += m.Load
			if m.To != "new" {
				t.Errorf("%d upstreams: a range moves from %s to %s", n, m.From, m.To)
			}
		}
		least := 1 / float64(n+1)
		if share := moved / total; share > 1.2*least || share < 0.5*least {
			t.Errorf("%d upstreams: %.3f of the load moved, the minimum is %.3f", n, share, least)
		}
	}
}

func TestPlaceMovesOnlyUnownedRanges(t *testing.T) {
	ns := nodes(4)
	list := spreadItems(64, ns, 0.4)
	for i := range list {
		if list[i].Owner == "u03" {
			list[i].Owner = ""
		}
	}
	moves := Place(ns, list, "u03")
	if len(moves) != 16 {
		t.Fatalf("%d moves for 16 ranges", len(moves))
	}
	for _, m := range moves {
		if m.To == "" || m.To == "u03" {
			t.Errorf("range %s goes to %q", m.Span, m.To)
		}
	}
	if got := Imbalance(ns[:3], apply(list, moves)); got > 1.2 {
		t.Errorf("imbalance %.3f", got)
	}
	if got := Place(nil, list, ""); got[0].To != "" {
		t.Errorf("placed on %q without any upstream", got[0].To)
	}
}

func TestSplitsIsolateHotKeys(t *testing.T) {
	list := items([]string{"u00", "u01"}, []float64{100, 10})
	hot := []HotKey{{Hash: list[0].First + 77, Load: 80}}
	got := Splits(nodes(2), list, hot, 10)
	want := []keyspace.Span{{First: list[0].First + 77, Last: list[0].First + 77}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	got = Splits(nodes(2), list, nil, 10)
	want = []keyspace.Span{list[0].Split(2)[0]}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkRebalance(b *testing.B) {
	for _, size := range []struct{ nodes, ranges int }{{10, 160}, {100, 6400}, {1000, 64_000}, {4000, 1_000_000}} {
		b.Run(fmt.Sprintf("upstreams=%d/ranges=%d", size.nodes, size.ranges), func(b *testing.B) {
			ns := nodes(size.nodes)
			list := spreadItems(size.ranges, ns, 0.6)
			o := OptionsFor(3, 1, 1)
			b.ReportAllocs()
			for b.Loop() {
				Rebalance(ns, list, o)
			}
		})
	}
}

func TestExports(t *testing.T) {
	list := items([]string{"u00", "u00", "u01"}, []float64{50, 30, 20})
	o := Options{MaxMoves: 4, Band: 1.1}
	cells := func(a, b, c float64) []CellNode {
		return []CellNode{{"a", 2, a}, {"b", 2, b}, {"c", 2, c}, {"empty", 0, 0}}
	}
	tests := []struct {
		name  string
		self  string
		cells []CellNode
		want  []string
	}{
		{"the most loaded gives to the least loaded", "a", cells(200, 100, 60), []string{"30>c"}},
		{"the second most loaded gives nothing", "b", cells(200, 150, 60), nil},
		{"inside the band nothing moves", "a", cells(100, 98, 96), nil},
		{"nothing fits into half of the difference", "a", cells(160, 100, 90), nil},
		{"a single cell gives nothing", "a", []CellNode{{"a", 2, 100}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, x := range Exports(tt.self, tt.cells, list, o) {
				got = append(got, fmt.Sprintf("%.0f>%s", x.Load, x.ToCell))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
