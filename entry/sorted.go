package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/cell"
)

func sortedCellNames(m map[string]*cell.Cell) []string {
	return slices.Sorted(maps.Keys(m))
}

func sortConfigurations(list []*operatorpb.InForce) {
	slices.SortFunc(list, func(a, b *operatorpb.InForce) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cell, b.Cell))
	})
}
