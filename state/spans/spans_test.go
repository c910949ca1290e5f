package spans

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func validTable() *Table {
	return &Table{Service: "s", LastFence: 3, Spans: []Span{
		{KeyRange: KeyRange{0, 99}, Owner: "a", Fence: 1},
		{KeyRange: KeyRange{100, 65535}, Owner: "b", Fence: 2, Next: "c", NextFence: 3},
	}}
}

func TestValidateRejectsInvalidTables(t *testing.T) {
	if err := validTable().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Table){
		"gap":                  func(t *Table) { t.Spans[1].First = 101 },
		"overlap":              func(t *Table) { t.Spans[1].First = 99 },
		"end missing":          func(t *Table) { t.Spans[1].Last = 65534 },
		"empty":                func(t *Table) { t.Spans = nil },
		"fence not reserved":   func(t *Table) { t.LastFence = 2 },
		"fence does not rise":  func(t *Table) { t.Spans[1].NextFence = 2 },
		"backwards":            func(t *Table) { t.Spans[0].Last, t.Spans[1].First = 0, 1; t.Spans[0].First = 1 },
		"owner's fence is new": func(t *Table) { t.Spans[0].Fence = 9 },
	} {
		table := validTable()
		spoil(table)
		if table.Validate() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// Splits at any key preserve the order of the keys and the owner of each.
func TestSplitPreservesOwnersAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := validTable()
		for range rapid.IntRange(0, 20).Draw(t, "splits") {
			key := rapid.Uint16().Draw(t, "key")
			table.Split(table.Index(key), key)
		}
		if err := table.Validate(); err != nil {
			t.Fatal(err)
		}
		key := rapid.Uint16().Draw(t, "probe")
		want := "b"
		if key < 100 {
			want = "a"
		}
		if s := table.Find(key); s.Owner != want || !s.Contains(key) {
			t.Fatalf("key %d: %+v", key, s)
		}
	})
}

// Overlaying the difference of two tables on the old one gives the new one.
func TestOverlayOfDiffGivesNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := validTable()
		for range rapid.IntRange(0, 10).Draw(t, "splits") {
			key := rapid.Uint16().Draw(t, "key")
			old.Split(old.Index(key), key)
		}
		next := old.Clone()
		for range rapid.IntRange(0, 10).Draw(t, "changes") {
			key := rapid.Uint16().Draw(t, "key")
			next.Split(next.Index(key), key)
			next.LastFence++
			s := &next.Spans[next.Index(key)]
			s.Owner, s.Fence, s.Next, s.NextFence = "d", next.LastFence, "", 0
		}
		got := old.Overlay(Diff(old, next))
		got.LastFence = next.LastFence
		if err := got.Validate(); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(next, got); d != "" {
			t.Fatal(d)
		}
	})
}
