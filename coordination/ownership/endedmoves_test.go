package ownership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/spans"
)

// TestEndedMovesAreCopiedToLaterPlan guards against a table that loses the moves of a plan to a version with
// a higher number, or the end of a move to the plan.
func TestEndedMovesAreCopiedToLaterPlan(t *testing.T) {
	a, b := spans.KeyRange{First: 0, Last: 9}, spans.KeyRange{First: 10, Last: spans.MaxKey}
	latest := &spans.Table{Version: 13, LastFence: 9, Spans: []spans.Span{
		{KeyRange: a, Owner: "y", Fence: 3, Incarnation: 7, Cold: true}, {KeyRange: b, Owner: "x", Fence: 2},
	}}
	next := &spans.Table{Version: 12, LastFence: 4, Spans: []spans.Span{
		{KeyRange: a, Owner: "x", Fence: 1, Next: "y", NextFence: 3},
		{KeyRange: spans.KeyRange{First: 10, Last: 19}, Owner: "x", Fence: 2},
		{KeyRange: spans.KeyRange{First: 20, Last: spans.MaxKey}, Owner: "x", Fence: 2, Next: "z", NextFence: 4},
	}}
	want := next.Clone()
	want.LastFence, want.Spans[0] = 9, latest.Spans[0]
	if changed := CopyEndedMoves(next, latest); !changed {
		t.Error("no move has ended")
	}
	if diff := cmp.Diff(want, next); diff != "" {
		t.Error(diff)
	}
	if CopyEndedMoves(next, latest) {
		t.Error("the end of a move was copied twice")
	}
}
