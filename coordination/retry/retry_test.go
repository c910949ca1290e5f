package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetIsShareOfRequests(t *testing.T) {
	b := NewBudget(0.1, 5)
	spent := 0
	for range 1000 {
		b.RecordRequest()
		for b.Spend() {
			spent++
		}
	}
	if spent < 100 || spent > 106 {
		t.Errorf("%d retries for 1000 requests with share 0.1 and burst 5", spent)
	}
}

func TestPauseGrowsWithinBounds(t *testing.T) {
	b := Backoff{First: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	rng := rand.New(rand.NewPCG(1, 2))
	for retry, mean := range map[int]time.Duration{1: 10, 2: 20, 3: 40, 4: 80, 5: 100, 50: 100} {
		mean *= time.Millisecond
		for range 100 {
			if p := b.Pause(retry, rng); p < mean/2 || p > mean*3/2 {
				t.Fatalf("retry %d: pause %s, mean %s", retry, p, mean)
			}
		}
	}
}
