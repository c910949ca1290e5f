package handover

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

func span(first, last int) keyspace.Span {
	return keyspace.Span{First: keyspace.Hash(first), Last: keyspace.Hash(last)}
}

func testDocument(ranges ...cell.Range) *cell.Cell {
	return &cell.Cell{
		Name: "c", Version: 10, Fence: 4,
		Quorum: cell.Quorum{Local: []cell.Member{{ID: "e"}}},
		Upstreams: []cell.Upstream{
			{ID: "u", Service: "s", State: cell.Active, Boot: "b"},
			{ID: "v", Service: "s", State: cell.Active, Boot: "b"},
		},
		Services: []cell.Service{{Name: "s", Ranges: ranges}},
	}
}

// TestEdits applies one edit to a document with one range and checks the resulting
// ranges, whether the fence rises, and that the input document is unchanged.
func TestEdits(t *testing.T) {
	owned := cell.Range{Span: span(0, 99), Epoch: 3, Phase: cell.Owned, Owner: "u"}
	releasing := cell.Range{Span: span(0, 99), Epoch: 3, Phase: cell.Releasing, Owner: "u", Next: "v"}
	vacant := cell.Range{Span: span(0, 99), Epoch: 3, Phase: cell.Vacant}
	reserved := cell.Range{Span: span(0, 99), Epoch: 3, Phase: cell.Vacant, Next: "v"}
	tests := []struct {
		name   string
		before cell.Range
		edit   func(*Editor)
		want   []cell.Range
		fenced bool
	}{
		{
			"releasing a part splits the range", owned,
			func(e *Editor) { e.Release(Move{Service: "s", Span: span(10, 10), To: "v"}) },
			[]cell.Range{
				{Span: span(0, 9), Epoch: 3, Phase: cell.Owned, Owner: "u"},
				{Span: span(10, 10), Epoch: 3, Phase: cell.Releasing, Owner: "u", Next: "v"},
				{Span: span(11, 99), Epoch: 3, Phase: cell.Owned, Owner: "u"},
			}, true,
		},
		{
			"completing grants the next epoch to the next owner", releasing,
			func(e *Editor) { e.Complete("s", span(0, 99), 3) },
			[]cell.Range{{Span: span(0, 99), Epoch: 4, Phase: cell.Owned, Owner: "v"}}, false,
		},
		{
			"completing an old epoch does nothing", releasing,
			func(e *Editor) { e.Complete("s", span(0, 99), 2) },
			[]cell.Range{releasing}, false,
		},
		{
			"losing the owner releases its range", owned,
			func(e *Editor) { e.MarkLost("u") },
			[]cell.Range{{Span: span(0, 99), Epoch: 3, Phase: cell.Releasing, Owner: "u"}}, true,
		},
		{
			"losing an owner that is releasing raises the fence to learn its remaining leases",
			releasing, func(e *Editor) { e.MarkLost("u") }, []cell.Range{releasing}, true,
		},
		{
			"losing the reserved owner raises the fence", reserved,
			func(e *Editor) { e.MarkLost("v") }, []cell.Range{reserved}, true,
		},
		{
			"skipping consumes the reserved epoch", reserved,
			func(e *Editor) { e.SkipReserved("s", span(0, 99)) },
			[]cell.Range{{Span: span(0, 99), Epoch: 4, Phase: cell.Releasing, Owner: "v"}}, true,
		},
		{
			"reserving sets the next owner", vacant,
			func(e *Editor) { e.Reserve("s", span(0, 99), "v") }, []cell.Range{reserved}, false,
		},
		{
			"a second reservation does not replace the first", reserved,
			func(e *Editor) { e.Reserve("s", span(0, 99), "u") }, []cell.Range{reserved}, false,
		},
		{
			"exporting raises the epoch",
			cell.Range{Span: span(0, 99), Epoch: 3, Phase: cell.Releasing, Owner: "u", NextCell: "d"},
			func(e *Editor) { e.Complete("s", span(0, 99), 3) },
			[]cell.Range{{Span: span(0, 99), Epoch: 4, Phase: cell.Exported, NextCell: "d"}}, false,
		},
		{
			"a reserved range is not dropped", reserved,
			func(e *Editor) { e.Drop("s", span(0, 99)) }, []cell.Range{reserved}, false,
		},
		{
			"splitting keeps the owner", owned,
			func(e *Editor) { e.Split("s", span(0, 49)) },
			[]cell.Range{
				{Span: span(0, 49), Epoch: 3, Phase: cell.Owned, Owner: "u"},
				{Span: span(50, 99), Epoch: 3, Phase: cell.Owned, Owner: "u"},
			}, false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := testDocument(tt.before)
			e := NewEditor(doc, true)
			tt.edit(e)
			got := e.Doc()
			if done := e.Finish("w"); done != nil {
				got = done
			}
			if diff := cmp.Diff(tt.want, got.Service("s").Ranges); diff != "" {
				t.Error(diff)
			}
			if fenced := got.Fence == 11; fenced != tt.fenced {
				t.Errorf("fence %d, raised %v, want %v", got.Fence, fenced, tt.fenced)
			}
			if diff := cmp.Diff(testDocument(tt.before), doc); diff != "" {
				t.Errorf("the edit modified the input document: %s", diff)
			}
		})
	}
}

func TestPreviousQuorumsKeptUntilSettled(t *testing.T) {
	doc := testDocument()
	doc.Previous = []cell.Quorum{{Local: []cell.Member{{ID: "old"}}}}
	next := cell.Quorum{Local: []cell.Member{{ID: "new"}}}
	for _, tt := range []struct {
		settled bool
		want    int
	}{{true, 1}, {false, 2}} {
		e := NewEditor(doc, tt.settled)
		e.SetQuorum(next)
		if got := len(e.Finish("w").Previous); got != tt.want {
			t.Errorf("settled %v: %d previous quorums, want %d", tt.settled, got, tt.want)
		}
	}
}
