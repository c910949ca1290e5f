// Package retry limits how often requests are retried and computes the pauses between attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a share of the requests seen, so that retries cannot multiply the load
// during an outage. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget of share retries per request that accumulates up to burst retries.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Spend consumes one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff computes the pauses between attempts.
type Backoff struct {
	// First is the mean of the first pause. Max bounds the mean of every pause.
	First time.Duration
	Max   time.Duration
}

// Pause returns the pause before the given retry, counted from one. Its mean doubles with each
// retry up to Max, and the pause is uniformly distributed between 0.5 and 1.5 times the mean.
func (b Backoff) Pause(retry int, rng *rand.Rand) time.Duration {
	mean := b.First
	for i := 1; i < retry && mean < b.Max; i++ {
		mean *= 2
	}
	mean = min(mean, b.Max)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}
