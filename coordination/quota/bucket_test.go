package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// teamLoad is a simulated team whose requests arrive at many gateways, each of which applies the
// leader's fraction some time after it was computed.
type teamLoad struct {
	gateways          int
	delay             time.Duration
	perSecond, burst  float64
	demand            func(at time.Duration) float64
	duration          time.Duration
	sentAt, arrivedAt []time.Duration
}

// run plays the load in steps of 10 ms, with a report of all gateways each 100 ms.
func (l *teamLoad) run(seed uint64) {
	const step, report = 10 * time.Millisecond, 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(1000, 0)
	bucket := NewBucket(start)
	samplers := make([]Sampler, l.gateways)
	for i := range samplers {
		samplers[i] = NewSampler(rng.Float64(), rng.Float64())
	}
	type decision struct {
		at       time.Duration
		fraction float64
	}
	decisions := []decision{{0, 1}}
	inForce := 0
	requests, sent := 0, 0
	for at := time.Duration(0); at < l.duration; at += step {
		for inForce+1 < len(decisions) && decisions[inForce+1].at+l.delay <= at {
			inForce++
		}
		fraction := decisions[inForce].fraction
		for expected := l.demand(at) * step.Seconds(); expected > 0; expected-- {
			if rng.Float64() >= expected {
				continue
			}
			requests++
			l.arrivedAt = append(l.arrivedAt, at)
			if samplers[rng.IntN(l.gateways)].Take(fraction, rng.Float64()) {
				sent++
				l.sentAt = append(l.sentAt, at)
			}
		}
		if at%report == 0 {
			decisions = append(decisions, decision{at, bucket.Update(start.Add(at), requests, sent, l.perSecond, l.burst)})
			requests, sent = 0, 0
		}
	}
}

// most returns the highest number of sent requests in any window.
func (l *teamLoad) most(window time.Duration) int {
	most, first := 0, 0
	for i := range l.sentAt {
		for l.sentAt[i]-l.sentAt[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestHotTeamStaysWithinItsQuota checks that a team which suddenly sends many times its quota, over
// many gateways and with late reports, stays within the bound of each window and still uses what it
// is entitled to.
func TestHotTeamStaysWithinItsQuota(t *testing.T) {
	t.Parallel()
	const window = 5 * time.Second
	for seed := uint64(1); seed <= 20; seed++ {
		for _, rate := range []float64{5, 60, 300} {
			l := &teamLoad{gateways: 80, delay: 400 * time.Millisecond, perSecond: rate, burst: rate, duration: 20 * time.Second}
			l.demand = func(at time.Duration) float64 {
				if at > 6*time.Second && at < 14*time.Second {
					return 4.7 * rate
				}
				return rate / 1.6
			}
			l.run(seed)
			bound := (rate*window.Seconds()+rate)*1.1 + 20
			if got := l.most(window); float64(got) > bound {
				t.Errorf("seed %d, quota %g/s: %d requests sent within %v, at most %.0f are allowed", seed, rate, got, window, bound)
			}
			used := 0
			for _, at := range l.sentAt {
				if at > 6*time.Second && at < 14*time.Second {
					used++
				}
			}
			if least := 0.9 * rate * 8; float64(used) < least {
				t.Errorf("seed %d, quota %g/s: %d requests sent in the 8 s of high demand, at least %.0f are due", seed, rate, used, least)
			}
		}
	}
}

// TestTeamBelowItsQuotaIsNotLimited checks that no request of a team is refused whose demand stays
// below its quota on average, though its requests arrive at random.
func TestTeamBelowItsQuotaIsNotLimited(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 20; seed++ {
		for _, rate := range []float64{5, 60, 300} {
			l := &teamLoad{gateways: 80, delay: 400 * time.Millisecond, perSecond: rate, burst: rate + 10, duration: 20 * time.Second}
			l.demand = func(time.Duration) float64 { return rate / 1.6 }
			l.run(seed)
			if refused := len(l.arrivedAt) - len(l.sentAt); refused > 0 {
				t.Errorf("seed %d, quota %g/s: %d of %d requests refused", seed, rate, refused, len(l.arrivedAt))
			}
		}
	}
}
