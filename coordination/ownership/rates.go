package ownership

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the time in which the weight of a counted request halves. Hot keys come and
	// go within four or five seconds, so the estimate must reflect them within one.
	rateHalfLife = 800 * time.Millisecond
	// minObservedTime is the minimum observation time that a rate is computed from. The first
	// reports to a new leader count requests from before it became leader. Divided by the few
	// milliseconds of its own observation, they would make each of these keys look hot, and keys
	// would be limited and moved by the hundred.
	minObservedTime = 500 * time.Millisecond
	// minTrackedRate is the rate, in requests a second, below which a key is dropped.
	minTrackedRate = 0.02
)

// RateEstimator estimates the work asked for each key, in runs of mean work a second. It is not safe
// for concurrent use.
type RateEstimator struct {
	// rates holds the decayed rates before the correction for a short observation time.
	rates map[uint16]float64
	// startedAt is when counting started, and decayedAt the time up to which rates are decayed.
	startedAt, decayedAt time.Time
}

// NewRateEstimator returns an estimator that starts counting at the given time.
func NewRateEstimator(now time.Time) *RateEstimator {
	return &RateEstimator{rates: make(map[uint16]float64), startedAt: now, decayedAt: now}
}

// Add counts one request for a key, with the work of its route as a factor of the service's mean.
func (e *RateEstimator) Add(key uint16, work float64) {
	e.rates[key] += work * math.Ln2 / rateHalfLife.Seconds()
}

// Rates returns the estimated rate of each key at the given time. The caller owns the map.
func (e *RateEstimator) Rates(now time.Time) map[uint16]float64 {
	decay := math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(rateHalfLife))
	e.decayedAt = now
	// The weights of an infinite observation sum to one, those of a short one to less. Without the
	// correction, a new leader and the first second of traffic would see half of the actual rates.
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
