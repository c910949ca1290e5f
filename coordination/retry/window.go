package retry

import "time"

const (
	// windowParts is the number of parts a window is counted in.
	windowParts = 20
	// earnedParts is the number of parts, the present one among them, for which the
	// right to retry that a request has earned lasts: 1.05 s of a window of 10 s. All
	// processes together then spend at most share x 1.105 of the requests of a window.
	// With rights that lasted the whole window they spent up to twice the share when
	// callers moved between processes: those left spent what they had earned from
	// callers whose next requests earned again elsewhere (3145 second arrivals at a
	// service in a day, 2488 in a window that allowed 2474, one run with five of twelve
	// processes restarted in turn).
	earnedParts = 2
)

// WindowBudget is a retry budget over a sliding window, of which each of several
// processes takes its part: a share of its own requests, each for a short time, and
// an equal part of an allowance for all. It is not safe for concurrent use.
type WindowBudget struct {
	share     float64
	allowance float64
	start     time.Time
	part      time.Duration
	// earned are the retries earned in each part and not spent.
	earned [windowParts]float64
	// beyond are the retries spent from the allowance in each part.
	beyond [windowParts]float64
	at     int64
}

// NewWindowBudget returns a budget of share retries a request plus an allowance, in
// every span of the given length. It counts from now on.
func NewWindowBudget(now time.Time, length time.Duration, share, allowance float64) *WindowBudget {
	return &WindowBudget{share: share, allowance: allowance, start: now, part: length / (windowParts - 1)}
}

// turn drops what is older than the window.
func (w *WindowBudget) turn(now time.Time) int {
	at := int64(now.Sub(w.start) / w.part)
	if at-w.at >= windowParts {
		w.earned, w.beyond = [windowParts]float64{}, [windowParts]float64{}
	} else {
		for i := w.at + 1; i <= at; i++ {
			w.earned[i%windowParts], w.beyond[i%windowParts] = 0, 0
		}
	}
	w.at = max(at, w.at)
	return int(w.at % windowParts)
}

// RecordRequest notes one first try.
func (w *WindowBudget) RecordRequest(now time.Time) { w.earned[w.turn(now)] += w.share }

// Spend takes one retry, when the budget of one of the given number of
// processes has one left. While that number is not known, which zero says, no part
// of the allowance is this process's own.
func (w *WindowBudget) Spend(now time.Time, processes int) bool {
	if w.Remaining(now, processes) < 1 {
		return false
	}
	rest := 1.0
	for age := earnedParts - 1; age >= 0; age-- {
		k := w.partAt(age)
		taken := min(rest, w.earned[k])
		w.earned[k] -= taken
		rest -= taken
	}
	w.beyond[w.partAt(0)] += rest
	return true
}

// partAt returns the index of the part that is so many parts old.
func (w *WindowBudget) partAt(age int) int {
	return int((w.at - int64(age) + windowParts) % windowParts)
}

// Remaining returns how many retries the budget of one of the given number of processes
// has left.
func (w *WindowBudget) Remaining(now time.Time, processes int) float64 {
	w.turn(now)
	left := 0.0
	for age := range earnedParts {
		left += w.earned[w.partAt(age)]
	}
	if processes == 0 {
		return left
	}
	own := w.allowance / float64(processes)
	for _, spent := range w.beyond {
		own -= spent
	}
	return left + max(own, 0)
}
