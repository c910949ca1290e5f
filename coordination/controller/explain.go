package controller

import (
	"fmt"
	"time"
)

// Explain describes in one line what the controller waits for.
func (c *Core) Explain(now time.Time) string {
	if c.doc == nil {
		return "no document"
	}
	undrained := 0
	for _, a := range c.applied {
		if !a.Drained {
			undrained++
		}
	}
	silent := 0
	for _, m := range c.voters() {
		if !c.settler.Acked(m.ID) {
			silent++
		}
	}
	return fmt.Sprintf("version=%d fence=%d leads=%v settled=%v can_settle=%v silent=%d undrained=%d moves=%d",
		c.doc.Version, c.doc.Fence, c.Leads(now), c.settled, c.canSettle(now), silent, undrained, len(c.moves))
}
