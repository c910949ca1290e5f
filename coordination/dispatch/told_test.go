package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// says lets an upstream answer one request that began at the time before now, and say its load.
func answerWithLoad(s *Service, id string, now, took time.Duration, load instances.Load) {
	g := Grant{Instance: instances.Instance{ID: id}, GrantedAt: at(now - took)}
	s.ApplyLoad(at(now), g, load)
	s.Done(at(now), g, Answered)
}

// TestSlowMomentIsAvoided and passes: what an upstream says counts for less as it ages.
func TestReportedSlownessDecays(t *testing.T) {
	s := newService("a1", "a2")
	s.ApplyReport(start, ClusterReport{Gateways: 1, WorkTimes: map[string]worktime.Estimate{
		"a1": {Work: 100 * ms, Slowness: 1.4}, "a2": {Work: 130 * ms, Slowness: 1.4},
	}})
	if g := mustGrant(t, s, start, want()); g.Instance.ID != "a1" {
		t.Fatalf("sent to %s, which is slower in the mean", g.Instance.ID)
	}
	u := s.upstreams["a1"]
	s.ApplyLoad(at(ms), Grant{Instance: u.Instance}, instances.Load{Running: 1, Slots: 2, Slowness: 4.2})
	if got := u.currentWorkTime(at(ms), s.typicalWorkTime); got != 300*ms {
		t.Errorf("%s in a slow moment", got)
	}
	s.Done(at(ms), Grant{Instance: u.Instance, GrantedAt: start}, Canceled)
	if g := mustGrant(t, s, at(ms), want()); g.Instance.ID != "a2" {
		t.Errorf("sent to %s in its slow moment", g.Instance.ID)
	}
	if got := u.currentWorkTime(at(ms+slownessHalfLife), s.typicalWorkTime); got != 200*ms {
		t.Errorf("%s when half of it counts", got)
	}
	if got := u.currentWorkTime(at(10*time.Second), s.typicalWorkTime); got > 101*ms {
		t.Errorf("%s long after", got)
	}
}

// TestSlownessIsNotLearnedAsWork: of an upstream that says how slow it was the time is learned
// that the runs take when it is as fast as usual.
func TestWorkTimeIsNormalizedBySlowness(t *testing.T) {
	s := newService("a1")
	for i := range 50 {
		slowness, took := 1.0, 100*ms
		if i%5 == 0 {
			slowness, took = 3, 300*ms
		}
		answerWithLoad(s, "a1", time.Duration(i+1)*time.Second, took, instances.Load{Running: 1, Slots: 2, Slowness: slowness})
	}
	u := s.upstreams["a1"]
	if u.ownWorkTime < 95*ms || u.ownWorkTime > 105*ms {
		t.Errorf("work %s at a slowness of 1", u.ownWorkTime)
	}
	if mean := u.unreportedRuns.MeanSlowness(); mean < 1.3 || mean > 1.5 {
		t.Errorf("mean slowness %g", mean)
	}
}

// TestToldRequestsCount: what an upstream says that it has stands before what others reported,
// for a moment.
func TestReportedLoadOverridesPeerReports(t *testing.T) {
	s := newService("a1")
	s.ApplyReport(start, ClusterReport{Gateways: 3, InFlight: map[string]float64{"a1": 1}})
	u := s.upstreams["a1"]
	g := mustGrant(t, s, start, want())
	s.ApplyLoad(start, g, instances.Load{Running: 2, Waiting: 5, Slots: 2})
	if got := u.totalInFlight(start); got != 7 {
		t.Errorf("%g in flight, it said 7", got)
	}
	if got := u.totalInFlight(at(20 * selfReportHalfLife)); got > 3 {
		t.Errorf("%g in flight long after", got)
	}
}

// TestUpstreamsThatSayNothing are estimated as before.
func TestUpstreamWithoutReportedLoad(t *testing.T) {
	s := newService("a1")
	learn(s, "a1", 100*ms)
	u := s.upstreams["a1"]
	if got := u.currentWorkTime(at(time.Second), s.typicalWorkTime); got != 100*ms || u.unreportedRuns.MeanSlowness() != 1 {
		t.Errorf("work %s, runs %v", got, u.unreportedRuns)
	}
}
