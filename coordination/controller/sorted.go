package controller

import (
	"maps"
	"slices"

	"github.com/rockcroft/rockcroft/state/cell"
)

// sortedKeys returns the keys in order, so that decisions do not depend on map
// iteration order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func sortedUpstreams(m map[string]cell.Upstream) []cell.Upstream {
	out := make([]cell.Upstream, 0, len(m))
	for _, id := range sortedKeys(m) {
		out = append(out, m[id])
	}
	return out
}
