package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
)

// TestChoiceWidensWhereItHelps: a gateway compares more than its usual candidates only while these are
// slow, in an uneven pool that is not loaded, and if it receives enough requests to know their loads.
func TestChoiceWidensWhereItHelps(t *testing.T) {
	for name, c := range map[string]struct {
		uneven      bool
		demand      float64
		othersEach  float64
		wantFasters bool
	}{
		"uneven pool":        {true, 20, 0.5, true},
		"even pool":          {false, 20, 0.5, false},
		"few requests":       {true, 2, 0.5, false},
		"loaded uneven pool": {true, 20, 4, false},
	} {
		s := newPool(1, 30)[0]
		s.demand.Requests = c.demand
		if c.uneven {
			reportLoad([]*Service{s}, start)
		}
		// The first candidates are slow ones; the others are as fast as usual.
		work, inFlight := make(map[string]worktime.Estimate), make(map[string]float64)
		for i, l := range s.ranked.local {
			work[l.ID] = worktime.Estimate{Work: 200 * ms, Slowness: 1}
			inFlight[l.ID] = c.othersEach
			if i < candidates {
				work[l.ID] = worktime.Estimate{Work: 300 * ms, Slowness: 1}
			}
		}
		now := at(time.Second)
		s.ApplyReport(now, ClusterReport{Gateways: 100, InFlight: inFlight, WorkTimes: work})
		if s.pool.applies(now) && s.pool.load() >= drawLoad {
			t.Fatalf("%s: upstreams are drawn at this load", name)
		}
		req := &Request{Objective: 500 * ms}
		req.maxDelay = ownMaxDelay(req)
		u := s.selectUpstream(now, req)
		if u == nil {
			t.Fatalf("%s: none chosen", name)
		}
		if got := u.clusterWorkTime == 200*ms; got != c.wantFasters {
			t.Errorf("%s: a faster upstream chosen: %v", name, got)
		}
	}
}
