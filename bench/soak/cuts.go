package soak

import (
	"fmt"
	"sync"
	"time"
)

// This file cuts gateways off from all upstreams, while callers, the store and the other gateways reach
// them, and checks that they serve nearly as well as the others.

const (
	// minCutDuration is the minimum duration of a cut, cutSettleTime the time after its begin in which
	// requests may fail.
	minCutDuration = 5 * time.Second
	cutSettleTime  = 3 * time.Second
	// minCutShare is how often requests at gateways that are cut off must be served, compared with
	// those at the others. Some failures are tolerated in any case.
	minCutShare       = 2.0 / 3
	toleratedFailures = 10
	toleratedShare    = 0.02
)

// cut is a time in which some gateways reached no upstream.
type cut struct {
	gateways map[*gateway]bool
	from, to time.Time
}

// cutGateways cuts some of the gateways, all but one at most, off from all upstreams, for the duration of
// the step plus minCutDuration.
func (d *deployment) cutGateways(step Step) {
	c := cut{gateways: make(map[*gateway]bool), from: time.Now()}
	for i := range 1 + step.Variant%max(len(d.gateways)-1, 1) {
		c.gateways[pick(d.gateways, step.Target+i)] = true
	}
	var all sync.WaitGroup
	for g := range c.gateways {
		all.Go(func() {
			g.cuts.record(func() {
				holdFault(minCutDuration+step.Duration, func() { d.setLinks(g, true) }, func() { d.setLinks(g, false) })
			})
		})
	}
	all.Wait()
	c.to = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cuts = append(d.cuts, c)
}

// setLinks cuts the links from a gateway to all upstreams, or restores them. Upstreams that start
// later are cut off as well.
func (d *deployment) setLinks(g *gateway, cutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cutOff {
		d.cutLinks[g.ip]++
	} else {
		d.cutLinks[g.ip]--
	}
	for _, u := range d.allUpstreams {
		d.applyLinks(u)
	}
}

// applyLinks applies the cuts in progress to the relay of an upstream. The caller holds d.mu.
func (d *deployment) applyLinks(u *upstream) {
	for ip, cuts := range d.cutLinks {
		if cuts > 0 {
			u.relay.CutOff(ip)
		} else {
			u.relay.Reconnect(ip)
		}
	}
}

// servedCount counts requests.
type servedCount struct{ sent, served int }

func (s *servedCount) add(other servedCount) {
	s.sent += other.sent
	s.served += other.served
}

func (s servedCount) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

func (s servedCount) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// cutPeriod is the length of the periods in which requests at gateways that are cut off are compared with
// those at the others: other faults that make upstreams refuse requests come and go during a cut.
const cutPeriod = 500 * time.Millisecond

// comparison counts the requests of one period.
type comparison struct{ inside, outside servedCount }

// violations returns the cuts in which gateways that were cut off served too few requests. As in the
// users' rule, requests count only at gateways without faults of their process, and while the store
// and the path to it have none. Periods in which no other gateway had requests do not count.
func (c cut) violations(l *requestLog, store *faultIntervals) (out []string) {
	periods := make(map[time.Duration]*comparison)
	l.forEach(func(r sentRequest) {
		if r.hadOtherFault(store) {
			return
		}
		count := c.countOf(periods, r)
		if count == nil {
			return
		}
		count.sent++
		if r.outcome == served {
			count.served++
		}
	})
	var inside, outside servedCount
	for _, p := range periods {
		if p.inside.sent == 0 || p.outside.sent == 0 {
			continue
		}
		inside.add(p.inside)
		outside.add(p.outside)
	}
	failed := inside.sent - inside.served
	if float64(failed) > toleratedFailures+toleratedShare*float64(inside.sent) && inside.share() < minCutShare*outside.share() {
		out = append(out, fmt.Sprintf("%d gateways that were cut off from all upstreams for %s served %s requests, the others %s",
			len(c.gateways), c.to.Sub(c.from).Round(time.Millisecond), inside, outside))
	}
	return out
}

// hadOtherFault reports whether the process of the request's gateway, or the store for it, had a fault
// within stableTime before the request or during it.
func (r sentRequest) hadOtherFault(store *faultIntervals) bool {
	from, to := r.sent.Add(-stableTime), r.sent.Add(callerTimeout)
	return r.gateway.faults.overlaps(from, to) || r.gateway.storeFaults.overlaps(from, to) || store.overlaps(from, to)
}

// countOf returns the count to which a request belongs, or nil.
func (c cut) countOf(periods map[time.Duration]*comparison, r sentRequest) *servedCount {
	if r.sent.Before(c.from.Add(cutSettleTime)) || !r.sent.Before(c.to) {
		return nil
	}
	cutOff := c.gateways[r.gateway]
	if !cutOff && r.gateway.cuts.overlaps(r.sent.Add(-stableTime), r.sent) {
		return nil
	}
	period := r.sent.Sub(c.from) / cutPeriod
	if periods[period] == nil {
		periods[period] = &comparison{}
	}
	if cutOff {
		return &periods[period].inside
	}
	return &periods[period].outside
}
