package ctl

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// TestPrintWatches checks that a watch that receives nothing is distinguished from one that is not needed.
func TestPrintWatches(t *testing.T) {
	for _, tt := range []struct {
		name  string
		state *placementpb.WatchesState
		want  string
	}{
		{"none", &placementpb.WatchesState{}, "nothing was heard from the store\n"},
		{"all kinds", &placementpb.WatchesState{Watches: []*placementpb.WatchState{
			{Kind: "a", HeardMs: 300, Watched: true},
			{Kind: "b", HeardMs: 2300, Watched: true, Silent: true},
			{Kind: "c", HeardMs: 90_000},
		}}, "a  heard 300ms ago; watched\nb  heard 2.3s ago; watched, hears nothing\nc  heard 1m30s ago; not watched\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := (&options{out: &out}).printWatches(tt.state); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(tt.want, out.String()); d != "" {
				t.Error(d)
			}
		})
	}
}
