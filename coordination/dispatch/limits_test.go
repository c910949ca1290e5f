package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/state/instances"
)

// limitedService returns a service of one gateway of several, whose upstreams of the IDs name a limit
// while so many requests a second are wanted of each, and so many are asked for here.
func limitedService(limits map[string]float64, wanted, here float64, ids ...string) *Service {
	s := newService(ids...)
	s.typical = 10 * ms
	news := News{Gateways: 3, Limits: make(map[string]Limit)}
	for id, perSecond := range limits {
		news.Limits[id] = Limit{PerSecond: perSecond, OthersDemand: wanted - here}
	}
	s.ReportAll(start, news)
	s.LimitedDemand(start.Add(-time.Second))
	for _, u := range s.order {
		for range int(here) {
			u.wanted.Add()
		}
	}
	s.LimitedDemand(start)
	return s
}

// offerMany offers requests one after the other, each when the former has been answered, and
// counts where they went and why they were refused.
func offerMany(s *Service, n int, owner string) (went map[string]int, refused map[Refusal]int) {
	went, refused = make(map[string]int), make(map[Refusal]int)
	for i := range n {
		now := at(time.Minute + time.Duration(i)*20*ms)
		w := &Want{Owner: owner, Objective: 300 * ms, Deadline: now.Add(time.Second), Until: now.Add(60 * ms), Verdict: func(Grant, Refusal) {}}
		g, r, decided := s.Offer(now, w)
		switch {
		case !decided:
			s.Withdraw(w)
			refused[0]++
		case r != 0:
			refused[r]++
		default:
			went[g.Instance.ID]++
			s.Done(now.Add(10*ms), g, Answered)
		}
	}
	return went, refused
}

// TestLimitedOwnerRefusesAtOnce: requests for the keys of an owner that takes a quarter of what
// is asked for are let through by that part, and the rest is refused without a wait.
func TestLimitedOwnerRefusesAtOnce(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10}, 40, 10, "a1", "a2")
	went, refused := offerMany(s, 2000, "a1")
	if n := went["a1"]; n < 380 || n > 520 {
		t.Errorf("%d of 2000 let through, the limit is a quarter", n)
	}
	if refused[Limited]+went["a1"] != 2000 {
		t.Errorf("refused: %v", refused)
	}
	if went, _ := offerMany(s, 100, "a2"); went["a2"] != 100 {
		t.Errorf("%d of 100 let through to an owner that names no limit", went["a2"])
	}
}

// TestLimitedOwnerGetsItsLimit: of few requests too, callers get as many through as the owner
// takes, and not by luck fewer or more.
func TestLimitedOwnerGetsItsLimit(t *testing.T) {
	const perSecond, wanted, batch = 10.0, 40.0, 20
	s := limitedService(map[string]float64{"a1": perSecond}, wanted, 10, "a1")
	let := 0
	for i := range 50 {
		went, refused := offerMany(s, batch, "a1")
		let += went["a1"]
		if refused[Limited]+went["a1"] != batch {
			t.Fatalf("refused: %v", refused)
		}
		due := quota.TargetUtilization * perSecond / wanted * batch * float64(i+1)
		if stray := due - float64(let); stray < -2 || stray > 2 {
			t.Errorf("%d of %d let through, %.1f due", let, batch*(i+1), due)
		}
	}
}

// TestExcessGoesToUnlimitedUpstreams: what any may run goes to the others, and nothing is refused.
func TestExcessGoesToUnlimitedUpstreams(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10}, 100, 40, "a1", "a2")
	went, refused := offerMany(s, 2000, "")
	if len(refused) > 0 || went["a1"] == 0 || went["a1"] > 300 {
		t.Errorf("went %v, refused %v", went, refused)
	}
}

// TestExcessIsRefusedWhenAllAreLimited: where all name a limit the rest is refused at once.
func TestExcessIsRefusedWhenAllAreLimited(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 10, "a2": 10}, 100, 40, "a1", "a2")
	went, refused := offerMany(s, 2000, "")
	if n := went["a1"] + went["a2"]; n < 100 || n > 700 || refused[Limited] != 2000-n {
		t.Errorf("went %v, refused %v", went, refused)
	}
}

// TestWaitingRequestsAreSampledOnce: by a limit that is named while they wait. Judged at each look
// they would all get through.
func TestWaitingRequestsAreSampledOnce(t *testing.T) {
	s := limitedService(nil, 0, 40, "a1")
	passed, refused := 0, 0
	verdict := func(_ Grant, r Refusal) {
		if r == 0 {
			passed++
		} else if r == Limited {
			refused++
		}
	}
	var grants []Grant
	for range 30 {
		w := &Want{Owner: "a1", Objective: time.Second, Deadline: at(time.Minute), Until: at(time.Minute), Verdict: verdict}
		if g, _, decided := s.Offer(start, w); decided {
			grants = append(grants, g)
		}
	}
	waiting := s.Waiting()
	if waiting < 10 {
		t.Fatalf("%d wait", waiting)
	}
	s.SetLimits(start, map[string]Limit{"a1": {PerSecond: 1, OthersDemand: 60}})
	for i := range 50 {
		s.Tick(at(time.Duration(i) * 20 * ms))
	}
	for _, g := range grants {
		s.Done(at(time.Second), g, Answered)
	}
	if refused < waiting*8/10 || s.Waiting() > waiting/5 {
		t.Errorf("%d of %d refused, %d passed, %d wait", refused, waiting, passed, s.Waiting())
	}
}

// TestWithdrawnLimitLetsAllThrough: when an upstream names none any more it gets all again.
func TestWithdrawnLimitLetsAllThrough(t *testing.T) {
	s := limitedService(map[string]float64{"a1": 1}, 100, 40, "a1")
	s.ReportAll(at(time.Second), News{Gateways: 3})
	if went, _ := offerMany(s, 100, "a1"); went["a1"] != 100 {
		t.Errorf("%d of 100 let through", went["a1"])
	}
}

// TestUnknownDemandIsAssumedEqual: before a gateway has heard what the others are asked for, it takes
// its part of the limit and not the whole.
func TestUnknownDemandIsAssumedEqual(t *testing.T) {
	s := limitedService(nil, 0, 40, "a1")
	s.SetLimits(start, map[string]Limit{"a1": {PerSecond: 30, OthersDemand: -1}})
	if n := s.upstreams["a1"].totalDemand(at(time.Hour)); n < 100 || n > 140 {
		t.Errorf("%.0f wanted by three gateways, 40 by this one", n)
	}
}

// TestGatewaysKeepLimitTogether: several gateways that hear of each other by reports keep within
// the limit of one owner together, and let through most of it.
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
		s.ReportAll(start, News{Gateways: gateways})
		services = append(services, s)
	}
	told := make([]float64, gateways)
	var arrivals []time.Duration
	for now := time.Duration(0); now < length; now += ms {
		for i, s := range services {
			if now%report == 0 {
				others := -told[i]
				for _, n := range told {
					others += n
				}
				s.ReportAll(at(now), News{Gateways: gateways, Limits: map[string]Limit{"u": {PerSecond: perSecond, OthersDemand: others}}})
				told[i] = s.LimitedDemand(at(now))["u"]
			}
			if rng.Float64() >= 3*perSecond*ms.Seconds()/gateways {
				continue
			}
			w := &Want{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), Until: at(now), Verdict: func(Grant, Refusal) {}}
			if g, r, decided := s.Offer(at(now), w); decided && r == 0 {
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
			t.Fatalf("%d in 4 s until %s", got, now)
		}
	}
	if rate := float64(len(arrivals)) / length.Seconds(); rate < 0.8*perSecond {
		t.Errorf("%.1f a second let through, the limit is %.0f", rate, perSecond)
	}
}
