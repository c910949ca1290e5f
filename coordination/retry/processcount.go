package retry

import "time"

// ProcessCount is the number of processes that share a budget: the highest number known within a
// window, because processes that have ended since have spent their parts too. It is not safe for
// concurrent use.
type ProcessCount struct {
	window     time.Duration
	highest    int
	observedAt time.Time
}

// NewProcessCount returns a count that is not known yet, for windows of the given length.
func NewProcessCount(window time.Duration) *ProcessCount { return &ProcessCount{window: window} }

// Observe records the current number of processes.
func (c *ProcessCount) Observe(now time.Time, processes int) {
	if processes >= c.highest || now.Sub(c.observedAt) > c.window {
		c.highest, c.observedAt = processes, now
	}
}

// Count returns the number of processes, or zero if it is not known.
func (c *ProcessCount) Count() int { return c.highest }
