package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// says lets an upstream answer one request that began at the time before now, and say its load.
func says(s *Service, id string, now, took time.Duration, load instances.Load) {
	g := Grant{Instance: instances.Instance{ID: id}, Began: at(now - took)}
	s.Told(at(now), g, load)
	s.Done(at(now), g, Answered)
}

// TestSlowMomentIsAvoided and passes: what an upstream says counts for less as it ages.
func TestSlowMomentIsAvoided(t *testing.T) {
	s := newService("a1", "a2")
	s.ReportAll(start, News{Gateways: 1, Work: map[string]worktime.Estimate{
		"a1": {Work: 100 * ms, Slowness: 1.4}, "a2": {Work: 130 * ms, Slowness: 1.4},
	}})
	if g := mustGrant(t, s, start, newWant()); g.Instance.ID != "a1" {
		t.Fatalf("sent to %s, which is slower in the mean", g.Instance.ID)
	}
	u := s.upstreams["a1"]
	s.Told(at(ms), Grant{Instance: u.Instance}, instances.Load{Running: 1, Slots: 2, Slowness: 4.2})
	if got := u.workTime(at(ms), s.typical); got != 300*ms {
		t.Errorf("%s in a slow moment", got)
	}
	s.Done(at(ms), Grant{Instance: u.Instance, Began: start}, Left)
	if g := mustGrant(t, s, at(ms), newWant()); g.Instance.ID != "a2" {
		t.Errorf("sent to %s in its slow moment", g.Instance.ID)
	}
	if got := u.workTime(at(ms+slownessHalf), s.typical); got != 200*ms {
		t.Errorf("%s when half of it counts", got)
	}
	if got := u.workTime(at(10*time.Second), s.typical); got > 101*ms {
		t.Errorf("%s long after", got)
	}
}

// TestSlownessIsNotLearnedAsWork: of an upstream that says how slow it was the time is learned
// that the runs take when it is as fast as usual.
func TestSlownessIsNotLearnedAsWork(t *testing.T) {
	s := newService("a1")
	for i := range 50 {
		slowness, took := 1.0, 100*ms
		if i%5 == 0 {
			slowness, took = 3, 300*ms
		}
		says(s, "a1", time.Duration(i+1)*time.Second, took, instances.Load{Running: 1, Slots: 2, Slowness: slowness})
	}
	u := s.upstreams["a1"]
	if u.work < 95*ms || u.work > 105*ms {
		t.Errorf("work %s at a slowness of 1", u.work)
	}
	if mean := u.runs.MeanSlowness(); mean < 1.3 || mean > 1.5 {
		t.Errorf("mean slowness %g", mean)
	}
}

// TestToldRequestsCount: what an upstream says that it has stands before what others reported,
// for a moment.
func TestToldRequestsCount(t *testing.T) {
	s := newService("a1")
	s.ReportAll(start, News{Gateways: 3, InFlight: map[string]float64{"a1": 1}})
	u := s.upstreams["a1"]
	g := mustGrant(t, s, start, newWant())
	s.Told(start, g, instances.Load{Running: 2, Waiting: 5, Slots: 2})
	if got := u.inflight(start); got != 7 {
		t.Errorf("%g in flight, it said 7", got)
	}
	if got := u.inflight(at(20 * othersHalf)); got > 3 {
		t.Errorf("%g in flight long after", got)
	}
}

// TestUpstreamsThatSayNothing are estimated as before.
func TestUpstreamsThatSayNothing(t *testing.T) {
	s := newService("a1")
	learnWorkTime(s, "a1", 100*ms)
	u := s.upstreams["a1"]
	if got := u.workTime(at(time.Second), s.typical); got != 100*ms || u.runs.MeanSlowness() != 1 {
		t.Errorf("work %s, runs %v", got, u.runs)
	}
}
