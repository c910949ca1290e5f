package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// answerWithLoad lets an upstream answer, at now, a request that took the given time, and report
// its load.
func answerWithLoad(s *Service, id string, now, took time.Duration, load instances.Load) {
	g := Grant{Instance: instances.Instance{ID: id}, GrantedAt: at(now - took)}
	s.ApplyLoad(at(now), g, load)
	s.Done(at(now), g, Answered)
}

// TestReportedSlownessDecays: an upstream is avoided while it reports a high slowness, and the
// report loses weight as it ages.
func TestReportedSlownessDecays(t *testing.T) {
	s := newService("a1", "a2")
	s.ApplyReport(start, ClusterReport{Gateways: 1, WorkTimes: map[string]worktime.Estimate{
		"a1": {Work: 100 * ms, Slowness: 1.4}, "a2": {Work: 130 * ms, Slowness: 1.4},
	}})
	if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "a1" {
		t.Fatalf("sent to %s, which has the longer mean work time", g.Instance.ID)
	}
	u := s.upstream(start, "a1")
	s.ApplyLoad(at(ms), Grant{Instance: u.Instance}, instances.Load{Running: 1, Slots: 2, Slowness: 4.2})
	if got := u.currentWorkTime(at(ms), s.typicalWorkTime); got != 300*ms {
		t.Errorf("work time %s in a slow period", got)
	}
	s.Done(at(ms), Grant{Instance: u.Instance, GrantedAt: start}, Canceled)
	if g := mustGrant(t, s, at(ms), newRequest()); g.Instance.ID != "a2" {
		t.Errorf("sent to %s in its slow period", g.Instance.ID)
	}
	if got := u.currentWorkTime(at(ms+slownessHalfLife), s.typicalWorkTime); got != 200*ms {
		t.Errorf("work time %s when the reported slowness counts half", got)
	}
	if got := u.currentWorkTime(at(10*time.Second), s.typicalWorkTime); got > 101*ms {
		t.Errorf("work time %s long after the slow period", got)
	}
}

// TestWorkTimeIsNormalizedBySlowness: for an upstream that reports its slowness, the measured
// work time is the one at a slowness of 1.
func TestWorkTimeIsNormalizedBySlowness(t *testing.T) {
	s := newService("a1")
	for i := range 50 {
		slowness, took := 1.0, 100*ms
		if i%5 == 0 {
			slowness, took = 3, 300*ms
		}
		answerWithLoad(s, "a1", time.Duration(i+1)*time.Second, took, instances.Load{Running: 1, Slots: 2, Slowness: slowness})
	}
	u := s.upstream(start, "a1")
	if u.ownWorkTime < 95*ms || u.ownWorkTime > 105*ms {
		t.Errorf("work time %s at a slowness of 1", u.ownWorkTime)
	}
	if mean := u.unreportedRuns.MeanSlowness(); mean < 1.3 || mean > 1.5 {
		t.Errorf("mean slowness %g", mean)
	}
}

// TestReportedLoadOverridesPeerReports: for a moment, the number of requests that an upstream
// reports takes precedence over other gateways' reports.
func TestReportedLoadOverridesPeerReports(t *testing.T) {
	s := newService("a1")
	s.ApplyReport(start, ClusterReport{Gateways: 3, InFlight: map[string]float64{"a1": 1}})
	u := s.upstream(start, "a1")
	g := mustGrant(t, s, start, newRequest())
	s.ApplyLoad(start, g, instances.Load{Running: 2, Waiting: 5, Slots: 2})
	if got := u.totalInFlight(start); got != 7 {
		t.Errorf("%g in flight, but the upstream reported 7", got)
	}
	if got := u.totalInFlight(at(20 * selfReportHalfLife)); got > 3 {
		t.Errorf("%g in flight long after the report", got)
	}
}

// TestUpstreamWithoutReportedLoad: an upstream that reports no load is estimated from
// measurements alone.
func TestUpstreamWithoutReportedLoad(t *testing.T) {
	s := newService("a1")
	learnWorkTime(s, "a1", 100*ms)
	u := s.upstream(start, "a1")
	if got := u.currentWorkTime(at(time.Second), s.typicalWorkTime); got != 100*ms || u.unreportedRuns.MeanSlowness() != 1 {
		t.Errorf("work time %s, runs %v", got, u.unreportedRuns)
	}
}
