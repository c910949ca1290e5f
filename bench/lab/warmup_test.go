package lab

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// onTimeFrom is the share of the calls that were answered on time, of those that began in the
// second or later, without the last few.
func onTimeShareFrom(r *Result, second int) float64 {
	on, all := 0, 0
	for _, s := range r.Seconds[second : len(r.Seconds)-1] {
		on += s.OnTime
		all += s.OnTime + s.Late + s.Refused + s.Failed
	}
	return float64(on) / float64(all)
}

// TestColdReturnLeavesNothingBehind: three seconds after a failure domain is back all is as if
// it had never been away. Without a bound its upstreams break, start again and break under the
// ordinary load for as long as that lasts.
func TestColdRestartHasNoLastingEffect(t *testing.T) {
	const seed = 1
	calm, err := Find("cold-return")
	if err != nil {
		t.Fatal(err)
	}
	restarted, unbounded := *calm, *calm
	calm.Disturbances = nil
	unbounded.Services = append([]Service(nil), calm.Services...)
	for i := range unbounded.Services {
		unbounded.Services[i].WarmUpRateLimit = 0
	}
	back := restarted.Disturbances[0].Start.D() + restarted.Disturbances[0].Duration.D() + restarted.Services[0].WarmUp.D()
	from := int(back/time.Second) + 1
	results := SimulateAll([]Job{{calm, Product, seed}, {&restarted, Product, seed}, {&unbounded, Product, seed}})
	without, with, flooded := results[0], results[1], results[2]
	if with.WarmUpFailures > 0 {
		t.Errorf("%d upstreams broke while they warmed up", with.WarmUpFailures)
	}
	if got, want := onTimeShareFrom(with, from), onTimeShareFrom(without, from); got < want-0.02 {
		t.Errorf("%.3f on time after the return, %.3f without", got, want)
	}
	if flooded.WarmUpFailures < 20 {
		t.Errorf("%d fell without a bound: the scenario does not show the fault", flooded.WarmUpFailures)
	}
}

// TestToldLoadsServeBetter: of upstreams that share their machines more is answered on time
// when they tell their load than when they do not.
func TestReportedLoadsIncreaseWorth(t *testing.T) {
	const seed = 1
	reporting, err := Find("shared-machines")
	if err != nil {
		t.Fatal(err)
	}
	reporting.Length = jsonc.Duration(5 * time.Second)
	silent := *reporting
	silent.Services = append([]Service(nil), reporting.Services...)
	for i := range silent.Services {
		silent.Services[i].ReportsLoad = false
	}
	results := SimulateAll([]Job{{reporting, Product, seed}, {&silent, Product, seed}})
	with, without := results[0], results[1]
	if with.Worth < without.Worth+0.01 {
		t.Errorf("worth %.3f with told loads, %.3f without", with.Worth, without.Worth)
	}
}
