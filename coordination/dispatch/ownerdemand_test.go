package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// contendedOwner simulates one owner of 4 slots and 16 queue places behind many gateways, whose
// reports arrive every 250 ms, in turn, as means over that time.
type contendedOwner struct {
	rng      *rand.Rand
	services []*Service
	// inFlight and demand are the latest reports; their sums are kept up to date.
	inFlight, demand       []float64
	inFlightSum, demandSum float64
	running, queue         []*ownerRun
	// rejections are those that the gateways have not learned of.
	rejections []*ownerRun
	workTimes  *worktime.Estimator
	// noReports cuts all gateways off from each other's reports.
	noReports bool
	offered, arrived, rejected, refused, refusedFree, completed,
	maxFromOne int
	busy time.Duration
}

type ownerRun struct {
	service *Service
	grant   Grant
	end     time.Duration
}

const (
	ownerSlots, ownerQueue = 4, 16
	ownerWork              = 220 * ms
	ownerReports           = 250 * ms
)

func newContendedOwner(gateways int) *contendedOwner {
	o := &contendedOwner{workTimes: worktime.NewEstimator(), rng: rand.New(rand.NewPCG(5, uint64(gateways))), inFlight: make([]float64, gateways), demand: make([]float64, gateways)}
	for i := range gateways {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(9, uint64(i))))
		s.SetUpstreams(start, []*instances.Instance{{ID: "u", Domain: "a", Slots: ownerSlots}})
		s.ApplyReport(start, ClusterReport{Gateways: gateways, InFlight: map[string]float64{}})
		s.typicalWorkTime = ownerWork
		o.services = append(o.services, s)
	}
	return o
}

// play runs the simulation from one time to another at the given rate of requests a second.
func (o *contendedOwner) play(from, to time.Duration, rate float64) {
	n := len(o.services)
	for now := from; now < to; now += ms {
		o.finish(now)
		for i := int(now/ms) * n / int(ownerReports/ms); i < int(now/ms+1)*n/int(ownerReports/ms); i++ {
			o.report(now, i%n)
		}
		if o.rng.Float64() < rate*ms.Seconds() {
			o.arrive(now, o.services[o.rng.IntN(n)])
		}
		for i := int(now/ms) % 20; i < n; i += 20 {
			o.services[i].Tick(at(now))
		}
		o.busy += time.Duration(len(o.running)) * ms
	}
}

func (o *contendedOwner) arrive(now time.Duration, s *Service) {
	o.offered++
	req := &Request{Owner: "u", Objective: time.Second, Deadline: at(now + 2500*ms), QueueUntil: at(now + 600*ms), LateAt: at(now + time.Second)}
	decide := func(d Decision) {
		if d.Granted() {
			o.send(now, s, d.Grant)
			return
		}
		o.refused++
		if u := s.upstream(at(now), "u"); u.totalAtOwner(at(now))+1 <= ownerSlots {
			o.refusedFree++
		}
	}
	req.OnDecision = decide
	if d, decided := s.Offer(at(now), req); decided {
		decide(d)
	}
}

func (o *contendedOwner) send(now time.Duration, s *Service, g Grant) {
	o.arrived++
	o.maxFromOne = max(o.maxFromOne, s.upstream(at(now), "u").ownInFlight)
	r := &ownerRun{service: s, grant: g}
	switch {
	case len(o.running) < ownerSlots:
		o.run(now, r)
	case len(o.queue) < ownerQueue:
		o.queue = append(o.queue, r)
	default:
		o.rejected++
		o.rejections = append(o.rejections, r)
	}
}

func (o *contendedOwner) run(now time.Duration, r *ownerRun) {
	r.end = now + time.Duration((0.5+o.rng.ExpFloat64()/2)*float64(ownerWork))
	o.running = append(o.running, r)
}

func (o *contendedOwner) finish(now time.Duration) {
	rejections := o.rejections
	o.rejections = nil
	for _, r := range rejections {
		r.service.Done(at(now), r.grant, Overloaded)
	}
	running := o.running
	o.running = nil
	for _, r := range running {
		if r.end > now {
			o.running = append(o.running, r)
		}
	}
	for len(o.queue) > 0 && len(o.running) < ownerSlots {
		next := o.queue[0]
		o.queue = o.queue[1:]
		o.run(now, next)
	}
	for _, r := range running {
		if r.end <= now {
			o.completed++
			r.service.Done(at(now), r.grant, Answered)
		}
	}
}

func (o *contendedOwner) report(now time.Duration, i int) {
	s := o.services[i]
	inFlight, demand := 0.0, 0.0
	for _, l := range s.Loads(at(now)) {
		inFlight += l.Inflight
		o.workTimes.Add("u", l.Runs)
	}
	s.Demand(at(now))
	s.LimitedDemand(at(now))
	own, named := s.OwnerDemand(at(now))["u"]
	if named {
		demand = own
	}
	o.inFlightSum += inFlight - o.inFlight[i]
	o.demandSum += demand - o.demand[i]
	o.inFlight[i], o.demand[i] = inFlight, demand
	if o.noReports {
		return
	}
	r := ClusterReport{WorkTimes: map[string]worktime.Estimate{"u": o.workTimes.Estimate("u")}, Gateways: len(o.services), InFlight: map[string]float64{"u": max(o.inFlightSum-inFlight, 0)}}
	if o.demandSum > 0.01 {
		r.OwnerDemands = map[string]float64{"u": max(o.demandSum-demand, 0)}
	}
	s.ApplyReport(at(now), r)
}

// TestContendedOwnerIsFilledButNotOverrun: an owner that gets three times what it can run must be
// kept busy by any number of gateways and must reject few requests. Without the demand for the owner,
// each gateway filled it whenever a report showed room.
func TestContendedOwnerIsFilledButNotOverrun(t *testing.T) {
	for _, gateways := range []int{62, 300, 985} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			o := newContendedOwner(gateways)
			o.play(0, 3*time.Second, 54)
			o.arrived, o.rejected, o.offered, o.refusedFree, o.busy = 0, 0, 0, 0, 0
			o.play(3*time.Second, 123*time.Second, 54)
			rejected, free := float64(o.rejected)/float64(o.arrived), float64(o.refusedFree)/float64(o.offered)
			utilization := o.busy.Seconds() / (ownerSlots * 120)
			t.Logf("rejected %.4f of arrivals, refused with a free slot %.4f, utilization %.3f", rejected, free, utilization)
			if rejected > 0.05 || free > 0.002 || utilization < 0.92 {
				t.Errorf("rejected %.4f of arrivals, refused with a free slot %.4f, utilization %.3f", rejected, free, utilization)
			}
		})
	}
}

// TestPartitionedGatewaysKeepAnEvenShare: gateways that get no more reports must not go on at the last
// odds, which hold for one interval only. All together they keep within what the owner queues, and the
// owner goes on working.
func TestPartitionedGatewaysKeepAnEvenShare(t *testing.T) {
	for _, gateways := range []int{62, 300} {
		o := newContendedOwner(gateways)
		o.play(0, 3*time.Second, 54)
		o.noReports = true
		o.play(3*time.Second, 6*time.Second, 54)
		o.arrived, o.rejected, o.busy = 0, 0, 0
		o.play(6*time.Second, 16*time.Second, 54)
		for i, s := range o.services {
			u := s.upstream(at(16*time.Second), "u")
			u.hasCapacity(at(16*time.Second), ownerWork, &Request{Objective: time.Second, maxDelay: time.Second}, true)
			if u.share.byOdds {
				t.Fatalf("%d gateways: gateway %d admits by the odds of a report that is 13 s old", gateways, i)
			}
		}
		rejected, utilization := float64(o.rejected)/float64(max(o.arrived, 1)), o.busy.Seconds()/(ownerSlots*10)
		t.Logf("%d gateways: rejected %.4f of arrivals, utilization %.3f", gateways, rejected, utilization)
		if rejected > 0.05 || utilization < 0.7 {
			t.Errorf("%d gateways: rejected %.4f of arrivals, utilization %.3f", gateways, rejected, utilization)
		}
	}
}

// TestTwiceTheGateways: the odds must follow when the number of gateways doubles at the same demand.
func TestTwiceTheGateways(t *testing.T) {
	o := newContendedOwner(300)
	all := o.services
	o.services = all[:150]
	for _, s := range o.services {
		s.ApplyReport(start, ClusterReport{Gateways: 150})
	}
	o.play(0, 5*time.Second, 54)
	o.services = all
	o.arrived, o.rejected, o.busy = 0, 0, 0
	o.play(5*time.Second, 25*time.Second, 54)
	rejected, utilization := float64(o.rejected)/float64(o.arrived), o.busy.Seconds()/(ownerSlots*20)
	if rejected > 0.05 || utilization < 0.92 {
		t.Errorf("rejected %.4f of arrivals, utilization %.3f", rejected, utilization)
	}
}

// TestAdmissionsEndWithTheReport: requests admitted by odds and not sent must not add up: hundreds of
// gateways with one each would overrun an owner at once.
func TestAdmissionsEndWithTheReport(t *testing.T) {
	s := newFairShare(start)
	r := shareReport{rate: 20, slots: 4, fraction: 0.01, demand: 20, inFlight: 4, target: 8, interval: 250 * ms}
	s.applyReport(start, r)
	for range 3 {
		s.arrive(rand.New(rand.NewPCG(1, 2)))
	}
	if s.credit != 3 {
		t.Fatalf("credit %v after three arrivals at odds of 1", s.credit)
	}
	s.applyReport(at(250*ms), r)
	if s.credit != 0 {
		t.Errorf("credit %v after the next report", s.credit)
	}
}

// TestOnlyContendedOwnersAreReported: the demand for owners with free slots takes no bytes.
func TestOnlyContendedOwnersAreReported(t *testing.T) {
	s := sharedServices(300, 100*ms)[0]
	for i := range 8 {
		req := newRequest()
		req.Owner = "u"
		now := at(time.Duration(i) * 250 * ms)
		req.QueueUntil, req.Deadline = now, now.Add(time.Second)
		s.Offer(now, req)
		if d := s.OwnerDemand(now); len(d) != 0 {
			t.Fatalf("demand %v reported for an owner with free slots", d)
		}
	}
	now := at(2 * time.Second)
	s.ApplyReport(now, ClusterReport{Gateways: 300, InFlight: map[string]float64{"u": 40}})
	req := newRequest()
	req.Owner, req.QueueUntil, req.Deadline = "u", now, now.Add(time.Second)
	s.Offer(now, req)
	if d := s.OwnerDemand(now.Add(250 * ms)); d["u"] <= 0 {
		t.Errorf("demand %v for a contended owner", d)
	}
	if d := s.OwnerDemand(now.Add(contentionTTL + 250*ms)); len(d) != 0 {
		t.Errorf("demand %v reported %s after the contention", d, contentionTTL)
	}
}

// TestUncontendedOwnerNeedsNoShare: a gateway of 300 that sends several requests to an idle owner
// between two reports must not run out of its share of the service's demand.
func TestUncontendedOwnerNeedsNoShare(t *testing.T) {
	s := sharedServices(300, 100*ms)[0]
	s.ApplyReport(start, ClusterReport{Gateways: 300, InFlight: map[string]float64{"u": 1}})
	slots := s.upstream(start, "u").Slots
	for i := range slots - 1 {
		req := newRequest()
		req.Owner, req.QueueUntil = "u", at(50*ms)
		if _, r, decided := offer(s, at(50*ms), req); !decided || r != 0 {
			t.Fatalf("request %d: refusal %v, decided %v", i+1, r, decided)
		}
	}
}

// TestOddsDecisionAllocatesNothing guards against garbage on the path of a request for a contended
// owner.
func TestOddsDecisionAllocatesNothing(t *testing.T) {
	s := busyService(t, 313, 0)
	report := ClusterReport{Gateways: 300, InFlight: map[string]float64{"u1": 8}, OwnerDemands: map[string]float64{"u1": 60}}
	s.ApplyReport(at(time.Second), report)
	s.upstream(at(time.Second), "u1")
	s.ApplyReport(at(1250*ms), report)
	if !s.upstream(at(1250*ms), "u1").share.byOdds {
		t.Fatal("the owner is not shared by odds")
	}
	now := at(1300 * ms)
	req := &Request{Owner: "u1", Objective: time.Second}
	allocs := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Millisecond)
		req.Deadline, req.QueueUntil = now.Add(time.Second), now
		if g, r, _ := offer(s, now, req); r == 0 {
			s.Done(now, g, Canceled)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations per decision, want none", allocs)
	}
}

// TestFalseDemandDoesNotStarveAnOwner: one gateway that reports an absurd demand for an owner must not
// keep all others from it.
func TestFalseDemandDoesNotStarveAnOwner(t *testing.T) {
	o := newContendedOwner(62)
	o.play(0, 3*time.Second, 54)
	o.demandSum += 1e6
	o.arrived, o.rejected, o.busy = 0, 0, 0
	o.play(3*time.Second, 23*time.Second, 54)
	rejected, utilization := float64(o.rejected)/float64(max(o.arrived, 1)), o.busy.Seconds()/(ownerSlots*20)
	t.Logf("rejected %.4f of arrivals, utilization %.3f", rejected, utilization)
	if utilization < 0.3 {
		t.Errorf("rejected %.4f of arrivals, utilization %.3f", rejected, utilization)
	}
}
