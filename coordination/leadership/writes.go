package leadership

import "time"

// Writes are the attempts of one process to write the lease whose results are not known. Each attempt
// has its own number, Lease.Renewals: an attempt that is taken for a later one would give a right to act
// that lasts beyond the time after which others take the lease over.
type Writes struct {
	last uint64
	sent map[uint64]time.Time
}

// Begin records an attempt that is sent now and returns its number.
func (w *Writes) Begin(now time.Time) uint64 {
	if w.sent == nil {
		w.sent = make(map[uint64]time.Time)
	}
	for number, sent := range w.sent {
		if now.Sub(sent) > LeaseDuration {
			// A right to act from then has ended.
			delete(w.sent, number)
		}
	}
	w.last++
	w.sent[w.last] = now
	return w.last
}

// Accepted records that the attempt with that number is stored, and returns when it was sent. ok is false
// if that is too long ago to matter. All earlier attempts are conditional on a revision before it and
// cannot take effect any more.
func (w *Writes) Accepted(number uint64) (sent time.Time, ok bool) {
	sent, ok = w.sent[number]
	clear(w.sent)
	return sent, ok
}
