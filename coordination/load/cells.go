package load

import (
	"cmp"
	"slices"
	"time"
)

// cellTTL is the age from which the load of a cell no longer counts.
const cellTTL = 15 * time.Second

// CellLoad is the load of one service in one cell, as reported by the controller of the cell.
type CellLoad struct {
	Cell    string
	Service string
	// Rate is the number of requests a second.
	Rate float64
	// Upstreams is the number of upstreams that can own ranges.
	Upstreams int
	// At orders the reports of one cell. It is the time of its controller in milliseconds.
	At int64
}

// Relative returns the load per upstream.
func (c CellLoad) Relative() float64 {
	if c.Upstreams == 0 {
		return 0
	}
	return c.Rate / float64(c.Upstreams)
}

// Cells holds the latest known load of each cell, which entries exchange by gossip. It is not safe
// for concurrent use.
type Cells struct {
	byID map[cellID]cellReport
}

type cellID struct{ cell, service string }

type cellReport struct {
	CellLoad
	receivedAt time.Time
}

// NewCells returns an empty set.
func NewCells() *Cells { return &Cells{byID: make(map[cellID]cellReport)} }

// Add stores a report unless one at least as recent is known for the service in the cell.
func (c *Cells) Add(now time.Time, l CellLoad) {
	id := cellID{l.Cell, l.Service}
	if known, ok := c.byID[id]; ok && known.At >= l.At {
		return
	}
	c.byID[id] = cellReport{l, now}
}

// All returns the loads received within cellTTL, ordered by service and cell.
func (c *Cells) All(now time.Time) []CellLoad {
	var out []CellLoad
	for id, r := range c.byID {
		if now.Sub(r.receivedAt) > cellTTL {
			delete(c.byID, id)
			continue
		}
		out = append(out, r.CellLoad)
	}
	slices.SortFunc(out, func(a, b CellLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cell, b.Cell))
	})
	return out
}
