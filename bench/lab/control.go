package lab

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/limits"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// planInterval is the time between plans of owners, as in the gateways.
	planInterval = 250 * time.Millisecond
	// balanceInterval is the time between plans that balance, as in the gateways.
	balanceInterval = time.Second
	// restTime is how long a moved span stays, as in the gateways.
	moveCooldown = 2 * time.Second
	// suspectAfter is how long after its loss an owner's keys are marked as moving.
	suspectDelay = time.Second
	// lapse is how long after its loss an upstream's entry goes from the store.
	entryExpiry = 2600 * time.Millisecond
	// moveCall is the time for the calls of one move, saving its plan among them.
	moveCallTime = 6 * time.Millisecond
	// moveLook is the time between looks whether the work on moving keys has ended.
	movePollInterval = 2 * time.Millisecond
	// firstRate is the assumed rate of a slot before any work time was reported.
	initialSlotRate = 15
)

// control is what the leader of the gateways does: it adds up reports and decides
// who owns which keys.
type controller struct {
	sim      *simulation
	tables   map[string]*spans.Table
	keyRates map[string]*ownership.RateEstimator
	// total adds up the reports of all gateways, by upstream, work what they have seen of
	// runs, by service.
	totals      map[string]upstreamReport
	workTimes   map[string]*worktime.Estimator
	lastReports []map[string]upstreamReport
	// demand is what each gateway is asked for, by service.
	demand []map[string]float64
	// admit is the part of the requests that can be run, of hot keys, by service.
	hotKeyAdmission map[string]map[uint16]float64
	lastMoved       map[string]map[uint16]time.Duration
	// balanced is when a plan last balanced, by service.
	lastBalanced map[string]time.Duration
	// gaps are the keys without an owner as the gateways know them.
	gaps         map[string]*spans.Gaps
	coldUntil    map[string]map[uint16]time.Duration
	ownerWaiters []func()
	// book names who may send to upstreams that warm up.
	assignments *warmup.Assignments
	// limits are those that upstreams name, wanted what each gateway is asked for that these
	// would get.
	limits        *limits.Book
	limitedDemand []map[string]float64
}

// report is what gateways say of one upstream.
type upstreamReport struct {
	inflight float64
	runs     worktime.Sum
}

func newController(sim *simulation) *controller {
	c := &controller{
		sim: sim, tables: make(map[string]*spans.Table), keyRates: make(map[string]*ownership.RateEstimator),
		totals: make(map[string]upstreamReport), workTimes: make(map[string]*worktime.Estimator), lastReports: make([]map[string]upstreamReport, sim.sc.Gateways),
		demand: make([]map[string]float64, sim.sc.Gateways), hotKeyAdmission: make(map[string]map[uint16]float64), lastBalanced: make(map[string]time.Duration),
		gaps: make(map[string]*spans.Gaps), lastMoved: make(map[string]map[uint16]time.Duration), coldUntil: make(map[string]map[uint16]time.Duration),
	}
	c.limits, c.limitedDemand = limits.NewBook(), make([]map[string]float64, sim.sc.Gateways)
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
		c.gaps[s.Name] = &spans.Gaps{}
		c.keyRates[s.Name] = ownership.NewRateEstimator(sim.now())
		c.lastMoved[s.Name], c.coldUntil[s.Name] = make(map[uint16]time.Duration), make(map[uint16]time.Duration)
	}
	return c
}

// owners describes the upstreams of a keyed service for a plan.
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

// capacity is how many requests a second the upstream can run, as far as it takes them.
func (c *controller) capacity(u *upstream, rate float64) float64 {
	if limit, ok := c.limits.Of(u.instance.ID, 0); ok && !c.sim.sc.Disabled.NoNamedLimits {
		return min(rate, quota.TargetUtilization*limit)
	}
	return rate
}

// workAt is the time of a run at an upstream in seconds: as reported, or as it is for
// the policy that knows everything.
func (c *controller) workTime(u *upstream) float64 {
	if c.sim.plansWithTrueSpeeds {
		return c.sim.meanWork(u.service) / u.currentSpeed()
	}
	if work := c.workTimes[u.service.Name].Mean(u.instance.ID); work > 0 {
		return work.Seconds()
	}
	return 1.0 / initialSlotRate
}

// reported takes one gateway's report in place of its last one.
func (c *controller) applyReport(g int, loads map[string]upstreamReport, demand map[string]float64, keys map[string][]uint16) {
	for id, r := range c.lastReports[g] {
		c.totals[id] = upstreamReport{inflight: c.totals[id].inflight - r.inflight}
	}
	// In a fixed order: sums of work times depend on it.
	for _, u := range c.sim.allUpstreams {
		id := u.instance.ID
		if r, ok := loads[id]; ok {
			c.totals[id] = upstreamReport{inflight: c.totals[id].inflight + r.inflight}
			c.workTimes[u.service.Name].Add(id, r.runs)
		}
	}
	c.lastReports[g], c.demand[g] = loads, demand
	for name, list := range keys {
		if h := c.keyRates[name]; h != nil {
			for _, key := range list {
				h.Add(key)
			}
		}
	}
}

// elsewhere returns the reports of all gateways but one, added up.
func (c *controller) otherReports(g int) map[string]upstreamReport {
	out := make(map[string]upstreamReport, len(c.totals))
	own := c.lastReports[g]
	for id, t := range c.totals {
		r := own[id]
		out[id] = upstreamReport{inflight: max(t.inflight-r.inflight, 0)}
	}
	return out
}

// works returns the mean time of a run at each upstream, as all gateways have seen it.
func (c *controller) workEstimates() map[string]worktime.Estimate {
	out := make(map[string]worktime.Estimate, len(c.sim.allUpstreams))
	for _, u := range c.sim.allUpstreams {
		if one := c.workTimes[u.service.Name].Estimate(u.instance.ID); one.Work > 0 {
			out[u.instance.ID] = one
		}
	}
	return out
}

// askedElsewhere returns what all gateways but one are asked for, by service.
func (c *controller) otherDemand(g int) map[string]float64 {
	out := make(map[string]float64)
	for other, demand := range c.demand {
		if other == g {
			continue
		}
		for name, rate := range demand {
			out[name] += rate
		}
	}
	return out
}

// plan makes and begins the moves that are due, again and again.
func (c *controller) plan() {
	for i := range c.sim.sc.Services {
		if s := &c.sim.sc.Services[i]; s.Keyed {
			c.planService(s)
		}
	}
	c.sim.after(planInterval, c.plan)
}

func (c *controller) planService(s *Service) {
	resting := make(map[uint16]bool)
	for first, at := range c.lastMoved[s.Name] {
		if c.sim.elapsed-at < moveCooldown {
			resting[first] = true
		}
	}
	before, owners, load := c.tables[s.Name], c.owners(s), c.keyRates[s.Name].Rates(c.sim.now())
	admit := make(map[uint16]float64)
	for _, l := range ownership.Limits(before, owners, load) {
		admit[l.Key] = l.AdmittedShare
	}
	c.hotKeyAdmission[s.Name] = admit
	balance := c.sim.elapsed-c.lastBalanced[s.Name] >= balanceInterval
	if balance {
		c.lastBalanced[s.Name] = c.sim.elapsed
	}
	next := ownership.MakePlan(ownership.PlanInput{BalanceDue: balance, Table: before, Owners: owners, Load: load, RecentlyMoved: resting})
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

// move takes keys back when the work on them has ended, or when a lost owner's hold
// has, and gives them to the next owner.
func (c *controller) finishMove(s *Service, one spans.Span) {
	owner := c.sim.upstreamByID[one.Owner]
	lost := owner != nil && (owner.silent || owner.refusing || owner.suspectedLost)
	switch {
	case owner != nil && lost && c.sim.elapsed-owner.failedAt < c.ownerTimeout(owner):
		c.sim.after(movePollInterval, func() { c.finishMove(s, one) })
		return
	case owner != nil && !lost && owner.isRunningAny(one.Keys):
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

// warm takes the mark off keys that came with the fence.
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

// publish makes a table the one in force; gateways hear of it after a hop.
func (c *controller) publish(s *Service, t *spans.Table) {
	t.Version = c.tables[s.Name].Version + 1
	c.tables[s.Name] = t
	c.sim.after(c.sim.hopDelay(), func() {
		if known := c.sim.ownerView[s.Name]; known != nil && known.Version >= t.Version {
			return
		}
		c.sim.ownerView[s.Name] = t
		c.gaps[s.Name].Note(c.sim.now(), t)
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

// known lists the upstreams of a service as the store shows them.
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
