package retry

import "time"

// ProcessCount is the number of processes that share a budget: the highest that was known
// within a window, as those that have ended since have spent their parts too. It is
// not safe for concurrent use.
type ProcessCount struct {
	length time.Duration
	most   int
	at     time.Time
}

// NewProcessCount returns a number that is not known yet, for windows of the length.
func NewProcessCount(length time.Duration) *ProcessCount { return &ProcessCount{length: length} }

// Observe takes over how many processes there are now.
func (s *ProcessCount) Observe(now time.Time, processes int) {
	if processes >= s.most || now.Sub(s.at) > s.length {
		s.most, s.at = processes, now
	}
}

// Count returns the number, or zero when it is not known.
func (s *ProcessCount) Count() int { return s.most }
