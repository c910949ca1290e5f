// Package retry bounds how often requests are sent again and how long the
// pauses are.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a share of the requests seen, so that retries cannot
// multiply the load of an outage. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget of share retries per request, with up to burst
// retries saved.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// RecordRequest notes one first try.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff computes pauses between tries.
type Backoff struct {
	// First is the mean of the first pause, Max bounds all.
	First time.Duration
	Max   time.Duration
}

// Pause returns the pause before the given retry, counted from one: doubled
// each time, spread evenly over half to one and a half of its mean.
func (b Backoff) Pause(retry int, rng *rand.Rand) time.Duration {
	mean := b.First
	for i := 1; i < retry && mean < b.Max; i++ {
		mean *= 2
	}
	mean = min(mean, b.Max)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}
