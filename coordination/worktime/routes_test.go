package worktime

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// twoRoutes plays runs of a short and a long route at one upstream, whose work is estimated from runs
// that are normalised by the factors, as in the gateways.
type twoRoutes struct {
	rng         *rand.Rand
	routes      *Routes
	work        *Estimator
	short, long *Route
}

func newTwoRoutes() *twoRoutes {
	p := &twoRoutes{rng: rand.New(rand.NewPCG(1, 2)), routes: NewRoutes(), work: NewEstimator()}
	p.short, p.long = p.routes.Get("short"), p.routes.Get("long")
	return p
}

// play plays runs of which the given share is long, 770 ms instead of 480 ms.
func (p *twoRoutes) play(runs int, longShare float64) {
	for range runs {
		route, mean := p.short, 480.0
		if p.rng.Float64() < longShare {
			route, mean = p.long, 770
		}
		// A log-normal distribution with a deviation of 0.5.
		took := time.Duration(mean * math.Exp(0.5*p.rng.NormFloat64()-0.125) * float64(ms))
		route.Send()
		route.Observe(took, p.work.Mean("u"), 1)
		p.work.Add("u", Sum{Total: time.Duration(float64(took) / route.Factor()), Runs: 1})
	}
}

// TestMixOfRoutesDoesNotMoveWorkTimes guards against an upstream that counts as slow because it gets the
// long route: by its raw run times it would be 1.6 times as slow. The scale of factors and work times
// must not drift either.
func TestMixOfRoutesDoesNotMoveWorkTimes(t *testing.T) {
	p := newTwoRoutes()
	p.play(2000, 0.4)
	if ratio := p.long.Factor() / p.short.Factor(); ratio < 1.4 || ratio > 1.8 {
		t.Errorf("the long route counts %.2f times the short one, want 1.6", ratio)
	}
	before := p.work.ServiceMean()
	for _, share := range []float64{1, 0, 0.4} {
		p.play(100, share)
		if moved := p.work.ServiceMean().Seconds() / before.Seconds(); moved < 0.9 || moved > 1.1 {
			t.Errorf("work time %.2f of the former one after 100 runs with %.0f%% long ones", moved, 100*share)
		}
	}
	p.play(100_000, 0.4)
	mean := 0.6*p.short.Factor() + 0.4*p.long.Factor()
	if mean < 0.85 || mean > 1.15 {
		t.Errorf("mean factor %.2f after 100,000 runs, want about 1", mean)
	}
	if mix := p.routes.Mix(); mix < 0.85*mean || mix > 1.15*mean {
		t.Errorf("factor of the mix %.2f, want %.2f", mix, mean)
	}
	if spread := p.short.Spread(); spread < 0.45 || spread > 0.7 {
		t.Errorf("spread %.2f, want 0.53", spread)
	}
}

// TestRoutesWithoutEvidenceCountAsEqual checks that neither few runs nor the runs of the only route
// change an estimate, that nil values are routes of equal work, and that one run has bounded effect.
func TestRoutesWithoutEvidenceCountAsEqual(t *testing.T) {
	var none *Route
	none.Send()
	none.Observe(time.Second, time.Second, 1)
	if none.Factor() != 1 || none.Spread() != 1 || (*Routes)(nil).Mix() != 1 {
		t.Error("an unknown route differs from the mean")
	}
	r := NewRoutes()
	only := r.Get("only")
	for range 100 {
		only.Observe(300*ms, 100*ms, 1)
	}
	if only.Factor() != 1 || only.Spread() != 1 {
		t.Errorf("the only route of a service has the factor %g", only.Factor())
	}
	few := r.Get("few")
	for range minRouteRuns - 1 {
		few.Observe(300*ms, 100*ms, 1)
	}
	few.Observe(300*ms, 0, 1)
	if few.Factor() != 1 || only.Factor() != 1 {
		t.Errorf("factors %g and %g with too few runs of one", few.Factor(), only.Factor())
	}
	few.Observe(time.Hour, 100*ms, 1)
	if f := few.Factor(); f <= 1 || f > maxFactor {
		t.Errorf("factor %g after a run of an hour", f)
	}
	if f := only.Factor(); f < 2.5 || f > 3 {
		t.Errorf("factor %g after 100 runs of three times the mean", f)
	}
}

// TestRoutesAreBounded guards against a table that grows with each renamed route.
func TestRoutesAreBounded(t *testing.T) {
	r := NewRoutes()
	for i := range 10 * maxRoutes {
		one := r.Get(fmt.Sprint(i))
		for range minRouteRuns {
			one.Observe(200*ms, 100*ms, 1)
		}
		r.Get("kept")
	}
	if len(r.byName) > maxRoutes || r.byName["kept"] == nil || r.known >= maxRoutes {
		t.Errorf("%d routes of which %d are known; the one in use is kept: %v", len(r.byName), r.known, r.byName["kept"] != nil)
	}
}
