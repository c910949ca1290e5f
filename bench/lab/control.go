package lab

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/limits"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// planInterval is the time between ownership plans, the same as in the gateways.
	planInterval = 250 * time.Millisecond
	// balanceInterval is the time between plans that also balance load, the same as in the
	// gateways.
	balanceInterval = time.Second
	// moveCooldown is how long a span that has moved is not moved again, the same as in the
	// gateways.
	moveCooldown = 2 * time.Second
	// suspectDelay is the time from an owner's failure until its keys are marked as moving.
	suspectDelay = time.Second
	// entryExpiry is the time from an upstream's failure until its entry expires in the store.
	entryExpiry = 2600 * time.Millisecond
	// moveCallTime is the duration of the calls for one move, including storing its plan.
	moveCallTime = 6 * time.Millisecond
	// movePollInterval is the time between checks whether the requests on moving keys have ended.
	movePollInterval = 2 * time.Millisecond
	// initialSlotRate is the assumed rate of a slot, in requests per second, until a work time is
	// reported.
	initialSlotRate = 15
)

// controller models the leader of the gateways: it aggregates reports and assigns keys to owners.
type controller struct {
	sim      *simulation
	tables   map[string]*spans.Table
	keyRates map[string]*ownership.RateEstimator
	// totals is the sum of the reports of all gateways, by upstream; workTimes are the work times
	// that they observed, by service.
	totals      map[string]upstreamReport
	workTimes   map[string]*worktime.Estimator
	lastReports []map[string]upstreamReport
	// demand is what each gateway is asked for, by service.
	demand []map[string]dispatch.Demand
	// hotKeyAdmission is the share of the requests for each hot key that its owner can run, by service.
	hotKeyAdmission map[string]map[uint16]float64
	lastMoved       map[string]map[uint16]time.Duration
	// lastBalanced is the time of the last plan that balanced load, by service.
	lastBalanced map[string]time.Duration
	// unownedKeys tracks the keys that have no owner in the tables known to the gateways.
	unownedKeys  map[string]*spans.UnownedTracker
	coldUntil    map[string]map[uint16]time.Duration
	ownerWaiters []func()
	// assignments record which gateways may send to upstreams that are warming up.
	assignments *warmup.Assignments
	// limits are the rate limits that upstreams name; limitedDemand is, for each gateway, the
	// request rate that it would send to each of these upstreams.
	limits        *limits.Registry
	limitedDemand []map[string]float64
	// rejectedAt is when each upstream last rejected a request, as reported.
	rejectedAt map[string]time.Duration
	// ownerDemand is the demand for contended owners.
	ownerDemand *ownerDemands
}

// upstreamReport is a gateway's report about one upstream.
type upstreamReport struct {
	inflight float64
	runs     worktime.Sum
	// rejectedAt is when the upstream last rejected a request; zero if it did not lately.
	rejectedAt time.Duration
}

func newController(sim *simulation) *controller {
	c := &controller{
		sim: sim, tables: make(map[string]*spans.Table), keyRates: make(map[string]*ownership.RateEstimator),
		totals: make(map[string]upstreamReport), workTimes: make(map[string]*worktime.Estimator), lastReports: make([]map[string]upstreamReport, sim.sc.Gateways),
		demand: make([]map[string]dispatch.Demand, sim.sc.Gateways), hotKeyAdmission: make(map[string]map[uint16]float64), lastBalanced: make(map[string]time.Duration),
		unownedKeys: make(map[string]*spans.UnownedTracker), lastMoved: make(map[string]map[uint16]time.Duration), coldUntil: make(map[string]map[uint16]time.Duration),
	}
	c.rejectedAt = make(map[string]time.Duration)
	c.limits, c.limitedDemand = limits.NewRegistry(), make([]map[string]float64, sim.sc.Gateways)
	c.ownerDemand = newOwnerDemands(sim.sc.Gateways)
	c.assignments = warmup.NewAssignments(sim.now().Add(-warmup.RightDuration))
	for i := range sim.sc.Services {
		s := &sim.sc.Services[i]
		c.workTimes[s.Name] = worktime.NewEstimator()
		if !s.Keyed {
			continue
		}
		t := ownership.InitialTable(s.Name, c.owners(s))
		for j := range t.Spans {
			one := &t.Spans[j]
			one.Owner, one.Fence, one.Next, one.NextFence = one.Next, one.NextFence, "", 0
		}
		c.tables[s.Name] = t
		c.unownedKeys[s.Name] = &spans.UnownedTracker{}
		c.keyRates[s.Name] = ownership.NewRateEstimator(sim.now())
		c.lastMoved[s.Name], c.coldUntil[s.Name] = make(map[uint16]time.Duration), make(map[uint16]time.Duration)
	}
	return c
}

// owners describes the upstreams of a keyed service for the planner.
func (c *controller) owners(s *Service) []ownership.Owner {
	var out []ownership.Owner
	for _, u := range c.sim.upstreams[s.Name] {
		lost := (u.silent || u.refusing) && c.sim.elapsed-u.failedAt >= entryExpiry
		if lost {
			continue
		}
		work := c.workTime(u)
		keeps := !u.leaving && !u.suspectedLost
		out = append(out, ownership.Owner{ID: u.instance.ID, Capacity: c.capacity(u, float64(s.Slots)/work), MayKeep: keeps, Usable: keeps && !u.silent && !u.refusing})
	}
	return out
}

// capacity returns the rate that the upstream can run, in requests per second, bounded by the limit
// that it names.
func (c *controller) capacity(u *upstream, rate float64) float64 {
	if limit, ok := c.limits.Get(u.instance.ID, 0); ok && !c.sim.sc.Disabled.NoNamedLimits {
		return min(rate, quota.TargetUtilization*limit)
	}
	return rate
}

// workTime returns the mean time of a run at an upstream in seconds: the reported one, or the true
// one if the policy plans with true speeds.
func (c *controller) workTime(u *upstream) float64 {
	if c.sim.plansWithTrueSpeeds {
		return c.sim.meanWorkTime(u.service) / u.currentSpeed()
	}
	if work := c.workTimes[u.service.Name].Mean(u.instance.ID); work > 0 {
		return work.Seconds()
	}
	return 1.0 / initialSlotRate
}

// applyReport replaces the last report of a gateway.
func (c *controller) applyReport(g int, loads map[string]upstreamReport, demand map[string]dispatch.Demand, keys map[string][]keyRequest) {
	for id, r := range c.lastReports[g] {
		c.totals[id] = upstreamReport{inflight: c.totals[id].inflight - r.inflight}
	}
	// The order is fixed, because sums of work times depend on it.
	for _, u := range c.sim.allUpstreams {
		id := u.instance.ID
		if r, ok := loads[id]; ok {
			if r.rejectedAt > 0 {
				c.rejectedAt[id] = max(c.rejectedAt[id], r.rejectedAt)
			}
			c.totals[id] = upstreamReport{inflight: c.totals[id].inflight + r.inflight}
			c.workTimes[u.service.Name].Add(id, r.runs)
		}
	}
	c.lastReports[g], c.demand[g] = loads, demand
	for name, list := range keys {
		if rates := c.keyRates[name]; rates != nil {
			for _, r := range list {
				rates.Add(r.key, r.work)
			}
		}
	}
}

// otherReports returns the sum of the reports of all gateways except one.
func (c *controller) otherReports(g int) map[string]upstreamReport {
	out := make(map[string]upstreamReport, len(c.totals))
	own := c.lastReports[g]
	for id, t := range c.totals {
		r := own[id]
		out[id] = upstreamReport{inflight: max(t.inflight-r.inflight, 0)}
	}
	return out
}

// rejections returns the time since upstreams last rejected a request, as reported lately.
func (c *controller) rejections() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, at := range c.rejectedAt {
		if age := c.sim.elapsed - at; age <= dispatch.MaxRejectionAge {
			out[id] = age
		}
	}
	return out
}

// workEstimates returns the mean time of a run at each upstream, as observed by all gateways.
func (c *controller) workEstimates() map[string]worktime.Estimate {
	out := make(map[string]worktime.Estimate, len(c.sim.allUpstreams))
	for _, u := range c.sim.allUpstreams {
		if one := c.workTimes[u.service.Name].Estimate(u.instance.ID); one.Work > 0 {
			out[u.instance.ID] = one
		}
	}
	return out
}

// otherDemand returns what all gateways except one are asked for, by service.
func (c *controller) otherDemand(g int) map[string]dispatch.Demand {
	out := make(map[string]dispatch.Demand)
	for other, demand := range c.demand {
		if other == g {
			continue
		}
		for name, d := range demand {
			out[name] = out[name].Add(d)
		}
	}
	return out
}

// plan periodically plans the ownership of keys and starts the planned moves.
func (c *controller) plan() {
	for i := range c.sim.sc.Services {
		if s := &c.sim.sc.Services[i]; s.Keyed {
			c.planService(s)
		}
	}
	c.sim.after(planInterval, c.plan)
}

func (c *controller) planService(s *Service) {
	recentlyMoved := make(map[uint16]bool)
	for first, at := range c.lastMoved[s.Name] {
		if c.sim.elapsed-at < moveCooldown {
			recentlyMoved[first] = true
		}
	}
	before, owners, load := c.tables[s.Name], c.owners(s), c.keyRates[s.Name].Rates(c.sim.now())
	admission := make(map[uint16]float64)
	for _, l := range ownership.Limits(before, owners, load) {
		admission[l.Key] = l.AdmittedShare
	}
	c.hotKeyAdmission[s.Name] = admission
	balance := c.sim.elapsed-c.lastBalanced[s.Name] >= balanceInterval
	if balance {
		c.lastBalanced[s.Name] = c.sim.elapsed
	}
	next := ownership.MakePlan(ownership.PlanInput{BalanceDue: balance, Table: before, Owners: owners, Load: load, RecentlyMoved: recentlyMoved})
	if next == nil {
		return
	}
	c.publish(s, next)
	c.sim.tally.plans++
	for _, one := range next.Spans {
		if one.Moving() && !before.Find(one.First).Moving() {
			c.sim.tally.movedKeys += one.Count()
			c.sim.after(moveCallTime, func() { c.finishMove(s, one) })
		}
	}
}

// finishMove hands keys to the next owner as soon as the previous owner runs no more requests for
// them or, if that owner has failed, as soon as its ownership has timed out.
func (c *controller) finishMove(s *Service, one spans.Span) {
	owner := c.sim.upstreamByID[one.Owner]
	lost := owner != nil && (owner.silent || owner.refusing || owner.suspectedLost)
	switch {
	case owner != nil && lost && c.sim.elapsed-owner.failedAt < c.ownerTimeout(owner):
		c.sim.after(movePollInterval, func() { c.finishMove(s, one) })
		return
	case owner != nil && !lost && owner.isRunningAny(one.KeyRange):
		c.sim.after(movePollInterval, func() { c.finishMove(s, one) })
		return
	}
	next := c.tables[s.Name].Clone()
	for i := range next.Spans {
		t := &next.Spans[i]
		if t.First == one.First && t.NextFence == one.NextFence {
			t.Owner, t.Fence, t.Next, t.NextFence, t.Cold = one.Next, one.NextFence, "", 0, lost
		}
	}
	c.lastMoved[s.Name][one.First] = c.sim.elapsed
	if lost {
		c.sim.after(s.ColdFor.D(), func() { c.clearCold(s, one.NextFence) })
		for key := int(one.First); key <= int(one.Last); key++ {
			c.coldUntil[s.Name][uint16(key)] = c.sim.elapsed + s.ColdFor.D()
		}
	}
	c.publish(s, next)
}

// clearCold clears the cold mark of the spans with the given fence.
func (c *controller) clearCold(s *Service, fence uint64) {
	next := c.tables[s.Name].Clone()
	for i := range next.Spans {
		if next.Spans[i].Fence == fence {
			next.Spans[i].Cold = false
		}
	}
	c.publish(s, next)
}

func (c *controller) ownerTimeout(u *upstream) time.Duration {
	if u.refusing {
		return c.sim.sc.RefusingOwnerTimeout.D()
	}
	return c.sim.sc.SilentOwnerTimeout.D()
}

// publish activates a table. Gateways receive it after one hop.
func (c *controller) publish(s *Service, t *spans.Table) {
	t.Version = c.tables[s.Name].Version + 1
	c.tables[s.Name] = t
	c.sim.after(c.sim.hopDelay(), func() {
		if known := c.sim.ownerView[s.Name]; known != nil && known.Version >= t.Version {
			return
		}
		c.sim.ownerView[s.Name] = t
		c.unownedKeys[s.Name].Update(c.sim.now(), t)
		waiting := c.ownerWaiters
		c.ownerWaiters = nil
		for _, wake := range waiting {
			wake()
		}
	})
}

func (c *controller) isCold(s *Service, key uint16) bool {
	return c.sim.elapsed < c.coldUntil[s.Name][key]
}

// listedUpstreams returns the upstreams of a service that have an entry in the store.
func (c *controller) listedUpstreams(s *Service) []*instances.Instance {
	var out []*instances.Instance
	for _, u := range c.sim.upstreams[s.Name] {
		if (u.silent || u.refusing) && c.sim.elapsed-u.failedAt >= entryExpiry {
			continue
		}
		one := u.instance
		one.Leaving = u.leaving
		out = append(out, &one)
	}
	return out
}
