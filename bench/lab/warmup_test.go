package lab

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// onTimeShareFrom returns the share of the calls served on time among those that started in the
// given second or later, without the last second.
func onTimeShareFrom(r *Result, second int) float64 {
	on, all := 0, 0
	for _, s := range r.Seconds[second : len(r.Seconds)-1] {
		on += s.OnTime
		all += s.OnTime + s.Late + s.Refused + s.Failed
	}
	return float64(on) / float64(all)
}

// TestColdRestartHasNoLastingEffect checks that three seconds after a failure domain is back, calls
// are served as well as in a run without the restart.
func TestColdRestartHasNoLastingEffect(t *testing.T) {
	t.Parallel()
	const seed = 1
	calm, err := Find("cold-return")
	if err != nil {
		t.Fatal(err)
	}
	restarted := *calm
	calm.Disturbances = nil
	back := restarted.Disturbances[0].Start.D() + restarted.Disturbances[0].Duration.D() + restarted.Services[0].WarmUp.D()
	from := int(back/time.Second) + 1
	results := SimulateAll([]Job{{calm, Product, seed}, {&restarted, Product, seed}})
	without, with := results[0], results[1]
	if with.WarmUpFailures > 0 {
		t.Errorf("%d upstreams failed while warming up", with.WarmUpFailures)
	}
	if got, want := onTimeShareFrom(with, from), onTimeShareFrom(without, from); got < want-0.02 {
		t.Errorf("%.3f on time after the restart, %.3f without one", got, want)
	}
}

// TestColdRestartOverloadsWithoutLimit checks that the scenario of TestColdRestartHasNoLastingEffect
// reproduces the overload: without a rate limit the upstreams of the domain fail, restart and fail again
// under normal load, for as long as that load lasts.
func TestColdRestartOverloadsWithoutLimit(t *testing.T) {
	t.Parallel()
	const seed = 1
	calm, err := Find("cold-return")
	if err != nil {
		t.Fatal(err)
	}
	unbounded := *calm
	unbounded.Services = append([]Service(nil), calm.Services...)
	for i := range unbounded.Services {
		unbounded.Services[i].WarmUpRateLimit = 0
	}
	flooded := Simulate(&unbounded, Product, seed)
	if flooded.WarmUpFailures < 20 {
		t.Errorf("only %d upstreams failed without a rate limit: the scenario does not reproduce the overload", flooded.WarmUpFailures)
	}
}

// TestReportedLoadsIncreaseWorth checks that with upstreams on shared machines, worth is higher if
// they report their load than if they do not. It compares means over several seeds: with a single one
// the difference lies between 0.003 and 0.056, depending on the order of the random draws.
func TestReportedLoadsIncreaseWorth(t *testing.T) {
	t.Parallel()
	reporting, err := Find("shared-machines")
	if err != nil {
		t.Fatal(err)
	}
	reporting.Length = jsonc.Duration(5 * time.Second)
	unreported := *reporting
	unreported.Services = append([]Service(nil), reporting.Services...)
	for i := range unreported.Services {
		unreported.Services[i].ReportsLoad = false
	}
	with, without := meanWorths(reporting, &unreported)
	if with < without+0.01 {
		t.Errorf("worth %.3f with reported loads, %.3f without", with, without)
	}
}
