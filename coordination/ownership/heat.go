package ownership

import (
	"math"
	"time"
)

const (
	// heatHalf is the time after which a counted request weighs half. Hot keys come
	// and go within four or five seconds, so they must show within one.
	heatHalf = 800 * time.Millisecond
	// shortestPast is the least past that a rate is taken from. The first reports to a new
	// leader tell of what was asked before it led: from some milliseconds each of these keys
	// looked hot, its keys were limited and moved by the hundred.
	shortestPast = 500 * time.Millisecond
	// heatDropped is the rate in requests a second below which a key is
	// forgotten.
	heatDropped = 0.02
)

// Heat estimates requests a second by key. It is not safe for concurrent use.
type Heat struct {
	// rates are without the correction for a short past.
	rates map[uint16]float64
	// began is when the first request may have been counted, at is up to when rates have
	// faded.
	began, at time.Time
}

// NewHeat returns an estimate without requests.
func NewHeat(now time.Time) *Heat { return &Heat{rates: make(map[uint16]float64), began: now, at: now} }

// Add counts one request for a key.
func (h *Heat) Add(key uint16) { h.rates[key] += math.Ln2 / heatHalf.Seconds() }

// Rates returns the estimate by key at a time. The map is the caller's.
func (h *Heat) Rates(now time.Time) map[uint16]float64 {
	fade := math.Exp2(-float64(now.Sub(h.at)) / float64(heatHalf))
	h.at = now
	// A past that is shorter than the rates' holds less than their weight: uncorrected, a
	// new leader and the first second of traffic see a half of what is.
	past := 1 - math.Exp2(-float64(max(now.Sub(h.began), shortestPast))/float64(heatHalf))
	out := make(map[uint16]float64, len(h.rates))
	for key, rate := range h.rates {
		rate *= fade
		if rate < heatDropped {
			delete(h.rates, key)
			continue
		}
		h.rates[key] = rate
		out[key] = rate / past
	}
	return out
}
