package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// sharedServices returns the services of several gateways with equal demand that share one
// upstream of six slots.
func sharedServices(gateways int, workTime time.Duration) []*Service {
	var out []*Service
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetUpstreams(start, []*instances.Instance{{ID: "u", Domain: "a", Slots: 6}})
		s.typicalWorkTime = workTime
		s.upstream(start, "u").ownWorkTime = workTime
		s.ApplyReport(start, ClusterReport{Gateways: gateways})
		out = append(out, s)
	}
	return out
}

// TestGatewaysShareOwnerWithoutOverfillingItsQueue guards against many gateways overfilling an
// owner's queue between two reports when together they want more than it can run. With reports
// alone, up to 40 requests reached an owner with 30 places, and it never answered those for
// which it had no place: 148 answers of a calm day were timeouts.
func TestGatewaysShareOwnerWithoutOverfillingItsQueue(t *testing.T) {
	const (
		gateways  = 12
		workTime  = 100 * time.Millisecond
		capacity  = 30
		completed = 15
	)
	services := sharedServices(gateways, workTime)
	inFlight := -completed
	for now := time.Duration(0); now < 250*ms; now += ms {
		for _, s := range services {
			req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Decision) {}}
			if _, r, decided := offer(s, at(now), req); decided && r == 0 {
				inFlight++
			}
		}
	}
	if inFlight > capacity {
		t.Errorf("sent %d requests to an owner with %d places", inFlight, capacity)
	}
	if inFlight < 6 {
		t.Errorf("sent only %d requests to an owner with 6 slots", inFlight)
	}
}

// TestSharesAddUpToOwnerThroughput: while an owner is overloaded, all gateways together send as
// much as it completes, and never more than it has places for. Their reports are means over a
// quarter of a second and arrive in turn.
func TestSharesAddUpToOwnerThroughput(t *testing.T) {
	const (
		gateways       = 12
		work           = 100 * time.Millisecond
		span           = 20 * time.Second
		reportInterval = 250 * time.Millisecond
	)
	services := sharedServices(gateways, work)
	rng := rand.New(rand.NewPCG(7, 7))
	var grants []Grant
	var senders []*Service
	completed, sent, maxInFlight := 0.0, 0, 0
	inFlightMillis, reported := make([]float64, gateways), make([]float64, gateways)
	for now := time.Duration(0); now < span; now += ms {
		for i, s := range services {
			inFlightMillis[i] += float64(s.upstream(start, "u").ownInFlight)
			if rng.IntN(20) > 0 {
				continue
			}
			// About 600 requests per second compete for an owner that completes 60.
			req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Decision) {}}
			if g, r, decided := offer(s, at(now), req); decided && r == 0 {
				grants, senders = append(grants, g), append(senders, s)
				sent++
			}
		}
		maxInFlight = max(maxInFlight, len(grants))
		for completed += 0.06; completed >= 1; completed-- {
			if len(grants) > 0 {
				senders[0].Done(at(now), grants[0], Answered)
				grants, senders = grants[1:], senders[1:]
			}
		}
		i := int(now/ms) * gateways / int(reportInterval/ms) % gateways
		if int(now/ms)*gateways%int(reportInterval/ms) >= gateways {
			continue
		}
		reported[i], inFlightMillis[i] = inFlightMillis[i]/float64(reportInterval/ms), 0
		others := -reported[i]
		for _, n := range reported {
			others += n
		}
		services[i].ApplyReport(at(now), ClusterReport{InFlight: map[string]float64{"u": others}, Gateways: gateways})
	}
	if maxInFlight > 30 {
		t.Errorf("%d requests in flight at an owner with 30 places", maxInFlight)
	}
	if rate, want := float64(sent)/span.Seconds(), 6/work.Seconds(); rate < 0.95*want || rate > 1.1*want {
		t.Errorf("sent %.1f requests/s to an owner that completes %.1f", rate, want)
	}
}

// TestCapacityFractionFollowsDemand: a gateway with more of the demand gets more of the
// capacity, and one without any demand keeps a fraction.
func TestCapacityFractionFollowsDemand(t *testing.T) {
	s := sharedServices(4, 100*ms)[0]
	for i := range 8 {
		s.offered = 100
		s.Demand(at(time.Duration(i) * time.Second))
	}
	s.ApplyReport(at(time.Minute), ClusterReport{Gateways: 4, Demand: Demand{Requests: 100}})
	if s.demandFraction < 0.45 || s.demandFraction > 0.55 {
		t.Errorf("fraction %.2f with half of the demand", s.demandFraction)
	}
	s.demand = Demand{}
	s.ApplyReport(at(time.Minute), ClusterReport{Gateways: 4, Demand: Demand{Requests: 1000}})
	if s.demandFraction != minRelativeFraction/4 {
		t.Errorf("fraction %.3f without demand", s.demandFraction)
	}
}

// TestCapacityFractionFollowsWork guards against shares by the number of requests: a gateway whose
// callers ask for the long route would get as much of an owner as one whose callers ask for the short
// one. Without the work of all, requests count.
func TestCapacityFractionFollowsWork(t *testing.T) {
	s := serviceWithRoutes(t)
	s.ApplyReport(learnedAt, ClusterReport{Gateways: 2, WorkTimes: map[string]worktime.Estimate{"a1": {Work: 100 * ms, Slowness: 1}}})
	for i := range 8 {
		for range 100 {
			s.offered++
			s.offeredWork += s.RouteFactor("long")
		}
		s.Demand(learnedAt.Add(time.Duration(i+1) * time.Second))
	}
	// 100 requests a second of 150 ms each, and of 50 ms each elsewhere.
	if work := s.demand.Work; work < 13 || work > 17 {
		t.Errorf("%.1f seconds of work a second, want about 15", work)
	}
	for _, c := range []struct{ work, want float64 }{{5, 0.75}, {0, 0.5}} {
		s.ApplyReport(learnedAt.Add(time.Minute), ClusterReport{Gateways: 2, Demand: Demand{Requests: 100, Work: c.work}})
		if s.demandFraction < c.want-0.05 || s.demandFraction > c.want+0.05 {
			t.Errorf("fraction %.2f with others' work %g, want %.2f", s.demandFraction, c.work, c.want)
		}
	}
	if sum := (Demand{Requests: 1, Work: 1}).Add(Demand{Requests: 1}).Add(Demand{Requests: 1, Work: 1}); sum != (Demand{Requests: 3}) {
		t.Errorf("sum %+v of gateways of which one does not know its work", sum)
	}
}

// TestEqualFractionBeforeDemandIsKnown: right after a simultaneous start only some gateways
// have reported their demand. That must not give this one a large fraction.
func TestEqualFractionBeforeDemandIsKnown(t *testing.T) {
	s := sharedServices(12, 100*ms)[0]
	s.Demand(start)
	s.offered = 100
	s.Demand(at(time.Second))
	s.ApplyReport(at(time.Second), ClusterReport{Gateways: 12, Demand: Demand{Requests: 10}})
	if s.demandFraction > 1.0/12 {
		t.Errorf("fraction %.2f after the first report", s.demandFraction)
	}
}

// TestHungRequestsAreNotCountedInFlight: a request that the upstream never answers, while it
// answers later ones, must not count as in flight until its timeout.
func TestHungRequestsAreNotCountedInFlight(t *testing.T) {
	s := serviceWithWorkTime(20 * ms)
	u := s.upstream(start, "a1")
	hung := mustGrant(t, s, start, newRequest())
	for i := range hungAfterOvertaken + 1 {
		now := at(time.Duration(i+1) * 100 * ms)
		req := newRequest()
		req.Deadline, req.QueueUntil = now.Add(time.Second), now
		s.Done(now.Add(20*ms), mustGrant(t, s, now, req), Answered)
	}
	if n := u.totalInFlight(at(time.Second)); n != 0 {
		t.Errorf("%v in flight, although the only one is hung", n)
	}
	s.Done(at(2*time.Second), hung, TimedOut)
	if u.ownInFlight != 0 || u.hung != 0 {
		t.Errorf("%d in flight and %d hung after the last request ended", u.ownInFlight, u.hung)
	}
}

// TestLongRunIsNotHung: a request that runs long is overtaken by some, but is not hung before
// it is overdue, at twice its expected delay.
func TestLongRunIsNotHung(t *testing.T) {
	s := serviceWithWorkTime(100 * ms)
	mustGrant(t, s, start, newRequest())
	for i := range 2 * hungAfterOvertaken {
		now := at(time.Duration(i) * 10 * ms)
		req := newRequest()
		req.Deadline, req.QueueUntil = now.Add(time.Second), now
		s.Done(now.Add(10*ms), mustGrant(t, s, now, req), Answered)
	}
	if s.upstream(start, "a1").hung != 0 {
		t.Error("a run of normal length counts as hung")
	}
}

// TestNoWaitWhenAnswerWouldBeLate: a request does not wait behind others when its response would
// probably be late.
func TestNoWaitWhenAnswerWouldBeLate(t *testing.T) {
	s := sharedServices(2, 100*ms)[0]
	accepted := 0
	for ; accepted < 100; accepted++ {
		req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(2 * time.Second), QueueUntil: at(time.Second), LateAt: at(400 * ms)}
		req.OnDecision = func(Decision) {}
		if _, r, decided := offer(s, start, req); decided && r != 0 {
			break
		}
	}
	// Half of the owner's 60 requests per second are this gateway's: twelve in 400 ms.
	if s.Waiting() == 0 || s.Waiting() > 8 {
		t.Errorf("%d requests wait, want 1 to 8 that can be answered within 400 ms", s.Waiting())
	}
}
