package lab

import (
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
// seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	sc := find(t, "rough")
	sc.Length = jsonc.Duration(10 * time.Second)
	for _, p := range []Policy{Product, Ideal, Plain} {
		first, again := Simulate(sc, p, 7), Simulate(sc, p, 7)
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
	sc := find(t, "overload")
	ideal, product, plain := Simulate(sc, Ideal, 1), Simulate(sc, Product, 1), Simulate(sc, Plain, 1)
	if ideal.Worth < product.Worth || product.Worth < plain.Worth {
		t.Errorf("ideal %.3f, product %.3f, plain %.3f", ideal.Worth, product.Worth, plain.Worth)
	}
}
