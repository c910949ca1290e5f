package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const (
	ms = time.Millisecond
	// These state the requirement. No window that ends settledAfter or later after the rate became
	// known has more requests than maxFactor times the rate plus allowance. While there is demand,
	// at least minFactor times the rate is used on average.
	window       = 4 * time.Second
	settledAfter = 3 * time.Second
	maxFactor    = 1.5
	allowance    = 5
	minFactor    = 0.8
)

// fleet simulates many gateways that send requests to one upstream.
type fleet struct {
	rng     *rand.Rand
	rate    Rate
	limited bool
	// isolated gateways get no reports of each other.
	isolated bool
	// demand is the true demand on each gateway in requests a second, meters what each measures,
	// and othersDemand what each last learned of the others.
	demand       []float64
	meters       []Meter
	othersDemand []float64
	samplers     []Sampler
	sent         []time.Duration
}

// newFleet returns gateways that share the demand unevenly.
func newFleet(rng *rand.Rand, gateways int, demand float64) *fleet {
	f := &fleet{rng: rng, demand: make([]float64, gateways), meters: make([]Meter, gateways), othersDemand: make([]float64, gateways), samplers: make([]Sampler, gateways)}
	sum := 0.0
	for i := range f.demand {
		f.demand[i] = rng.ExpFloat64()
		sum += f.demand[i]
	}
	// A separate source keeps the requests of a seed the same regardless of the decisions.
	phases := rand.New(rand.NewPCG(uint64(gateways), 2))
	for i := range f.samplers {
		f.samplers[i] = NewSampler(phases.Float64(), phases.Float64())
	}
	for i := range f.demand {
		f.demand[i] *= demand / sum
	}
	return f
}

// reportInterval is the time between reports. A report describes the state one interval earlier.
const reportInterval = 125 * ms

// run simulates the gateways from one time to another, with their demand multiplied by factor.
// They send the requests that they admit.
func (f *fleet) run(from, to time.Duration, factor float64) {
	for now := from; now < to; now += ms {
		if now/reportInterval != (now-ms)/reportInterval {
			f.exchangeReports(at(now))
		}
		for i, d := range f.demand {
			if f.rng.Float64() >= factor*d*ms.Seconds() {
				continue
			}
			f.meters[i].Add()
			if !f.limited || f.samplers[i].Take(f.rate.AdmitFraction(at(now), f.meters[i].Last()+f.othersDemand[i]), f.rng.Float64()) {
				f.sent = append(f.sent, now)
			}
		}
	}
}

// exchangeReports gives each gateway the last reports of the others and then updates its own.
func (f *fleet) exchangeReports(now time.Time) {
	sum := 0.0
	for i := range f.meters {
		sum += f.meters[i].Last()
	}
	for i := range f.meters {
		if !f.isolated {
			f.othersDemand[i] = sum - f.meters[i].Last()
		}
		f.meters[i].Rate(now)
	}
}

// setRate makes the rate known to all gateways.
func (f *fleet) setRate(now time.Duration, perSecond float64) {
	f.rate, f.limited = Rate{PerSecond: perSecond, Since: at(now)}, true
}

// sentInWindow returns how many requests were sent in the window that ends at the given time.
func (f *fleet) sentInWindow(end time.Duration) int {
	n := 0
	for _, at := range f.sent {
		if at > end-window && at <= end {
			n++
		}
	}
	return n
}

// sentSince returns how many requests were sent from the given time on.
func (f *fleet) sentSince(from time.Duration) int {
	n := 0
	for _, at := range f.sent {
		if at >= from {
			n++
		}
	}
	return n
}

// TestTotalKeepsToRate checks the total of all gateways when an upstream gets three to four times
// the rate that it announces. From three seconds after the announcement on, the preceding 4 s
// window must never exceed the bound; the first such window still includes the last second before
// the announcement. Most of the rate must be used. It covers few and many gateways, uneven demand,
// bursts, and rates below one request a second for each gateway.
func TestTotalKeepsToRate(t *testing.T) {
	t.Parallel()
	testTotalKeepsToRate(t, 60, 76*time.Second)
}

// TestTotalReachesRateSoon checks the same, and that most of the rate is already used within the
// first 12 s after the burst.
func TestTotalReachesRateSoon(t *testing.T) {
	t.Parallel()
	testTotalKeepsToRate(t, 100, 28*time.Second)
}

// testTotalKeepsToRate runs one simulation for each seed until end.
func testTotalKeepsToRate(t *testing.T, seeds uint64, end time.Duration) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testSeedKeepsToRate(t, seed, end)
		})
	}
}

func testSeedKeepsToRate(t *testing.T, seed uint64, end time.Duration) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	gateways := []int{1, 3, 11, 74, 300}[rng.IntN(5)]
	perSecond := 5 + 60*rng.Float64()
	f := newFleet(rng, gateways, (3+rng.Float64())*perSecond)
	const named, burst, calm = 4 * time.Second, 12 * time.Second, 16 * time.Second
	heard := named + time.Duration(rng.Float64()*float64(250*ms))
	f.run(0, heard, 1)
	f.setRate(heard, perSecond)
	f.run(heard, burst, 1)
	f.run(burst, calm, 1+0.7*rng.Float64())
	f.run(calm, end, 1)
	for at := named + settledAfter; at <= end; at += 50 * ms {
		got := f.sentInWindow(at)
		if most := maxFactor*window.Seconds()*perSecond + allowance; float64(got) > most {
			t.Fatalf("%d gateways, rate %.1f/s: %d requests in 4 s, allowed %.0f, %s after the announcement",
				gateways, perSecond, got, most, at-named)
		}
	}
	if got, want := float64(f.sentSince(calm))/(end-calm).Seconds(), minFactor*perSecond; got < want {
		t.Errorf("%d gateways, rate %.1f/s: used %.1f/s, want %.1f/s", gateways, perSecond, got, want)
	}
}

// TestSamplerAdmitsItsFraction checks that the number of admitted requests stays within two of the
// sum of the fractions, even when these vary, and that a fraction of 1 admits everything.
func TestSamplerAdmitsItsFraction(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		sampler := NewSampler(rng.Float64(), rng.Float64())
		expected, admitted := 0.0, 0
		for range 1000 {
			fraction := rng.Float64()
			expected += fraction
			if sampler.Take(fraction, rng.Float64()) {
				admitted++
			}
			if deviation := expected - float64(admitted); deviation < -2 || deviation > 2 {
				t.Fatalf("%d requests admitted, want %.2f", admitted, expected)
			}
		}
		for range 10 {
			if !sampler.Take(1, rng.Float64()) {
				t.Fatal("rejected a request at a fraction of 1")
			}
		}
	}
}

// TestSamplerStarvesNoCaller guards against a sampler that always admits the same caller when
// callers come in a fixed order that matches the length of a step.
func TestSamplerStarvesNoCaller(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	sampler := NewSampler(rng.Float64(), rng.Float64())
	var admitted [4]int
	for i := range 4000 {
		if sampler.Take(1.0/float64(len(admitted)), rng.Float64()) {
			admitted[i%len(admitted)]++
		}
	}
	for caller, n := range admitted {
		if n < 200 || n > 300 {
			t.Errorf("caller %d: admitted %d of 1000 times, want 200 to 300", caller, n)
		}
	}
}

// TestIsolatedGatewaysExceedRate shows that the bound of TestTotalKeepsToRate detects a fault:
// gateways that know only their own demand exceed the rate together.
func TestIsolatedGatewaysExceedRate(t *testing.T) {
	const perSecond = 10.0
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 11, 4*perSecond)
	f.isolated = true
	f.setRate(0, perSecond)
	f.run(0, 12*time.Second, 1)
	if got, most := f.sentInWindow(12*time.Second), maxFactor*window.Seconds()*perSecond+allowance; float64(got) <= most {
		t.Errorf("%d requests in 4 s, allowed %.0f: the bound does not detect the fault", got, most)
	}
}

// TestAdmitFraction checks that everything is admitted below the rate, that only probes are
// admitted at a rate of zero, and that less is admitted right after the rate became known.
func TestAdmitFraction(t *testing.T) {
	r := Rate{PerSecond: 10, Since: start}
	later := at(time.Hour)
	for demand, fraction := range map[float64]float64{0: 1, 5: 1, 9: 1, 92: 0.1} {
		if got := r.AdmitFraction(later, demand); got < fraction-1e-9 || got > fraction+1e-9 {
			t.Errorf("fraction %g at a demand of %g/s", got, demand)
		}
	}
	if got := (Rate{Since: start}).AdmitFraction(later, 10); got*10 != probeRate {
		t.Errorf("%g/s at a rate of 0, want the probe rate", got*10)
	}
	if soon := r.AdmitFraction(start, 30); soon <= 0 || soon >= r.AdmitFraction(later, 30) {
		t.Errorf("fraction %g at first, %g later", soon, r.AdmitFraction(later, 30))
	}
	if most := r.AdmitFraction(start, 1000); most*1000 < minFraction*r.PerSecond-1e-9 {
		t.Errorf("%g/s at a high demand, want at least the minimum fraction of the rate", most*1000)
	}
}

// TestMeter checks that the meter follows a change of the rate within two seconds.
func TestMeter(t *testing.T) {
	var m Meter
	rate := 0.0
	for i := range 20 {
		for range 12 {
			m.Add()
		}
		rate = m.Rate(at(time.Duration(i) * 100 * ms))
	}
	if rate < 110 || rate > 130 {
		t.Errorf("rate %.0f/s, want about 120", rate)
	}
	for i := range 20 {
		rate = m.Rate(at(time.Duration(20+i) * 100 * ms))
	}
	if rate > 5 || rate != m.Last() {
		t.Errorf("rate %.0f/s, want about 0", rate)
	}
}
