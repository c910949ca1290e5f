package lab

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// find returns the named scenario or fails the test.
func find(t *testing.T, name string) *Scenario {
	t.Helper()
	sc, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// seedJobs returns the runs of the product with the seeds 1 to n.
func seedJobs(sc *Scenario, n int) []Job {
	var jobs []Job
	for seed := range n {
		jobs = append(jobs, Job{sc, Product, uint64(seed + 1)})
	}
	return jobs
}

// simulateSeeds runs the product with the seeds 1 to n.
func simulateSeeds(sc *Scenario, n int) []*Result { return SimulateAll(seedJobs(sc, n)) }

// simulateWithIdeal runs the product and the ideal dispatcher.
func simulateWithIdeal(sc *Scenario, seed uint64) (product, ideal *Result) {
	results := SimulateAll([]Job{{sc, Product, seed}, {sc, Ideal, seed}})
	return results[0], results[1]
}

func TestScenariosAreValid(t *testing.T) {
	if len(Names()) == 0 {
		t.Fatal("no built-in scenarios")
	}
	for _, name := range Names() {
		if sc := find(t, name); sc.Name != name {
			t.Errorf("scenario %s has the name %s", name, sc.Name)
		}
	}
}

// TestSameSeedGivesSameResult checks that a result depends only on the scenario, the policy and the
// seed, also while other simulations run. It runs with the race detector.
func TestSameSeedGivesSameResult(t *testing.T) {
	t.Parallel()
	const seed = 7
	sc := find(t, "rough")
	sc.Length = jsonc.Duration(10 * time.Second)
	policies := []Policy{Product, Ideal, Plain}
	var jobs []Job
	for _, p := range policies {
		jobs = append(jobs, Job{sc, p, seed}, Job{sc, p, seed})
	}
	results := SimulateAll(jobs)
	for i, p := range policies {
		first, again := results[2*i], results[2*i+1]
		if diff := cmp.Diff(first, again, cmpopts.IgnoreFields(Result{}, "WallMs")); diff != "" {
			t.Errorf("%s: %s", p, diff)
		}
	}
}

// TestInvalidScenariosAreRejected checks that invalid settings are rejected before anything runs,
// with an error that names their path.
func TestInvalidScenariosAreRejected(t *testing.T) {
	whole := `{"name": "a", "gateways": 1,
		"services": [{"name": "s", "upstreams": 1, "slots": 1, "when_full": "refuses"}],
		"routes": [{"name": "r", "service": "s", "rate": 1, "work": "1ms", "objective": "1s", "timeout": "1s", "patience": "1s", "attempts": 1}]}`
	for name, c := range map[string]struct{ old, new, path string }{
		"unknown field":   {`"gateways": 1`, `"gateways": 1, "gate": 2`, "gate"},
		"negative rate":   {`"rate": 1`, `"rate": -1`, "routes[0].rate"},
		"too many events": {`"rate": 1`, `"rate": 1e9`, "routes"},
		"unknown service": {`"service": "s"`, `"service": "t"`, "routes[0].service"},
		"unknown kind":    {`"gateways": 1`, `"gateways": 1, "troubles": [{"kind": "flood"}]`, "troubles[0].kind"},
		"unknown action":  {`"refuses"`, `"sleeps"`, "services[0].when_full"},
	} {
		sc := DefaultScenario()
		if err := jsonc.Decode([]byte(whole), &sc); err != nil {
			t.Fatal(err)
		}
		sc = DefaultScenario()
		err := jsonc.Decode([]byte(strings.Replace(whole, c.old, c.new, 1)), &sc)
		if err == nil || !strings.Contains(err.Error(), c.path+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestIdealIsUpperBound checks that the ideal dispatcher is at least as good as the product, and
// the product at least as good as the plain policy.
func TestIdealIsUpperBound(t *testing.T) {
	t.Parallel()
	sc := find(t, "overload")
	results := SimulateAll([]Job{{sc, Ideal, 1}, {sc, Product, 1}, {sc, Plain, 1}})
	ideal, product, plain := results[0], results[1], results[2]
	if ideal.Worth < product.Worth || product.Worth < plain.Worth {
		t.Errorf("ideal %.3f, product %.3f, plain %.3f", ideal.Worth, product.Worth, plain.Worth)
	}
}

// TestSimulationHasOneGoroutine checks that a simulation starts no goroutine. Because of that, the race
// detector finds nothing in it that the tests of the packages in it do not show, and CI runs the load
// tests of this package without it. It must not run in parallel with other tests.
func TestSimulationHasOneGoroutine(t *testing.T) {
	for _, p := range []Policy{Product, Ideal, Plain} {
		sc := find(t, "rough")
		sc.Length = jsonc.Duration(2 * time.Second)
		sim := newSimulation(sc, 1)
		sim.policy = newPolicy(sim, p, 1)
		before, samples := runtime.NumGoroutine(), 0
		var sample func()
		sample = func() {
			if n := runtime.NumGoroutine(); n > before {
				t.Errorf("%s: %d goroutines after %v, %d before", p, n, sim.elapsed, before)
			}
			samples++
			sim.after(time.Millisecond, sample)
		}
		sample()
		sim.runScenario()
		if samples < int(sc.Length.D()/time.Millisecond) {
			t.Errorf("%s: only %d samples", p, samples)
		}
	}
}
