package dispatch

import "time"

// This file divides the room of an uneven pool among the gateways. A pool is the upstreams of a service
// whose requests any of them may run; it is uneven if they report their load or reject requests. The
// room of a single upstream is not divided: a report is some hundred milliseconds old, and if few
// upstreams show room, all gateways choose those. The load of the whole pool changes slowly and is
// known well, so each gateway takes its share of what the whole pool can run.

const (
	// unevenFor is how long a pool counts as uneven after an upstream has reported its load or rejected
	// a request. Bursts of demand are some seconds apart.
	unevenFor = 5 * time.Second
	// sharedLoad is the fraction of the requests in a full pool from which each gateway keeps to its
	// share. Requests come at random, so shares leave room unused that a gateway without requests has.
	// At lower loads that costs more than the rejections that the shares prevent.
	sharedLoad = 0.85
	// unsharedLoad is the fraction below which gateways no longer keep to their shares while requests are
	// refused for lack of room. It is lower than sharedLoad: else all gateways send whatever waits as soon
	// as the load falls below that, and nothing until the surplus has drained.
	unsharedLoad = 0.6
	// drawLoad is the fraction of the requests in a full pool from which upstreams are drawn by their room
	// instead of compared. Below it, the few upstreams that a gateway prefers have room, and their reported
	// loads are worth more than a wider choice.
	drawLoad = 0.75
	// draws is how many upstreams of each list are drawn for a request, from the first drawRange of the
	// gateway's order, so that the gateway deals with a bounded number of them.
	draws     = 4
	drawRange = 16
	// drawHorizon is for how long ahead the finished requests count as room: about the age of a report.
	drawHorizon = 150 * time.Millisecond
	// otherDomainWeight multiplies the room of upstreams in other failure domains.
	otherDomainWeight = 0.3
)

// poolRoom is the load of a pool from all gateways together, and this gateway's share of its room.
type poolRoom struct {
	// offered is set once a request was offered that any upstream may run. unevenUntil is until when the
	// pool counts as uneven.
	offered     bool
	unevenUntil time.Time
	share       fairShare
	// slots, rate (requests per second) and inFlight are sums over the usable upstreams as of the last
	// report; zero before it.
	slots    int
	rate     float64
	inFlight float64
	// target is how many requests all gateways together aim to have at the upstreams of a full pool.
	target float64
	// shared is set while each gateway keeps to its share.
	shared bool
}

// markUneven records that an upstream has reported its load or rejected a request.
func (p *poolRoom) markUneven(now time.Time) {
	if until := now.Add(unevenFor); until.After(p.unevenUntil) {
		p.unevenUntil = until
	}
}

// applies reports whether the room is divided: the pool is uneven and its load is known.
func (p *poolRoom) applies(now time.Time) bool { return now.Before(p.unevenUntil) && p.slots > 0 }

// load returns the requests in flight as a fraction of those in a full pool.
func (p *poolRoom) load() float64 { return p.inFlight / p.target }

// shareLoad returns the requests in flight as the share counts them, which aims at targetLoad per slot.
func (p *poolRoom) shareLoad() float64 { return p.inFlight + targetLoad*float64(p.slots) - p.target }

// allows reports whether this gateway may send one more request to the pool.
func (p *poolRoom) allows(now time.Time) bool {
	if !p.applies(now) || !p.shared {
		return true
	}
	return p.share.allows(now, p.rate, p.slots, p.shareLoad())
}

// recordOutcome records how a request ended. A request that has used no room is credited to the share.
// rejected is set if the upstream had no room for it.
func (p *poolRoom) recordOutcome(now time.Time, o Outcome, rejected bool) {
	if rejected {
		p.markUneven(now)
	}
	switch o {
	case Overloaded, ConnectionBroken, NotOwner, Unreachable, ConnectionRefused:
		p.share.credit++
	}
}

// learnRejections marks the pool as uneven if one of its upstreams has rejected a request of another
// gateway.
func (s *Service) learnRejections(now time.Time, rejected map[string]time.Duration) {
	for id, age := range rejected {
		if s.listed[id] != nil && age >= 0 && age <= MaxRejectionAge {
			s.pool.markUneven(now.Add(-age))
		}
	}
}

// updatePool sums up the load of the pool after a report.
func (s *Service) updatePool(now time.Time) {
	p := &s.pool
	if p.slots == 0 {
		// Nothing was saved up while the room was not divided.
		p.share.credit, p.share.creditAt = 0, now
	}
	wasShared := p.shared
	p.slots, p.rate, p.inFlight, p.target, p.shared = 0, 0, 0, 0, false
	if !p.offered || !now.Before(p.unevenUntil) {
		return
	}
	for _, l := range s.ordered {
		rate := s.throughputOf(now, l)
		if rate == 0 {
			continue
		}
		inFlight := s.lastReport.InFlight[l.ID]
		if l.state != nil {
			inFlight += l.state.activeInFlight()
		}
		p.slots += l.Slots
		p.rate += rate
		p.target += s.targetOf(now, l)
		// One upstream that is lost or reports too much must not hold back requests for the others.
		p.inFlight += min(inFlight, maxInFlightPerSlot*float64(l.Slots))
	}
	p.shared = p.load() >= sharedLoad || wasShared && p.load() >= unsharedLoad && s.room.Overloaded(now)
	p.share.applyReport(now, shareReport{rate: p.rate, slots: p.slots, fraction: s.demandFraction, inFlight: p.shareLoad()})
}

// targetOf returns how many requests all gateways together aim to have at an upstream of a full pool.
func (s *Service) targetOf(now time.Time, l *listing) float64 {
	perSlot := targetLoad
	if l.state != nil {
		perSlot = min(perSlot, l.state.rejections.boundPerSlot(now))
	}
	return perSlot * float64(l.Slots)
}

// roomOf returns the weight of an upstream among drawn ones: how many requests all gateways together
// may send there until the next report, less if they would take long.
func (s *Service) roomOf(now time.Time, u *Upstream) float64 {
	inFlight := u.totalInFlight(now)
	room := max(min(targetLoad, u.rejections.boundPerSlot(now))*float64(u.Slots)-inFlight, 0) + drawHorizon.Seconds()*u.throughput(now, s.typicalWorkTime)
	delay := u.expectedDelayBehind(now, inFlight, s.typicalWorkTime, s.routes.Mix())
	return room * float64(s.typicalWorkTime) / float64(max(delay, minWorkTime))
}

// drawUpstream returns one of a few upstreams drawn at random, with odds in proportion to their room, or
// nil. Gateways that have the same reports choose differently this way.
func (s *Service) drawUpstream(now time.Time, req *Request) *Upstream {
	var d draw
	s.drawFrom(now, req, s.ranked.local, 1, &d)
	s.drawFrom(now, req, s.ranked.near, otherDomainWeight, &d)
	if d.chosen == nil {
		s.drawFrom(now, req, s.ranked.far, 1, &d)
	}
	return d.chosen
}

// draw is the upstream drawn so far and the sum of the weights.
type draw struct {
	chosen *Upstream
	total  float64
}

// drawFrom draws upstreams of a list.
func (s *Service) drawFrom(now time.Time, req *Request, list []*listing, weight float64, d *draw) {
	n := min(drawRange, len(list))
	for range min(draws, n) {
		u := s.stateOf(now, list[s.rng.IntN(n)])
		u.usedAt = now
		if !s.eligible(now, u, req) || now.Before(u.overloadedUntil) {
			continue
		}
		w := weight * s.roomOf(now, u)
		d.total += w
		if s.rng.Float64()*d.total < w {
			d.chosen = u
		}
	}
}
