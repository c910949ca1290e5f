package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// many returns the services of several gateways that share one upstream of six slots,
// all asked alike.
func many(gateways int, work time.Duration) []*Service {
	var out []*Service
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetUpstreams(start, []*instances.Instance{{ID: "u", Domain: "a", Slots: 6}})
		s.typical = work
		s.upstreams["u"].work = work
		s.ReportAll(start, News{Gateways: gateways})
		out = append(out, s)
	}
	return out
}

// TestManySendersShareOneOwner: many gateways that want more of an owner than it can run,
// all at once and without asking each other, do not fill its queue between two reports.
// (With reports alone up to 40 requests met 30 places: 148 of a calm day's answers were
// timeouts of requests that the owner had no place for and never answered.)
func TestManySendersShareOneOwner(t *testing.T) {
	const (
		gateways = 12
		work     = 100 * time.Millisecond
		places   = 30
		ended    = 15
	)
	services := many(gateways, work)
	inflight := -ended
	for now := time.Duration(0); now < 250*ms; now += ms {
		for _, s := range services {
			w := &Want{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), Until: at(now), Verdict: func(Grant, Refusal) {}}
			if _, r, decided := s.Offer(at(now), w); decided && r == 0 {
				inflight++
			}
		}
	}
	if inflight > places {
		t.Errorf("%d requests sent to an owner with %d places", inflight, places)
	}
	if inflight < 6 {
		t.Errorf("%d requests sent to an owner with 6 slots", inflight)
	}
}

// TestSharesAddUpToTheRate: while an owner is overloaded, all gateways together send
// what it ends, and no more than it has places for. Their reports are means over a
// quarter of a second and come in turn.
func TestSharesAddUpToTheRate(t *testing.T) {
	const (
		gateways = 12
		work     = 100 * time.Millisecond
		span     = 20 * time.Second
		report   = 250 * time.Millisecond
	)
	services := many(gateways, work)
	rng := rand.New(rand.NewPCG(7, 7))
	var grants []Grant
	var of []*Service
	ended, sent, most := 0.0, 0, 0
	area, told := make([]float64, gateways), make([]float64, gateways)
	for now := time.Duration(0); now < span; now += ms {
		for i, s := range services {
			area[i] += float64(s.upstreams["u"].mine)
			if rng.IntN(20) > 0 {
				continue
			}
			// 600 requests a second want what ends 60.
			w := &Want{Owner: "u", Objective: 400 * ms, Deadline: at(now + time.Second), Until: at(now), Verdict: func(Grant, Refusal) {}}
			if g, r, decided := s.Offer(at(now), w); decided && r == 0 {
				grants, of = append(grants, g), append(of, s)
				sent++
			}
		}
		most = max(most, len(grants))
		for ended += 0.06; ended >= 1; ended-- {
			if len(grants) > 0 {
				of[0].Done(at(now), grants[0], Answered)
				grants, of = grants[1:], of[1:]
			}
		}
		i := int(now/ms) * gateways / int(report/ms) % gateways
		if int(now/ms)*gateways%int(report/ms) >= gateways {
			continue
		}
		told[i], area[i] = area[i]/float64(report/ms), 0
		others := -told[i]
		for _, n := range told {
			others += n
		}
		services[i].ReportAll(at(now), News{InFlight: map[string]float64{"u": others}, Gateways: gateways})
	}
	if most > 30 {
		t.Errorf("%d at an owner with 30 places", most)
	}
	if rate, want := float64(sent)/span.Seconds(), 6/work.Seconds(); rate < 0.95*want || rate > 1.1*want {
		t.Errorf("%.1f requests a second sent to an owner that ends %.1f", rate, want)
	}
}

// TestPartFollowsDemand: a gateway with more of the requests has more of the room, and
// one without any keeps a part.
func TestPartFollowsDemand(t *testing.T) {
	s := many(4, 100*ms)[0]
	for i := range 8 {
		s.asked = 100
		s.Demand(at(time.Duration(i) * time.Second))
	}
	s.ReportAll(at(time.Minute), News{Gateways: 4, Demand: 100})
	if s.part < 0.45 || s.part > 0.55 {
		t.Errorf("part %.2f with half of the requests", s.part)
	}
	s.demand = 0
	s.ReportAll(at(time.Minute), News{Gateways: 4, Demand: 1000})
	if s.part != leastPart/4 {
		t.Errorf("part %.3f without requests", s.part)
	}
}

// TestNewProcessCountsAsOneOfAll: right after a start of all only some have reported what
// they are asked for; that must not make this one's part large.
func TestNewProcessCountsAsOneOfAll(t *testing.T) {
	s := many(12, 100*ms)[0]
	s.Demand(start)
	s.asked = 100
	s.Demand(at(time.Second))
	s.ReportAll(at(time.Second), News{Gateways: 12, Demand: 10})
	if s.part > 1.0/12 {
		t.Errorf("part %.2f after the first report", s.part)
	}
}

// TestHungRequestsTakeNoRoom: a request that the upstream never answers, while it answers
// those that were sent later, does not count as in flight until its timeout.
func TestHungRequestsTakeNoRoom(t *testing.T) {
	s := serviceWithWorkTime(20 * ms)
	u := s.upstreams["a1"]
	hung := mustGrant(t, s, start, newWant())
	for i := range hungAfter + 1 {
		now := at(time.Duration(i+1) * 100 * ms)
		w := newWant()
		w.Deadline, w.Until = now.Add(time.Second), now
		s.Done(now.Add(20*ms), mustGrant(t, s, now, w), Answered)
	}
	if n := u.inflight(at(time.Second)); n != 0 {
		t.Errorf("%v in flight, the only one is forgotten", n)
	}
	s.Done(at(2*time.Second), hung, Silent)
	if u.mine != 0 || u.hung != 0 {
		t.Errorf("%d in flight, %d hung after the end", u.mine, u.hung)
	}
}

// TestLongRunIsNotHung: one that runs long is passed by some, but not for twice the time
// that it was expected to take.
func TestLongRunIsNotHung(t *testing.T) {
	s := serviceWithWorkTime(100 * ms)
	mustGrant(t, s, start, newWant())
	for i := range 2 * hungAfter {
		now := at(time.Duration(i) * 10 * ms)
		w := newWant()
		w.Deadline, w.Until = now.Add(time.Second), now
		s.Done(now.Add(10*ms), mustGrant(t, s, now, w), Answered)
	}
	if s.upstreams["a1"].hung != 0 {
		t.Error("a run of normal length counts as hung")
	}
}

// TestColdKeysLeaveRoom: requests for keys that came without a handover run several times
// as long. They get through while the owner is half idle, never wait, and teach nothing
// about its other keys.
func TestColdKeysLeaveRoom(t *testing.T) {
	s := serviceWithWorkTime(10 * ms)
	w := newWant()
	w.Owner, w.Cold = "a1", true
	g := mustGrant(t, s, start, w)
	if !g.Cold || g.Expected <= 10*ms {
		t.Errorf("expected %s, cold %v", g.Expected, g.Cold)
	}
	if _, r, decided := s.Offer(start, w); !decided || r != ColdKey {
		t.Errorf("a second one at an owner of two slots: %v, decided %v", r, decided)
	}
	warm := newWant()
	warm.Owner = "a1"
	mustGrant(t, s, start, warm)
	s.Done(at(400*ms), g, Answered)
	if work := s.upstreams["a1"].work; work != 10*ms {
		t.Errorf("work %s learned from a cold key", work)
	}
}

// TestNoWaitWithoutHope: a request does not wait behind others when its answer would
// likely be late.
func TestNoWaitWithoutHope(t *testing.T) {
	s := many(2, 100*ms)[0]
	refusedAfter := 0
	for ; refusedAfter < 100; refusedAfter++ {
		w := &Want{Owner: "u", Objective: 400 * ms, Deadline: at(2 * time.Second), Until: at(time.Second), Goal: at(400 * ms)}
		w.Verdict = func(Grant, Refusal) {}
		if _, r, decided := s.Offer(start, w); decided && r != 0 {
			break
		}
	}
	// Half of the owner's 60 a second are this gateway's: in the 400 ms some twelve end.
	if s.Waiting() == 0 || s.Waiting() > 8 {
		t.Errorf("%d wait where an answer within 400 ms is likely for few", s.Waiting())
	}
}
