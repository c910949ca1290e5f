package retry

import "time"

// windowParts is the number of parts a window is counted in.
const windowParts = 20

// Window is a retry budget over a sliding window, of which each of several
// processes takes its part: a share of its own requests, and an equal part of
// an allowance for all. It is not safe for concurrent use.
type Window struct {
	share     float64
	allowance float64
	start     time.Time
	part      time.Duration
	requests  [windowParts]float64
	retries   [windowParts]float64
	at        int64
}

// NewWindow returns a budget of share retries a request plus an allowance, in
// every span of the given length. It counts from now on.
func NewWindow(now time.Time, length time.Duration, share, allowance float64) *Window {
	return &Window{share: share, allowance: allowance, start: now, part: length / (windowParts - 1)}
}

// turn drops what is older than the window.
func (w *Window) turn(now time.Time) int {
	at := int64(now.Sub(w.start) / w.part)
	if at-w.at >= windowParts {
		w.requests, w.retries = [windowParts]float64{}, [windowParts]float64{}
	} else {
		for i := w.at + 1; i <= at; i++ {
			w.requests[i%windowParts], w.retries[i%windowParts] = 0, 0
		}
	}
	w.at = max(at, w.at)
	return int(w.at % windowParts)
}

// Request notes one first try.
func (w *Window) Request(now time.Time) { w.requests[w.turn(now)]++ }

// Spend takes one retry, when the budget of one of the given number of
// processes has one left. While that number is not known, which zero says, no part
// of the allowance is this process's own.
func (w *Window) Spend(now time.Time, processes int) bool {
	if w.Left(now, processes) < 1 {
		return false
	}
	w.retries[w.turn(now)]++
	return true
}

// Left returns how many retries the budget of one of the given number of processes
// has left.
func (w *Window) Left(now time.Time, processes int) float64 {
	w.turn(now)
	requests, retries := 0.0, 0.0
	for k := range windowParts {
		requests += w.requests[k]
		retries += w.retries[k]
	}
	allowed := w.share * requests
	if processes > 0 {
		allowed += w.allowance / float64(processes)
	}
	return allowed - retries
}
