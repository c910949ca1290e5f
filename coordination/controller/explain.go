package controller

import (
	"fmt"
	"time"
)

// Explain returns a one-line summary of the controller's state that shows what it is
// waiting for.
func (c *Core) Explain(now time.Time) string {
	if c.doc == nil {
		return "no document"
	}
	busy := 0
	for _, a := range c.applied {
		busy += len(a.Busy)
	}
	silent := 0
	for _, m := range c.voters() {
		if !c.settlement.Acked(m.ID) {
			silent++
		}
	}
	return fmt.Sprintf("version=%d fence=%d leads=%v settled=%v can_settle=%v silent=%d former=%d busy=%d moves=%d",
		c.doc.Version, c.doc.Fence, c.Leads(now), c.settled, c.canSettle(now), silent, len(c.doc.Previous), busy, len(c.pendingMoves))
}
