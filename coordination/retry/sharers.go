package retry

import "time"

// Sharers is the number of processes that share a budget: the highest that was known
// within a window, as those that have ended since have spent their parts too. It is
// not safe for concurrent use.
type Sharers struct {
	length time.Duration
	most   int
	at     time.Time
}

// NewSharers returns a number that is not known yet, for windows of the length.
func NewSharers(length time.Duration) *Sharers { return &Sharers{length: length} }

// Note takes over how many processes there are now.
func (s *Sharers) Note(now time.Time, processes int) {
	if processes >= s.most || now.Sub(s.at) > s.length {
		s.most, s.at = processes, now
	}
}

// Count returns the number, or zero when it is not known.
func (s *Sharers) Count() int { return s.most }
