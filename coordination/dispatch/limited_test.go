package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/state/instances"
)

// limitedService returns the service of one of three gateways, with an upstream for each ID and
// these limits. demand is the total demand for each upstream, and own this gateway's part of it,
// in requests a second.
func limitedService(limits map[string]float64, demand, own float64, ids ...string) *Service {
	s := newService(ids...)
	s.typicalWorkTime = 10 * ms
	report := ClusterReport{Gateways: 3, Limits: make(map[string]Limit)}
	for id, perSecond := range limits {
		report.Limits[id] = Limit{PerSecond: perSecond, OthersDemand: demand - own}
	}
	s.ApplyReport(start, report)
	for _, l := range s.ordered {
		s.stateOf(start, l)
	}
	s.LimitedDemand(start.Add(-time.Second))
	for _, l := range s.ordered {
		for range int(own) {
			s.stateOf(start, l).demandMeter.Add()
		}
	}
	s.LimitedDemand(start)
	return s
}

// offerMany offers n requests in sequence, each after the response to the previous one. It counts
// them by upstream and by refusal.
func offerMany(s *Service, n int, owner string) (sent map[string]int, refused map[Refusal]int) {
	sent, refused = make(map[string]int), make(map[Refusal]int)
	for i := range n {
		now := at(time.Minute + time.Duration(i)*20*ms)
		req := &Request{Owner: owner, Objective: 300 * ms, Deadline: now.Add(time.Second), QueueUntil: now.Add(60 * ms), OnDecision: func(Decision) {}}
		g, r, decided := offer(s, now, req)
		switch {
		case !decided:
			s.Withdraw(req)
			refused[0]++
		case r != 0:
			refused[r]++
		default:
			sent[g.Instance.ID]++
			s.Done(now.Add(10*ms), g, Answered)
		}
	}
	return sent, refused
}

// TestLimitedOwnerRefusesAtOnce checks an owner whose limit is a quarter of the demand: that
// fraction is granted, and the rest is refused without waiting.
func TestLimitedOwnerRefusesAtOnce(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10}, 40, 10, "a1", "a2")
	sent, refused := offerMany(s, 2000, "a1")
	if n := sent["a1"]; n < 380 || n > 520 {
		t.Errorf("%d of 2000 granted, want about a quarter", n)
	}
	if refused[Limited]+sent["a1"] != 2000 {
		t.Errorf("refused: %v", refused)
	}
	if sent, _ := offerMany(s, 100, "a2"); sent["a2"] != 100 {
		t.Errorf("%d of 100 granted for an owner without a limit", sent["a2"])
	}
}

// TestLimitedOwnerGetsItsLimit checks that an owner gets its limit even out of few requests, and
// that the number granted does not vary randomly.
func TestLimitedOwnerGetsItsLimit(t *testing.T) {
	const perSecond, demand, batch = 10.0, 40.0, 20
	s := limitedService(map[string]float64{"a1": perSecond}, demand, 10, "a1")
	granted := 0
	for i := range 50 {
		sent, refused := offerMany(s, batch, "a1")
		granted += sent["a1"]
		if refused[Limited]+sent["a1"] != batch {
			t.Fatalf("refused: %v", refused)
		}
		due := quota.TargetUtilization * perSecond / demand * batch * float64(i+1)
		if deviation := due - float64(granted); deviation < -2 || deviation > 2 {
			t.Errorf("%d of %d granted, want %.1f", granted, batch*(i+1), due)
		}
	}
}

// TestExcessGoesToUnlimitedUpstreams checks that requests that any upstream can serve go to others
// when one is limited, and that none is refused.
func TestExcessGoesToUnlimitedUpstreams(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10}, 100, 40, "a1", "a2")
	sent, refused := offerMany(s, 2000, "")
	if len(refused) > 0 || sent["a1"] == 0 || sent["a1"] > 300 {
		t.Errorf("sent %v, refused %v", sent, refused)
	}
}

// TestExcessIsRefusedWhenAllAreLimited checks that the excess is refused at once when all
// upstreams are limited.
func TestExcessIsRefusedWhenAllAreLimited(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10, "a2": 10}, 100, 40, "a1", "a2")
	sent, refused := offerMany(s, 2000, "")
	if n := sent["a1"] + sent["a2"]; n < 100 || n > 700 || refused[Limited] != 2000-n {
		t.Errorf("sent %v, refused %v", sent, refused)
	}
}

// TestWaitingRequestsAreSampledOnce checks that a limit that begins while requests wait is applied
// once to each. If it were applied at every tick, all of them would pass in the end.
func TestWaitingRequestsAreSampledOnce(t *testing.T) {
	s := limitedService(nil, 0, 40, "a1")
	granted, refused := 0, 0
	onDecision := func(d Decision) {
		if d.Granted() {
			granted++
		} else if d.Refusal == Limited {
			refused++
		}
	}
	var grants []Grant
	for range 30 {
		req := &Request{Owner: "a1", Objective: time.Second, Deadline: at(time.Minute), QueueUntil: at(time.Minute), OnDecision: onDecision}
		if g, _, decided := offer(s, start, req); decided {
			grants = append(grants, g)
		}
	}
	waiting := s.Waiting()
	if waiting < 10 {
		t.Fatalf("%d waiting, want at least 10", waiting)
	}
	s.SetLimits(start, map[string]Limit{"a1": {PerSecond: 1, OthersDemand: 60}})
	for i := range 50 {
		s.Tick(at(time.Duration(i) * 20 * ms))
	}
	for _, g := range grants {
		s.Done(at(time.Second), g, Answered)
	}
	if refused < waiting*8/10 || s.Waiting() > waiting/5 {
		t.Errorf("%d of %d refused, %d granted, %d waiting", refused, waiting, granted, s.Waiting())
	}
}

// TestWithdrawnLimitLetsAllThrough checks that an upstream whose limit has ended gets all requests
// again.
func TestWithdrawnLimitLetsAllThrough(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 1}, 100, 40, "a1")
	s.ApplyReport(at(time.Second), ClusterReport{Gateways: 3})
	if sent, _ := offerMany(s, 100, "a1"); sent["a1"] != 100 {
		t.Errorf("%d of 100 granted", sent["a1"])
	}
}

// TestUnknownDemandIsAssumedEqual checks that a gateway that does not know the demand of the
// others uses its part of the limit and not all of it.
func TestUnknownDemandIsAssumedEqual(t *testing.T) {
	s := limitedService(nil, 0, 40, "a1")
	s.SetLimits(start, map[string]Limit{"a1": {PerSecond: 30, OthersDemand: -1}})
	if n := s.upstream(start, "a1").totalDemand(at(time.Hour)); n < 100 || n > 140 {
		t.Errorf("total demand %.0f of three gateways, want about three times this one's 40", n)
	}
}

// TestGatewaysKeepLimitTogether checks that several gateways that exchange reports keep to an
// owner's limit together and use most of it.
func TestGatewaysKeepLimitTogether(t *testing.T) {
	const (
		gateways, perSecond = 11, 10.0
		report              = 100 * ms
		length              = 40 * time.Second
	)
	rng := rand.New(rand.NewPCG(3, 3))
	var services []*Service
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetUpstreams(start, []*instances.Instance{{ID: "u", Domain: "a", Slots: 6}})
		s.ApplyReport(start, ClusterReport{Gateways: gateways})
		services = append(services, s)
	}
	reported := make([]float64, gateways)
	var arrivals []time.Duration
	for now := time.Duration(0); now < length; now += ms {
		for i, s := range services {
			if now%report == 0 {
				others := -reported[i]
				for _, n := range reported {
					others += n
				}
				s.ApplyReport(at(now), ClusterReport{Gateways: gateways, Limits: map[string]Limit{"u": {PerSecond: perSecond, OthersDemand: others}}})
				reported[i] = s.LimitedDemand(at(now))["u"]
			}
			if rng.Float64() >= 3*perSecond*ms.Seconds()/gateways {
				continue
			}
			req := &Request{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), QueueUntil: at(now), OnDecision: func(Decision) {}}
			if g, r, decided := offer(s, at(now), req); decided && r == 0 {
				arrivals = append(arrivals, now)
				s.Done(at(now), g, Answered)
			}
		}
	}
	first := 0
	for last, now := range arrivals {
		for now-arrivals[first] >= 4*time.Second {
			first++
		}
		if got := last - first + 1; now > 3*time.Second && float64(got) > 1.5*4*perSecond+5 {
			t.Fatalf("%d requests in the 4 s before %s", got, now)
		}
	}
	if rate := float64(len(arrivals)) / length.Seconds(); rate < 0.8*perSecond {
		t.Errorf("%.1f/s granted, the limit is %.0f/s", rate, perSecond)
	}
}
