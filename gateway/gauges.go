package gateway

import (
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// gauges sets what is read at the moment of the question.
func (g *Gateway) gauges() {
	m := g.meters
	m.gauge(logWritten, g.lines.Written())
	m.gauge(logDropped, g.lines.Dropped())
	m.gauge(leaderLeading, boolGauge(g.cluster.isLeading()))
	m.gauge(leaderMayAct, boolGauge(g.leading.mayAct()))
	m.gauge(clusterSize, int64(g.cluster.gatewayCount()))
	m.gauge(storeAway, boolGauge(g.calls.unavailable()))
	g.viewGauges()
	g.serviceGauges()
	g.gaps.gauges()
	g.limits.updateGauges()
	g.traffic.updateNoticeGauges(g.meters)
	g.suspects.updateGauges()
	g.steward.updateOwnerGauges()
	stats := g.conns.Stats()
	m.gauge(connOpened, int64(stats.Opened))
	m.gauge(connReused, int64(stats.Reused))
	m.gauge(connStale, int64(stats.Stale))
	m.gauge(connForeign, int64(stats.Mismatched))
	m.gauge(connDistrusted, int64(stats.ClosedAfterSilence))
}

// viewGauges tells which view is in force and how old it is at most.
func (g *Gateway) viewGauges() {
	m := g.meters
	lost, age := time.Duration(0), time.Duration(0)
	if !g.cluster.isLeading() {
		lost, _, _ = g.follower.leaderSilence()
		age = g.follower.maxViewAge(g.watcher.ages.lastHeardAny())
	}
	m.gauge(leaderHeard, lost.Milliseconds())
	m.gauge(viewAge, age.Milliseconds())
	if t := g.view.table.Load(); t != nil {
		m.gauge(viewVersion, int64(t.Version))
		m.gauge(viewConfigurationAge, g.configurationAge().Milliseconds())
	}
	for kind, age := range g.watcher.ages.agesByKind() {
		m.gauge(fill(watchHeard, kind), age.Milliseconds())
	}
	evacuated := g.view.evac.Load()
	m.gauge(viewEvacuated, int64(len(evacuated.Domains())))
	m.gauge(viewEvacRevision, int64(evacuated.Revision()))
	if v := g.view.inst.Load(); v != nil {
		m.gauge(viewUpstreams, int64(v.Len()))
		m.gauge(viewRevision, int64(v.Revision))
	}
}

// serviceGauges tells, by service, what decisions about requests are made from.
func (g *Gateway) serviceGauges() {
	m := g.meters
	for name, s := range g.traffic.all() {
		e := g.traffic.explain(s, "")
		m.gauge(m.service(queueWaiting, name), int64(e.Waiting))
		m.gauge(m.service(roomSlots, name), int64(e.Slots))
		m.gauge(m.service(roomInFlight, name), int64(e.OwnInflight)+int64(e.OthersInflight))
		m.gauge(m.service(roomUsable, name), int64(e.Usable))
		m.gauge(m.service(budgetLeft, name), int64(g.traffic.budgetLeft(s)))
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ownerGaps measures how long keys are without an owner, as this gateway knows. It is
// safe for concurrent use.
type ownerGaps struct {
	now    func() time.Time
	meters *meters

	mu       sync.Mutex
	services map[string]*ownerGap
}

// ownerGap is the part of one service.
type ownerGap struct {
	spans.Gaps
	table   *spans.Table
	changed time.Time
}

func newOwnerGaps(now func() time.Time, m *meters) *ownerGaps {
	return &ownerGaps{now: now, meters: m, services: make(map[string]*ownerGap)}
}

// note takes over a new table of owners.
func (o *ownerGaps) note(t *spans.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	one := o.services[t.Service]
	if one == nil {
		one = &ownerGap{}
		o.services[t.Service] = one
	}
	now := o.now()
	one.table, one.changed = t, now
	for _, without := range one.Note(now, t) {
		o.meters.took(o.meters.service(ownersWithout, t.Service), without)
	}
}

// without returns how long the key of a service has been without an owner.
func (o *ownerGaps) without(service string, key uint16) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	one := o.services[service]
	if one == nil {
		return 0
	}
	return one.Without(o.now(), key)
}

// gauges sets what is read at the moment of the question.
func (o *ownerGaps) gauges() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for name, one := range o.services {
		o.meters.gauge(o.meters.service(ownersNone, name), int64(one.table.Unowned()))
		o.meters.gauge(o.meters.service(ownersLongest, name), one.Longest(now).Milliseconds())
		o.meters.gauge(o.meters.service(ownersSpans, name), int64(len(one.table.Spans)))
		o.meters.gauge(o.meters.service(ownersAge, name), now.Sub(one.changed).Milliseconds())
	}
}
