package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// updateGauges sets the gauges, whose values are computed when the metrics are served.
func (g *Gateway) updateGauges() {
	m := g.meters
	m.gauge(logWritten, g.eventLog.Written())
	m.gauge(logDropped, g.eventLog.Dropped())
	m.gauge(leaderLeading, boolGauge(g.cluster.isLeading()))
	m.gauge(leaderMayAct, boolGauge(g.elector.mayAct()))
	m.gauge(clusterSize, int64(g.cluster.gatewayCount()))
	m.gauge(storeUnreachable, boolGauge(g.storeCalls.unavailable()))
	g.updateViewGauges()
	g.updateServiceGauges()
	g.ownerGaps.updateGauges()
	g.limits.updateGauges()
	g.traffic.updateNoticeGauges(g.meters)
	g.traffic.updateColdKeyGauges(g.meters)
	g.suspects.updateGauges()
	g.reach.updateGauges()
	g.assignments.updateOwnerGauges()
	held := g.proxy.bytes.Stats()
	m.gauge(bytesHeld, held.Held)
	m.gauge(bytesRefused, int64(held.Refused))
	m.gauge(bytesRefusedLink, int64(held.RefusedLink))
	stats := g.conns.Stats()
	m.gauge(connOpened, int64(stats.Opened))
	m.gauge(connReused, int64(stats.Reused))
	m.gauge(connStale, int64(stats.Stale))
	m.gauge(connForeignResponses, int64(stats.Mismatched))
	tooLarge := uint64(0)
	for _, p := range g.pools {
		tooLarge += p.Stats().TooLarge
	}
	m.gauge(connTooLarge, int64(tooLarge))
	m.gauge(connEndedForMemory, int64(g.responses.Stats().Ended+g.controlResponses.Stats().Ended))
	m.gauge(connDistrusted, int64(stats.ClosedAfterSilence))
}

// updateViewGauges sets the gauges of the view in force and of its maximum age.
func (g *Gateway) updateViewGauges() {
	m := g.meters
	lost, age := time.Duration(0), time.Duration(0)
	if !g.cluster.isLeading() {
		lost, _, _ = g.follower.leaderSilence()
		age = g.follower.maxViewAge(g.watcher.ages.lastHeardAny())
	}
	m.gauge(leaderHeard, lost.Milliseconds())
	m.gauge(viewAge, age.Milliseconds())
	m.gauge(viewUpstreamsBehind, g.follower.lag.Age(g.follower.now()).Milliseconds())
	if t := g.view.table.Load(); t != nil {
		m.gauge(viewVersion, int64(t.Version))
		heard, confirmed := g.configurationAge()
		m.gauge(viewConfigurationAge, heard.Milliseconds())
		m.gauge(viewConfigurationConfirmed, confirmed.Milliseconds())
	}
	for kind, age := range g.watcher.ages.agesByKind() {
		m.gauge(fillPattern(watchHeard, kind), age.Milliseconds())
	}
	evacuated := g.view.evac.Load()
	m.gauge(viewEvacuated, int64(len(evacuated.Domains())))
	m.gauge(viewEvacRevision, int64(evacuated.Revision()))
	if v := g.view.inst.Load(); v != nil {
		m.gauge(viewUpstreams, int64(v.Len()))
		m.gauge(viewRevision, int64(v.Revision))
	}
}

// updateServiceGauges sets, for each service, the gauges of the inputs of dispatch decisions.
func (g *Gateway) updateServiceGauges() {
	m := g.meters
	for name, s := range g.traffic.all() {
		e := g.traffic.explain(s, "")
		m.gauge(m.service(queueWaiting, name), int64(e.Waiting))
		m.gauge(m.service(callersOverShare, name), int64(s.overShare()))
		placed, unplaced := s.retryPlaces()
		m.gauge(m.service(retryPlaced, name), int64(placed))
		m.gauge(m.service(retryUnplaced, name), int64(unplaced))
		m.gauge(m.service(queueLate, name), int64(e.ShedLate))
		m.gauge(m.service(queueExcess, name), int64(e.ShedExcess))
		m.gauge(m.service(capacitySlots, name), int64(e.Slots))
		m.gauge(m.service(capacityInFlight, name), int64(e.OwnInflight)+int64(e.OthersInflight))
		m.gauge(m.service(capacityUsable, name), int64(e.Usable))
		m.gauge(m.service(capacityRejecting, name), int64(e.Rejecting))
		m.gauge(m.service(poolLoad, name), int64(100*e.PoolLoad))
		m.gauge(m.service(ownersContended, name), int64(e.ContendedOwners))
		m.gauge(m.service(sharesByOdds, name), int64(e.OwnersByOdds))
		m.gauge(m.service(budgetLeft, name), int64(g.traffic.retriesLeft(s)))
		for route, work := range g.traffic.routeWork(s) {
			m.gauge(m.route(routeWork, route), int64(math.Round(100*work.Factor)))
			m.gauge(m.route(routeSpread, route), int64(math.Round(100*work.Spread)))
		}
	}
}

// updateColdKeyGauges sets the gauges of what this gateway has seen of keys that are marked cold.
func (t *traffic) updateColdKeyGauges(m *meters) {
	for name, s := range t.all() {
		s.mu.Lock()
		cold := s.dispatch.ColdKeys()
		s.mu.Unlock()
		m.gauge(m.service(coldGranted, name), int64(cold.Granted))
		m.gauge(m.service(coldRefused, name), int64(cold.Refused))
		m.gauge(m.service(coldAsUsual, name), int64(cold.AsUsual))
		m.gauge(m.service(coldFactor, name), int64(100*cold.Factor))
		m.gauge(m.service(coldShare, name), int64(100*cold.Share))
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ownerGaps measures how long keys are without an owner, according to this gateway's view. It is
// safe for concurrent use.
type ownerGaps struct {
	now    func() time.Time
	meters *meters

	mu       sync.Mutex
	services map[string]*ownerGap
}

// ownerGap is the state of one service.
type ownerGap struct {
	spans.UnownedTracker
	table     *spans.Table
	changedAt time.Time
}

func newOwnerGaps(now func() time.Time, m *meters) *ownerGaps {
	return &ownerGaps{now: now, meters: m, services: make(map[string]*ownerGap)}
}

// setTable applies a new table of owners and records the gaps that ended with it.
func (o *ownerGaps) setTable(t *spans.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gap := o.services[t.Service]
	if gap == nil {
		gap = &ownerGap{}
		o.services[t.Service] = gap
	}
	now := o.now()
	gap.table, gap.changedAt = t, now
	for _, duration := range gap.Update(now, t) {
		o.meters.recordDuration(o.meters.service(ownerGapDuration, t.Service), duration)
	}
}

// gapOf returns how long the key of a service has been without an owner.
func (o *ownerGaps) gapOf(service string, key uint16) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	gap := o.services[service]
	if gap == nil {
		return 0
	}
	return gap.UnownedFor(o.now(), key)
}

// updateGauges sets the gauges of all services.
func (o *ownerGaps) updateGauges() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for name, gap := range o.services {
		o.meters.gauge(o.meters.service(keysWithoutOwner, name), int64(gap.table.UnownedKeys()))
		o.meters.gauge(o.meters.service(longestOwnerGap, name), gap.LongestUnowned(now).Milliseconds())
		o.meters.gauge(o.meters.service(ownersSpans, name), int64(len(gap.table.Spans)))
		o.meters.gauge(o.meters.service(ownersUnchanged, name), now.Sub(gap.changedAt).Milliseconds())
	}
}
