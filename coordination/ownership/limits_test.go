package ownership

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/rockcroft/rockcroft/state/spans"
)

// TestLimitsSpareColdKeys checks that the cold keys of an overloaded owner are not limited, that
// the hot ones share the remaining capacity, and that owners that are not overloaded have no
// limits.
func TestLimitsSpareColdKeys(t *testing.T) {
	table := &spans.Table{Spans: []spans.Span{
		{KeyRange: spans.KeyRange{First: 0, Last: 99}, Owner: "a"},
		{KeyRange: spans.KeyRange{First: 100, Last: spans.MaxKey}, Owner: "b"},
	}}
	load := map[uint16]float64{1: 2, 2: 3, 3: 700, 4: 15, 200: 9}
	list := []Owner{{ID: "a", Capacity: 15 / overloadLimitFactor}, {ID: "b", Capacity: 10 / overloadLimitFactor}}
	want := []Limit{{Key: 3, AdmittedShare: 5.0 / 700}, {Key: 4, AdmittedShare: 5.0 / 15}}
	if diff := cmp.Diff(want, Limits(table, list, load), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
		t.Error(diff)
	}
}

// TestLimitsKeepTheHottestKeys checks that the list is cut to maxLimitedKeys and keeps the hottest.
func TestLimitsKeepTheHottestKeys(t *testing.T) {
	table := &spans.Table{Spans: []spans.Span{{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "a"}}}
	load := make(map[uint16]float64)
	for k := range uint16(2 * maxLimitedKeys) {
		load[k] = float64(1 + k)
	}
	got := Limits(table, []Owner{{ID: "a", Capacity: 1}}, load)
	if len(got) != maxLimitedKeys || got[0].Key != maxLimitedKeys {
		t.Errorf("%d limits, first key %d", len(got), got[0].Key)
	}
}
