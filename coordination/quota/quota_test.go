package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const (
	ms = time.Millisecond
	// window and its bounds are those of the aim: once a rate has settled, in any window at most
	// mostTimes the rate and a few requests, and no less than leastTimes of it while there is
	// demand.
	window       = 4 * time.Second
	settledAfter = 3 * time.Second
	maxFactor    = 1.5
	allowance    = 5
	minFactor    = 0.8
)

// fleet is many gateways that send to one upstream.
type fleet struct {
	rng     *rand.Rand
	rate    Rate
	limited bool
	// isolated lets them hear nothing of each other.
	isolated bool
	// demand is how many requests a second each is asked for, meters what each measures, told
	// what each was last told of the others.
	demand       []float64
	meters       []Meter
	othersDemand []float64
	samplers     []Sampler
	sent         []time.Duration
}

// newFleet spreads a demand unevenly.
func newFleet(rng *rand.Rand, gateways int, wanted float64) *fleet {
	f := &fleet{rng: rng, demand: make([]float64, gateways), meters: make([]Meter, gateways), othersDemand: make([]float64, gateways), samplers: make([]Sampler, gateways)}
	sum := 0.0
	for i := range f.demand {
		f.demand[i] = rng.ExpFloat64()
		sum += f.demand[i]
	}
	// Of its own, so that the requests of a seed are the same whatever is decided.
	phases := rand.New(rand.NewPCG(uint64(gateways), 2))
	for i := range f.samplers {
		f.samplers[i] = NewSampler(phases.Float64(), phases.Float64())
	}
	for i := range f.demand {
		f.demand[i] *= wanted / sum
	}
	return f
}

// reportInterval is the time between reports, and what they say is as old again when it is told.
const reportInterval = 125 * ms

// run sends what is asked for from one time to another, times the demand, as far as it is let
// through.
func (f *fleet) run(from, to time.Duration, times float64) {
	for now := from; now < to; now += ms {
		if now/reportInterval != (now-ms)/reportInterval {
			f.exchangeReports(at(now))
		}
		for i, d := range f.demand {
			if f.rng.Float64() >= times*d*ms.Seconds() {
				continue
			}
			f.meters[i].Add()
			if !f.limited || f.samplers[i].Take(f.rate.AdmitFraction(at(now), f.meters[i].Last()+f.othersDemand[i]), f.rng.Float64()) {
				f.sent = append(f.sent, now)
			}
		}
	}
}

// exchangeReports lets each hear what the others said with their last reports, and report anew.
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

// setRate lets all hear of a rate.
func (f *fleet) setRate(now time.Duration, perSecond float64) {
	f.rate, f.limited = Rate{PerSecond: perSecond, Since: at(now)}, true
}

// sentInWindow returns how many requests came sentInWindow the window that ends at a time.
func (f *fleet) sentInWindow(end time.Duration) int {
	n := 0
	for _, at := range f.sent {
		if at > end-window && at <= end {
			n++
		}
	}
	return n
}

// sentSince returns how many requests came sentSince a time.
func (f *fleet) sentSince(from time.Duration) int {
	n := 0
	for _, at := range f.sent {
		if at >= from {
			n++
		}
	}
	return n
}

// TestTotalKeepsToRate: an upstream that gets three to four times what it names gets no more
// than it may, by all gateways together, from three seconds after it first said so; what came in
// the second before counts. And it gets most of it. At few gateways and many, with uneven demand
// and bursts, and a rate below one request a second for each.
func TestTotalKeepsToRate(t *testing.T) { testTotalKeepsToRate(t, 60, 76*time.Second) }

// TestTotalReachesRateSoon: the same, and most of the rate is used within twelve seconds already.
func TestTotalReachesRateSoon(t *testing.T) { testTotalKeepsToRate(t, 100, 28*time.Second) }

// testTotalKeepsToRate plays so many seeds to an end.
func testTotalKeepsToRate(t *testing.T, seeds uint64, end time.Duration) {
	t.Helper()
	for seed := range seeds {
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
				t.Fatalf("seed %d: %d gateways, %.1f a second: %d in 4 s, allowed %.0f, %s after it was named",
					seed, gateways, perSecond, got, most, at-named)
			}
		}
		if got, want := float64(f.sentSince(calm))/(end-calm).Seconds(), minFactor*perSecond; got < want {
			t.Errorf("seed %d: %d gateways, %.1f a second: got %.1f, %.1f wanted", seed, gateways, perSecond, got, want)
		}
	}
}

// TestSamplerAdmitsItsFraction: never more than one request away from the part, also one that changes, and
// nothing is held back of all.
func TestSamplerAdmitsItsFraction(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		turn := NewSampler(rng.Float64(), rng.Float64())
		due, took := 0.0, 0
		for range 1000 {
			part := rng.Float64()
			due += part
			if turn.Take(part, rng.Float64()) {
				took++
			}
			if stray := due - float64(took); stray < -2 || stray > 2 {
				t.Fatalf("%d taken, %.2f due", took, due)
			}
		}
		for range 10 {
			if !turn.Take(1, rng.Float64()) {
				t.Fatal("held back of all")
			}
		}
	}
}

// TestSamplerStarvesNoCaller: callers that come in a fixed order, as many as make up one, are each
// let through about as often as the others.
func TestSamplerStarvesNoCaller(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	turn := NewSampler(rng.Float64(), rng.Float64())
	var took [4]int
	for i := range 4000 {
		if turn.Take(1.0/float64(len(took)), rng.Float64()) {
			took[i%len(took)]++
		}
	}
	for caller, n := range took {
		if n < 200 || n > 300 {
			t.Errorf("caller %d: let through %d of 1000 times", caller, n)
		}
	}
}

// TestIsolatedGatewaysExceedRate: gateways that each keep to the rate, and do not know of the others,
// do not keep to it together.
func TestIsolatedGatewaysExceedRate(t *testing.T) {
	const perSecond = 10.0
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 11, 4*perSecond)
	f.isolated = true
	f.setRate(0, perSecond)
	f.run(0, 12*time.Second, 1)
	if got, most := f.sentInWindow(12*time.Second), maxFactor*window.Seconds()*perSecond+allowance; float64(got) <= most {
		t.Errorf("%d in 4 s, allowed %.0f: the test does not show the fault", got, most)
	}
}

// TestAdmitFraction: nothing is held back where there is room, only trials are let through where none is
// taken, and soon after a rate was named less than later.
func TestAdmitFraction(t *testing.T) {
	r := Rate{PerSecond: 10, Since: start}
	later := at(time.Hour)
	for wanted, part := range map[float64]float64{0: 1, 5: 1, 9: 1, 92: 0.1} {
		if got := r.AdmitFraction(later, wanted); got < part-1e-9 || got > part+1e-9 {
			t.Errorf("%g of %g a second", got, wanted)
		}
	}
	if got := (Rate{Since: start}).AdmitFraction(later, 10); got*10 != probeRate {
		t.Errorf("%g a second where none is taken: only trials tell when it takes some again", got*10)
	}
	if soon := r.AdmitFraction(start, 30); soon <= 0 || soon >= r.AdmitFraction(later, 30) {
		t.Errorf("%g at once, %g later", soon, r.AdmitFraction(later, 30))
	}
	if most := r.AdmitFraction(start, 1000); most*1000 < minFraction*r.PerSecond-1e-9 {
		t.Errorf("%g a second: its answers do not tell any more", most*1000)
	}
}

// TestMeter follows a rate within a second and forgets it as soon.
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
		t.Errorf("%.0f a second, 120 came", rate)
	}
	for i := range 20 {
		rate = m.Rate(at(time.Duration(20+i) * 100 * ms))
	}
	if rate > 5 || rate != m.Last() {
		t.Errorf("%.0f a second, none came", rate)
	}
}
