package placement

import (
	"cmp"
	"slices"
)

// CellNode is a cell with its load for one service.
type CellNode struct {
	Cell string
	// Upstreams is the number that can own ranges.
	Upstreams int
	// Load is in requests a second.
	Load float64
}

func (c CellNode) relative() float64 { return c.Load / float64(c.Upstreams) }

// Export is a range that leaves its cell.
type Export struct {
	Item
	ToCell string
}

// Exports returns the ranges that a cell should give to another one. Only the
// heaviest cell gives, and only to the lightest, so that cells which decide on
// their own do not undo each other's moves. Nothing moves inside the band. The
// load of what is given stays below half of the difference, and no range is
// given that alone would make the other cell the heaviest.
func Exports(self string, cells []CellNode, items []Item, o Options) []Export {
	cells = slices.DeleteFunc(slices.Clone(cells), func(c CellNode) bool { return c.Upstreams == 0 })
	total, upstreams := 0.0, 0
	for _, c := range cells {
		total += c.Load
		upstreams += c.Upstreams
	}
	if len(cells) < 2 || total == 0 {
		return nil
	}
	slices.SortFunc(cells, func(a, b CellNode) int {
		return cmp.Or(cmp.Compare(a.relative(), b.relative()), cmp.Compare(a.Cell, b.Cell))
	})
	light, heavy := cells[0], cells[len(cells)-1]
	mean := total / float64(upstreams)
	if heavy.Cell != self || heavy.relative() <= o.Band*mean {
		return nil
	}
	// The load that brings both to the same level, halved for the delay until
	// reports show the move.
	combined := float64(heavy.Upstreams*light.Upstreams) / float64(heavy.Upstreams+light.Upstreams)
	budget := (heavy.relative() - light.relative()) * combined / 2
	return largestWithin(budget, light.Cell, items, o.MaxMoves)
}

// largestWithin picks the heaviest items that fit into budget together.
func largestWithin(budget float64, to string, items []Item, maxExports int) []Export {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b Item) int { return cmp.Compare(b.Load, a.Load) })
	var out []Export
	for _, it := range sorted {
		if len(out) >= maxExports {
			break
		}
		if it.Load > 0 && it.Load <= budget {
			budget -= it.Load
			out = append(out, Export{Item: it, ToCell: to})
		}
	}
	return out
}
