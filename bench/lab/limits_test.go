package lab

import (
	"fmt"
	"testing"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
)

// limitSeeds is the number of seeds of the tests of named limits.
const limitSeeds = 2

// TestNamedLimitsAreRespected lets a fifth of the upstreams name a quarter of their request rate as
// their limit. With 12 and with 74 gateways, no upstream may get more than its limit allows, and
// clients must be served as well as without limits.
func TestNamedLimitsAreRespected(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{12, 74} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			t.Parallel()
			limited := find(t, "in-need")
			limited.Gateways = gateways
			unlimited := *limited
			unlimited.Disturbances = nil
			results := SimulateAll(append(seedJobs(&unlimited, limitSeeds), seedJobs(limited, limitSeeds)...))
			for i, without := range results[:limitSeeds] {
				with, seed := results[limitSeeds+i], without.Seed
				if with.PeakOverLimit > 1 {
					t.Errorf("seed %d: an upstream got %.2f times what its limit allows", seed, with.PeakOverLimit)
				}
				if with.Worth < without.Worth-0.01 {
					t.Errorf("seed %d: worth %.3f, %.3f without limits", seed, with.Worth, without.Worth)
				}
			}
		})
	}
}

// TestIgnoredNamedLimitsOverload guards against a scenario in which TestNamedLimitsAreRespected would pass
// without limits: with the limits ignored, an upstream gets at least twice what its limit allows.
func TestIgnoredNamedLimitsOverload(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{12, 74} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			t.Parallel()
			ignored := *find(t, "in-need")
			ignored.Gateways = gateways
			ignored.Disabled = dispatch.Mechanisms{NoNamedLimits: true}
			for _, flooded := range simulateSeeds(&ignored, limitSeeds) {
				if flooded.PeakOverLimit < 2 {
					t.Errorf("seed %d: an upstream got only %.2f times what its limit allows although the limits are ignored: the scenario does not reproduce the overload", flooded.Seed, flooded.PeakOverLimit)
				}
			}
		})
	}
}
