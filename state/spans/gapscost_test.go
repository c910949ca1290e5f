package spans

import (
	"fmt"
	"testing"
	"time"
)

// unownedTable returns a table of n spans without owners.
func unownedTable(n int) *Table {
	t := &Table{Service: "s", Version: 1}
	for i := range n {
		t.Spans = append(t.Spans, Span{KeyRange: KeyRange{First: uint16(i * (MaxKey + 1) / n), Last: uint16((i+1)*(MaxKey+1)/n - 1)}})
	}
	return t
}

// BenchmarkUnowned measures a version of a table none of whose spans has an owner, as after the start of
// a service.
func BenchmarkUnowned(b *testing.B) {
	for _, n := range []int{344, 3440} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, u, now := unownedTable(n), &UnownedTracker{}, time.Unix(1000, 0)
			u.Update(now, t)
			b.ReportAllocs()
			for b.Loop() {
				u.Update(now, t)
			}
		})
	}
}

// TestUnownedRangesAreFound checks that every key of many unowned ranges is known to have lost its owner
// with its range, also after some of them were split or got an owner.
func TestUnownedRangesAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	table, u := unownedTable(3440), &UnownedTracker{}
	u.Update(start, table)
	next := table.Clone()
	next.Split(0, 7)
	for i := range next.Spans {
		if i%3 == 1 {
			next.Spans[i].Owner = "u"
		}
	}
	later := start.Add(time.Second)
	ended := u.Update(later, next)
	owned := 0
	for _, s := range next.Spans {
		want := time.Second
		if s.Owner != "" {
			want = 0
			owned++
		}
		for _, key := range []uint16{s.First, s.Last} {
			if got := u.UnownedFor(later, key); got != want {
				t.Fatalf("key %d of span %d-%d: %v without an owner, want %v", key, s.First, s.Last, got, want)
			}
		}
	}
	// The first span was split, and its first part has no owner: it does not count as ended.
	if len(ended) != owned-1 {
		t.Errorf("%d ranges got an owner, want %d", len(ended), owned-1)
	}
}
