package lab

import (
	"slices"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// These tests simulate a load and check what the clients get. Their figures hold for seed 1 and
// depend only on the scenario and the code.

// TestWorthIsCloseToIdeal checks that the worth achieved by the product is close to that of an
// ideal dispatcher, and that no route is starved. Without sharing the capacity of owners by demand,
// and without limiting queueing to requests that are likely to be on time, the ratios were: calm
// 0.992, hot-key 0.985, busy 0.926, overload 0.838, losses 0.965, rough 0.965 (means of four
// seeds).
func TestWorthIsCloseToIdeal(t *testing.T) {
	t.Parallel()
	for name, minRatio := range map[string]float64{"hot-key": 0.97, "overload": 0.95, "losses": 0.94} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			product, ideal := simulateWithIdeal(find(t, name), 1)
			if ratio := product.Worth / ideal.Worth; ratio < minRatio {
				t.Errorf("worth %.3f, %.3f of the ideal, want %.2f", product.Worth, ratio, minRatio)
			}
			for i, r := range product.Routes {
				if r.Worth < 0.8*ideal.Routes[i].Worth {
					t.Errorf("route %s: worth %.3f, ideal %.3f", r.Route, r.Worth, ideal.Routes[i].Worth)
				}
			}
		})
	}
}

// TestCompetingKinds checks that under overload, also while a fifth of the pool is silent, a more
// important kind of request is served at least as often as a lesser one of its service, that the lesser
// one is not starved, and that worth is close to the ideal. When each kind filled upstreams by its own
// objective, the important kind was served 0.77, the lesser one 0.99, and worth was 0.86 of the ideal.
func TestCompetingKinds(t *testing.T) {
	t.Parallel()
	loss := Disturbance{Kind: Silent, Service: "pool", Share: 0.2, Start: jsonc.Duration(12 * time.Second), Duration: jsonc.Duration(8 * time.Second)}
	for name, c := range map[string]struct {
		scale    int
		trouble  []Disturbance
		minRatio float64
	}{
		"overload":            {1, nil, 0.95},
		"overload and a loss": {1, []Disturbance{loss}, 0.9},
		// With more gateways each knows less of the upstreams. When the bound on the lesser kind made
		// gateways look on for an upstream within it, worth was 0.79 of the ideal.
		"overload, 60 gateways": {5, nil, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := *find(t, "competing-kinds")
			sc.Disturbances = append(sc.Disturbances, c.trouble...)
			scale(&sc, c.scale)
			product, ideal := simulateWithIdeal(&sc, 1)
			if ratio := product.Worth / ideal.Worth; ratio < c.minRatio {
				t.Errorf("worth %.3f, %.3f of the ideal, want %.2f", product.Worth, ratio, c.minRatio)
			}
			served := make(map[string]float64)
			for _, r := range product.Routes {
				served[r.Route] = r.OnTime + r.Late
			}
			if served["bookings"] < served["searches"]-0.05 {
				t.Errorf("bookings served %.3f, searches %.3f, which are less important", served["bookings"], served["searches"])
			}
			if served["searches"] < 0.5 {
				t.Errorf("searches served %.3f", served["searches"])
			}
		})
	}
}

// scale multiplies the gateways, the upstreams and the load of a scenario.
func scale(sc *Scenario, factor int) {
	sc.Gateways *= factor
	sc.Services, sc.Routes = slices.Clone(sc.Services), slices.Clone(sc.Routes)
	for i := range sc.Services {
		sc.Services[i].Upstreams *= factor
	}
	for i := range sc.Routes {
		sc.Routes[i].Rate *= float64(factor)
	}
}

// TestFullUpstreamsAreRare checks that hardly any request reaches a full upstream while a key is hot
// and upstreams never respond to requests that they cannot queue. For comparison: weaker dispatch
// decisions sent 177 of about 36,000 requests to full upstreams.
func TestFullUpstreamsAreRare(t *testing.T) {
	t.Parallel()
	r := Simulate(find(t, "hot-key"), Product, 1)
	if r.FullUpstream > 20 {
		t.Errorf("%d requests reached a full upstream", r.FullUpstream)
	}
}

// TestHundredsOfGatewaysWithKeys simulates hundreds of gateways in front of a keyed service with
// one permanently hot key and groups of hot keys. It checks what clients get and how few requests
// reach a full owner. Three defects led to a worth of 0.511, 0.10 failed calls and 15,700 requests at
// full owners (means of two seeds): one hot key kept the other keys unbalanced, each gateway used
// only the work times that it observed itself, and hot keys were not limited.
func TestHundredsOfGatewaysWithKeys(t *testing.T) {
	t.Parallel()
	r := Simulate(find(t, "size"), Product, 1)
	if r.Worth < 0.59 {
		t.Errorf("worth %.3f", r.Worth)
	}
	if reads := r.Routes[0]; reads.Failed > 0.03 {
		t.Errorf("%.3f of the calls failed", reads.Failed)
	}
	if r.FullUpstream > 4000 {
		t.Errorf("%d requests reached a full owner", r.FullUpstream)
	}
}

// TestHundredsOfGatewaysWithoutKeys simulates hundreds of gateways in front of upstreams that can
// serve any request. Worth was 0.854 when each gateway sent to the best of sixteen upstreams drawn
// anew for each request.
func TestHundredsOfGatewaysWithoutKeys(t *testing.T) {
	t.Parallel()
	if r := Simulate(find(t, "size-any"), Product, 1); r.Worth < 0.93 {
		t.Errorf("worth %.3f", r.Worth)
	}
}

// TestColdKeysInTimeAreServed guards against refusing requests for keys of lost owners that would be
// in time although they run four times as long. With a limit of half of an owner's slots for all of
// them, worth was 0.960 and 0.957 with seeds 1 and 2, and 0.029 and 0.033 of the reports, whose
// objective is 4 s, were refused.
func TestColdKeysInTimeAreServed(t *testing.T) {
	t.Parallel()
	for _, r := range simulateSeeds(find(t, "cold-keys"), 2) {
		if r.Worth < 0.965 {
			t.Errorf("seed %d: worth %.4f", r.Seed, r.Worth)
		}
		if reports := r.Routes[1]; reports.Refused > 0.02 {
			t.Errorf("seed %d: %.4f of the reports refused", r.Seed, reports.Refused)
		}
	}
}

// TestContendedOwners guards against two failures at once while groups of keys ask their owners for
// more than they can run: owners that reject what the gateways send, and gateways that refuse
// although they see a free slot. Before admission by odds, 0.014 of the tries were refused so with 62
// gateways, 0.027 with 300 and 0.110 with 985. The target is 0.002: means of three seeds are 0.0015,
// 0.0019 and, missing it, 0.003.
func TestContendedOwners(t *testing.T) {
	t.Parallel()
	for name, maxRefused := range map[string]float64{"contended-owners-62": 0.002, "contended-owners-300": 0.003, "contended-owners-985": 0.004} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			product, ideal := simulateWithIdeal(find(t, name), 1)
			if product.OwnerRejections > 0.05 || product.RefusedWithFreeSlot > maxRefused {
				t.Errorf("rejected by owners %.4f, refused with a free slot %.4f", product.OwnerRejections, product.RefusedWithFreeSlot)
			}
			if ratio := product.Worth / ideal.Worth; ratio < 0.95 {
				t.Errorf("worth %.4f, %.3f of the ideal", product.Worth, ratio)
			}
		})
	}
}

// TestEachMechanismIncreasesWorth checks that clients get less if a mechanism is disabled under the
// load for which it is intended. It compares means over several seeds, because the result of a
// single seed depends on the order of its random draws (cold keys: +0.0076 +- 0.0030 over eight
// seeds, but -0.003 with one).
func TestEachMechanismIncreasesWorth(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		scenario string
		disable  func(*dispatch.Mechanisms)
	}{
		"shares":     {"overload", func(m *dispatch.Mechanisms) { m.NoShares = true }},
		"likelihood": {"overload", func(m *dispatch.Mechanisms) { m.NoLikelihood = true }},
		"importance": {"competing-kinds", func(m *dispatch.Mechanisms) { m.NoKinds = true }},
		"cold keys":  {"losses", func(m *dispatch.Mechanisms) { m.NoCold = true }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := find(t, c.scenario)
			without := *sc
			c.disable(&without.Disabled)
			with, less := meanWorths(sc, &without)
			if with <= less {
				t.Errorf("worth %.4f with the mechanism, %.4f without", with, less)
			}
		})
	}
}

// ablationSeeds is the number of seeds of a comparison with and without a mechanism.
const ablationSeeds = 4

// meanWorths returns the mean worths of two scenarios over the first ablationSeeds seeds.
func meanWorths(a, b *Scenario) (float64, float64) {
	results := SimulateAll(append(seedJobs(a, ablationSeeds), seedJobs(b, ablationSeeds)...))
	return meanWorth(results[:ablationSeeds]), meanWorth(results[ablationSeeds:])
}

func meanWorth(results []*Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.Worth
	}
	return sum / float64(len(results))
}
