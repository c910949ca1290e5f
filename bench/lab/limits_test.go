package lab

import (
	"fmt"
	"testing"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
)

// TestUpstreamsInNeedAreSpared: a fifth of the upstreams name a third of what they get as what they
// take. At a dozen gateways and at 74 none of them gets more than it may, and clients are served as
// if nothing had happened. When the limits are read by nobody they get up to three times what they
// may.
func TestNamedLimitsAreRespected(t *testing.T) {
	for _, gateways := range []int{12, 74} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			t.Parallel()
			limited := find(t, "in-need")
			limited.Gateways = gateways
			unlimited, ignored := *limited, *limited
			unlimited.Disturbances = nil
			ignored.Disabled = dispatch.Mechanisms{NoNamedLimits: true}
			for seed := uint64(1); seed <= 2; seed++ {
				results := SimulateAll([]Job{{&unlimited, Product, seed}, {limited, Product, seed}, {&ignored, Product, seed}})
				without, with, flooded := results[0], results[1], results[2]
				if with.PeakOverLimit > 1 {
					t.Errorf("seed %d: an upstream got %.2f times what it may", seed, with.PeakOverLimit)
				}
				if with.Worth < without.Worth-0.01 {
					t.Errorf("seed %d: worth %.3f, %.3f without the trouble", seed, with.Worth, without.Worth)
				}
				if flooded.PeakOverLimit < 2 {
					t.Errorf("seed %d: %.2f times what it may when nobody reads the limits: the scenario does not show the fault", seed, flooded.PeakOverLimit)
				}
			}
		})
	}
}
