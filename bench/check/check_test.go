package check

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/standin/upstream"
)

// TestEachViolationIsDetected checks histories that violate one rule each, and valid ones.
func TestEachViolationIsDetected(t *testing.T) {
	ok := load.Outcome{Key: "k", RequestID: "r", Status: 200, Ran: "ran", ResponseKey: "k", ResponseID: "r"}
	refused := func(ran string) load.Outcome {
		return load.Outcome{Key: "k", RequestID: "r", Status: 503, Kind: "x", Ran: ran}
	}
	run := upstream.Run{At: 10, Upstream: "u", Key: "k", RequestID: "r", Epoch: 3}
	later := func(edit func(*upstream.Run)) upstream.Run {
		next := run
		next.At, next.RequestID = 20, "s"
		edit(&next)
		return next
	}
	tests := []struct {
		name     string
		outcomes []load.Outcome
		runs     []upstream.Run
		want     []Rule
	}{
		{"answered once", []load.Outcome{ok}, []upstream.Run{run}, nil},
		{"run twice", []load.Outcome{ok}, []upstream.Run{run, run}, []Rule{RanTwice}},
		{"told not run, but ran", []load.Outcome{refused("not-run")}, []upstream.Run{run}, []Rule{NotRunRan}},
		{"told not run, then answered", []load.Outcome{refused("not-run"), ok}, []upstream.Run{run}, nil},
		{"told unknown", []load.Outcome{refused("unknown")}, []upstream.Run{run}, nil},
		{"answered without a run", []load.Outcome{ok}, nil, []Rule{AnsweredNotRun}},
		{
			"answer to another request",
			[]load.Outcome{{Key: "k", RequestID: "r", Status: 200, ResponseKey: "k", ResponseID: "q"}},
			[]upstream.Run{run},
			[]Rule{WrongResponse},
		},
		{
			"older epoch", nil,
			[]upstream.Run{run, later(func(r *upstream.Run) { r.Epoch = 2 })},
			[]Rule{EpochDecreased},
		},
		{
			"two owners", nil,
			[]upstream.Run{run, later(func(r *upstream.Run) { r.Upstream = "v" })},
			[]Rule{TwoOwners},
		},
		{
			"a new owner at a higher epoch", nil,
			[]upstream.Run{run, later(func(r *upstream.Run) { r.Upstream, r.Epoch = "v", 4 })},
			nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []Rule
			for _, v := range History(tt.outcomes, tt.runs).Violations {
				got = append(got, v.Rule)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOwners(t *testing.T) {
	answered := func(start, end int64, owner string, epoch uint64) load.Outcome {
		return load.Outcome{Key: "k", Status: 200, Start: start, End: end, Owner: owner, Epoch: epoch}
	}
	tests := []struct {
		name string
		list []load.Outcome
		want Verdict
	}{
		{"one after the other", []load.Outcome{answered(0, 5, "u", 1), answered(6, 9, "v", 2)}, Linearizable},
		{"overlapping, in either order", []load.Outcome{answered(0, 9, "v", 2), answered(1, 8, "u", 1)}, Linearizable},
		{"back to an older epoch", []load.Outcome{answered(0, 5, "v", 2), answered(6, 9, "u", 1)}, Violated},
		{"two owners in one epoch", []load.Outcome{answered(0, 5, "v", 2), answered(6, 9, "u", 2)}, Violated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Owners(tt.list, time.Minute); got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}
