package spans

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func whole() *Table {
	return &Table{Service: "s", LastFence: 3, Spans: []Span{
		{Keys: Keys{0, 99}, Owner: "a", Fence: 1},
		{Keys: Keys{100, 65535}, Owner: "b", Fence: 2, Next: "c", NextFence: 3},
	}}
}

func TestCheckFindsFaults(t *testing.T) {
	if err := whole().Check(); err != nil {
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
		table := whole()
		spoil(table)
		if table.Check() == nil {
			t.Errorf("%s is not found", name)
		}
	}
}

// TestSplitKeepsOwners: splits anywhere keep every key's owner and the order.
func TestSplitKeepsOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := whole()
		for range rapid.IntRange(0, 20).Draw(t, "splits") {
			key := rapid.Uint16().Draw(t, "key")
			table.Split(table.At(key), key)
		}
		if err := table.Check(); err != nil {
			t.Fatal(err)
		}
		key := rapid.Uint16().Draw(t, "probe")
		want := "b"
		if key < 100 {
			want = "a"
		}
		if s := table.Find(key); s.Owner != want || !s.Has(key) {
			t.Fatalf("key %d: %+v", key, s)
		}
	})
}

// TestDiffAndOverlay: a difference laid over the old table gives the new one.
func TestDiffAndOverlay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := whole()
		for range rapid.IntRange(0, 10).Draw(t, "splits") {
			key := rapid.Uint16().Draw(t, "key")
			old.Split(old.At(key), key)
		}
		next := old.Clone()
		for range rapid.IntRange(0, 10).Draw(t, "changes") {
			key := rapid.Uint16().Draw(t, "key")
			next.Split(next.At(key), key)
			next.LastFence++
			s := &next.Spans[next.At(key)]
			s.Owner, s.Fence, s.Next, s.NextFence = "d", next.LastFence, "", 0
		}
		got := old.Overlay(Diff(old, next))
		got.LastFence = next.LastFence
		if err := got.Check(); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(next, got); d != "" {
			t.Fatal(d)
		}
	})
}
