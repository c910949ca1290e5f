package placement

import (
	"cmp"
	"slices"
)

// CellNode is a cell with its load for one service.
type CellNode struct {
	Cell string
	// Upstreams is the number of upstreams in the cell that can own ranges.
	Upstreams int
	// Load is the number of requests a second.
	Load float64
}

// relative returns the load per upstream.
func (c CellNode) relative() float64 { return c.Load / float64(c.Upstreams) }

// Export is a move of a range to another cell.
type Export struct {
	Item
	ToCell string
}

// Exports returns the ranges that the cell self should give to another one. Only the most loaded
// cell gives ranges, and only to the least loaded one, so that cells that decide independently do
// not undo each other's moves. Nothing moves while the load is within the band. The total load
// given is less than half of the difference, and no single range is given that would make the
// receiving cell the most loaded.
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
	// The load that would equalize both cells, halved because reports show the effect of a move
	// only after a delay.
	combined := float64(heavy.Upstreams*light.Upstreams) / float64(heavy.Upstreams+light.Upstreams)
	budget := (heavy.relative() - light.relative()) * combined / 2
	return largestWithin(budget, light.Cell, items, o.MaxMoves)
}

// largestWithin selects, in descending order of load, the items that fit into the budget together.
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
