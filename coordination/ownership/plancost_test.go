package ownership

import (
	"fmt"
	"testing"

	"github.com/rockcroft/rockcroft/state/spans"
)

// joinInput returns the input of a plan for n owners, of which the last third has just joined and owns
// nothing, with the given number of keys in use.
func joinInput(n, keysInUse int) PlanInput {
	var owners []Owner
	for i := range n {
		owners = append(owners, Owner{ID: fmt.Sprintf("i-%08x", i), Usable: true, MayKeep: true, Capacity: 10})
	}
	t := InitialTable("s", owners[:n*2/3])
	for i := range t.Spans {
		s := &t.Spans[i]
		s.Owner, s.Fence, s.Next, s.NextFence = s.Next, s.NextFence, "", 0
	}
	load := make(map[uint16]float64)
	for i := range keysInUse {
		load[uint16(i*(spans.MaxKey/max(keysInUse, 1)))] = 1
	}
	return PlanInput{Table: t, Owners: owners, Load: load, BalanceDue: true}
}

// BenchmarkJoin measures a plan after a third of the owners has joined, without any requests and with.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{344, 3440} {
		for _, keys := range []int{0, n} {
			in := joinInput(n, keys)
			b.Run(fmt.Sprintf("%d/%d", n, keys), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					MakePlan(in)
				}
			})
		}
	}
}

// TestJoinedUpstreamsGetKeys checks that upstreams which join in large numbers get keys that are in use,
// and that the plan moves no more than each of them needs.
func TestJoinedUpstreamsGetKeys(t *testing.T) {
	const n = 300
	in := joinInput(n, 3*n)
	next := MakePlan(in)
	if next == nil {
		t.Fatal("no plan")
	}
	if err := next.Validate(); err != nil {
		t.Fatal(err)
	}
	joined, moves := make(map[string]int), 0
	for _, s := range next.Spans {
		if s.Moving() {
			moves++
			joined[s.Next]++
		}
	}
	if got := len(joined); got < n/3*9/10 {
		t.Errorf("%d of %d joined upstreams get keys", got, n/3)
	}
	if most := n/3*spansToFill(n) + max(minMoveBudget, n/4); moves > most {
		t.Errorf("%d moves, at most %d are due", moves, most)
	}
}
