package lab

import "testing"

// TestRejectionsAreRareInOverloadedPools guards against gateways that together fill the upstreams of a
// pool under a burst: 0.099 of the arrivals were rejected in pool-burst, 0.304 in pool-downloads, and the
// worth in pool-burst was 0.83 of the ideal. In overload 0.115 were rejected.
func TestRejectionsAreRareInOverloadedPools(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ rejected, share float64 }{
		"pool-burst":     {0.01, 0.88},
		"pool-downloads": {0.03, 0.94},
		// Its full upstreams leave requests unanswered, and nothing else shows that they are full.
		"overload": {0.09, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			product, ideal := simulateWithIdeal(find(t, name), 1)
			if got := product.Pools[0].Rejected; got > c.rejected {
				t.Errorf("%.4f of the arrivals rejected, want at most %.4f", got, c.rejected)
			}
			if got := product.Worth / ideal.Worth; got < c.share {
				t.Errorf("worth %.3f of the ideal, want %.3f", got, c.share)
			}
		})
	}
}

// TestPoolSurvivesLosses checks a pool while a tenth of its upstreams is silent, and while a third of the
// gateways is lost, whose share of the room the others take over.
func TestPoolSurvivesLosses(t *testing.T) {
	t.Parallel()
	product, ideal := simulateWithIdeal(find(t, "pool-lost"), 1)
	if got := product.Worth / ideal.Worth; got < 0.97 {
		t.Errorf("worth %.3f of the ideal", got)
	}
	if got := product.Pools[0].Rejected; got > 0.01 {
		t.Errorf("%.4f of the arrivals rejected", got)
	}
}

// TestUnevenPoolWithinItsCapacity checks a pool whose upstreams differ in speed and are slow at times.
// Gateways that compared two upstreams of their own failure domain and two others sent a quarter of the
// requests to other domains, and 0.073 of them were late.
func TestUnevenPoolWithinItsCapacity(t *testing.T) {
	t.Parallel()
	r := Simulate(find(t, "pool-62"), Product, 1)
	if late := r.Routes[0].Late; late > 0.071 {
		t.Errorf("%.3f late", late)
	}
	if r.CrossDomain > 0.21 {
		t.Errorf("%.3f of the attempts crossed domains", r.CrossDomain)
	}
	if got := r.Pools[0].Connections; got > 0.12 {
		t.Errorf("%.3f connections opened per arrival", got)
	}
}
