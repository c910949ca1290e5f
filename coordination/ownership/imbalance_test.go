package ownership

import (
	"testing"

	"github.com/rockcroft/rockcroft/state/spans"
)

// TestBusiest checks that an owner with most of the load counts as imbalanced, even if no other
// upstream is usable.
func TestBusiest(t *testing.T) {
	table := &spans.Table{Spans: []spans.Span{
		{KeyRange: spans.KeyRange{First: 0, Last: 99}, Owner: "a"}, {KeyRange: spans.KeyRange{First: 100, Last: spans.MaxKey}, Owner: "b"},
	}}
	owners := []Owner{{ID: "a", Capacity: 50}, {ID: "b", Capacity: 50, Usable: true}, {ID: "c", Capacity: 50}}
	if u, imbalanced := Busiest(table, owners, map[uint16]float64{5: 20, 200: 100}); !imbalanced || u.Owner != "b" || u.Utilization != 2 || u.Mean != 0.8 {
		t.Errorf("%v, imbalanced: %v", u, imbalanced)
	}
	for _, load := range []map[uint16]float64{{5: 40, 200: 50}, {200: 20}, nil} {
		if u, imbalanced := Busiest(table, owners[:2], load); imbalanced {
			t.Errorf("%v counts as imbalanced with load %v", u, load)
		}
	}
}
