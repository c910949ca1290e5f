package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// many returns the services of several gateways that share one upstream of six slots,
// all asked alike.
func sharedServices(gateways int, workTime time.Duration) []*Service {
	var out []*Service
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetUpstreams(start, []*instances.Instance{{ID: "u", Domain: "a", Slots: 6}})
		s.typicalWorkTime = workTime
		s.upstreams["u"].ownWorkTime = workTime
		s.ApplyReport(start, ClusterReport{Gateways: gateways})
		out = append(out, s)
	}
	return out
}

// TestManySendersShareOneOwner: many gateways that want more of an owner than it can run,
// all at once and without asking each other, do not fill its queue between two reports.
// (With reports alone up to 40 requests met 30 places: 148 of a calm day's answers were
// timeouts of requests that the owner had no place for and never answered.)
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
			req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Grant, Refusal) {}}
			if _, r, decided := s.Offer(at(now), req); decided && r == 0 {
				inFlight++
			}
		}
	}
	if inFlight > capacity {
		t.Errorf("%d requests sent to an owner with %d places", inFlight, capacity)
	}
	if inFlight < 6 {
		t.Errorf("%d requests sent to an owner with 6 slots", inFlight)
	}
}

// TestSharesAddUpToTheRate: while an owner is overloaded, all gateways together send
// what it ends, and no more than it has places for. Their reports are means over a
// quarter of a second and come in turn.
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
			inFlightMillis[i] += float64(s.upstreams["u"].ownInFlight)
			if rng.IntN(20) > 0 {
				continue
			}
			// 600 requests a second want what ends 60.
			req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Grant, Refusal) {}}
			if g, r, decided := s.Offer(at(now), req); decided && r == 0 {
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
		t.Errorf("%d at an owner with 30 places", maxInFlight)
	}
	if rate, want := float64(sent)/span.Seconds(), 6/work.Seconds(); rate < 0.95*want || rate > 1.1*want {
		t.Errorf("%.1f requests a second sent to an owner that ends %.1f", rate, want)
	}
}

// TestPartFollowsDemand: a gateway with more of the requests has more of the room, and
// one without any keeps a part.
func TestCapacityFractionFollowsDemand(t *testing.T) {
	s := sharedServices(4, 100*ms)[0]
	for i := range 8 {
		s.offered = 100
		s.Demand(at(time.Duration(i) * time.Second))
	}
	s.ApplyReport(at(time.Minute), ClusterReport{Gateways: 4, Demand: 100})
	if s.demandFraction < 0.45 || s.demandFraction > 0.55 {
		t.Errorf("part %.2f with half of the requests", s.demandFraction)
	}
	s.demand = 0
	s.ApplyReport(at(time.Minute), ClusterReport{Gateways: 4, Demand: 1000})
	if s.demandFraction != minRelativeFraction/4 {
		t.Errorf("part %.3f without requests", s.demandFraction)
	}
}

// TestNewProcessCountsAsOneOfAll: right after a start of all only some have reported what
// they are asked for; that must not make this one's part large.
func TestEqualFractionBeforeDemandIsKnown(t *testing.T) {
	s := sharedServices(12, 100*ms)[0]
	s.Demand(start)
	s.offered = 100
	s.Demand(at(time.Second))
	s.ApplyReport(at(time.Second), ClusterReport{Gateways: 12, Demand: 10})
	if s.demandFraction > 1.0/12 {
		t.Errorf("part %.2f after the first report", s.demandFraction)
	}
}

// TestHungRequestsTakeNoRoom: a request that the upstream never answers, while it answers
// those that were sent later, does not count as in flight until its timeout.
func TestHungRequestsAreNotCountedInFlight(t *testing.T) {
	s := known(20 * ms)
	u := s.upstreams["a1"]
	hung := mustGrant(t, s, start, want())
	for i := range hungAfterOvertaken + 1 {
		now := at(time.Duration(i+1) * 100 * ms)
		req := want()
		req.Deadline, req.QueueUntil = now.Add(time.Second), now
		s.Done(now.Add(20*ms), mustGrant(t, s, now, req), Answered)
	}
	if n := u.totalInFlight(at(time.Second)); n != 0 {
		t.Errorf("%v in flight, the only one is forgotten", n)
	}
	s.Done(at(2*time.Second), hung, TimedOut)
	if u.ownInFlight != 0 || u.hung != 0 {
		t.Errorf("%d in flight, %d hung after the end", u.ownInFlight, u.hung)
	}
}

// TestLongRunIsNotHung: one that runs long is passed by some, but not for twice the time
// that it was expected to take.
func TestLongRunIsNotHung(t *testing.T) {
	s := known(100 * ms)
	mustGrant(t, s, start, want())
	for i := range 2 * hungAfterOvertaken {
		now := at(time.Duration(i) * 10 * ms)
		req := want()
		req.Deadline, req.QueueUntil = now.Add(time.Second), now
		s.Done(now.Add(10*ms), mustGrant(t, s, now, req), Answered)
	}
	if s.upstreams["a1"].hung != 0 {
		t.Error("a run of normal length counts as hung")
	}
}

// TestColdKeysLeaveRoom: requests for keys that came without a handover run several times
// as long. They get through while the owner is half idle, never wait, and teach nothing
// about its other keys.
func TestColdKeysAreAdmittedOnlyByIdleOwners(t *testing.T) {
	s := known(10 * ms)
	req := want()
	req.Owner, req.Cold = "a1", true
	g := mustGrant(t, s, start, req)
	if !g.Cold || g.ExpectedLatency <= 10*ms {
		t.Errorf("expected %s, cold %v", g.ExpectedLatency, g.Cold)
	}
	if _, r, decided := s.Offer(start, req); !decided || r != ColdKey {
		t.Errorf("a second one at an owner of two slots: %v, decided %v", r, decided)
	}
	warm := want()
	warm.Owner = "a1"
	mustGrant(t, s, start, warm)
	s.Done(at(400*ms), g, Answered)
	if work := s.upstreams["a1"].ownWorkTime; work != 10*ms {
		t.Errorf("work %s learned from a cold key", work)
	}
}

// TestNoWaitWithoutHope: a request does not wait behind others when its answer would
// likely be late.
func TestNoWaitWhenAnswerWouldBeLate(t *testing.T) {
	s := sharedServices(2, 100*ms)[0]
	accepted := 0
	for ; accepted < 100; accepted++ {
		req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(2 * time.Second), QueueUntil: at(time.Second), LateAt: at(400 * ms)}
		req.OnDecision = func(Grant, Refusal) {}
		if _, r, decided := s.Offer(start, req); decided && r != 0 {
			break
		}
	}
	// Half of the owner's 60 a second are this gateway's: in the 400 ms some twelve end.
	if s.Waiting() == 0 || s.Waiting() > 8 {
		t.Errorf("%d wait where an answer within 400 ms is likely for few", s.Waiting())
	}
}
