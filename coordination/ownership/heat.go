package ownership

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the time after which a counted request weighs half. Hot keys come
	// and go within four or five seconds, so they must show within one.
	rateHalfLife = 800 * time.Millisecond
	// minObservedTime is the least past that a rate is taken from. The first reports to a new
	// leader tell of what was asked before it led: from some milliseconds each of these keys
	// looked hot, its keys were limited and moved by the hundred.
	minObservedTime = 500 * time.Millisecond
	// minTrackedRate is the rate in requests a second below which a key is
	// forgotten.
	minTrackedRate = 0.02
)

// RateEstimator estimates requests a second by key. It is not safe for concurrent use.
type RateEstimator struct {
	// rates are without the correction for a short past.
	rates map[uint16]float64
	// began is when the first request may have been counted, at is up to when rates have
	// faded.
	startedAt, decayedAt time.Time
}

// NewRateEstimator returns an estimate without requests.
func NewRateEstimator(now time.Time) *RateEstimator {
	return &RateEstimator{rates: make(map[uint16]float64), startedAt: now, decayedAt: now}
}

// Add counts one request for a key.
func (e *RateEstimator) Add(key uint16) { e.rates[key] += math.Ln2 / rateHalfLife.Seconds() }

// Rates returns the estimate by key at a time. The map is the caller's.
func (e *RateEstimator) Rates(now time.Time) map[uint16]float64 {
	decay := math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(rateHalfLife))
	e.decayedAt = now
	// A past that is shorter than the rates' holds less than their weight: uncorrected, a
	// new leader and the first second of traffic see a half of what is.
	observedWeight := 1 - math.Exp2(-float64(max(now.Sub(e.startedAt), minObservedTime))/float64(rateHalfLife))
	out := make(map[uint16]float64, len(e.rates))
	for key, rate := range e.rates {
		rate *= decay
		if rate < minTrackedRate {
			delete(e.rates, key)
			continue
		}
		e.rates[key] = rate
		out[key] = rate / observedWeight
	}
	return out
}
