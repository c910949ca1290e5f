package dispatch

import (
	"math"
	"time"
)

// This file decides about requests for keys that are marked cold: their owner got them without a
// handover and has to load their state. It also learns from runs how much longer they take, and
// whether keys that are marked cold are cold: an owner that got its own keys back may still have
// their state, and nothing states whether one run loads the state of a key.

const (
	// initialColdFactor is how many times as long as usual a request for a cold key is assumed to
	// run before the first one has been answered.
	initialColdFactor = 3
	// initialColdShare is the share of the runs for keys marked cold that are assumed to be cold
	// before the first one has been answered. minColdShare and maxColdShare bound the measured
	// share, so that three runs of a grant outweigh it.
	initialColdShare           = 0.9
	minColdShare, maxColdShare = 0.1, 0.95
	// coldShareWeight is the weight of a new run in the moving average of that share.
	coldShareWeight = 0.05
	// usualFactor is the expected factor below which a request is treated as usual: run times
	// vary by more than that.
	usualFactor = 1.5
	// runTimeSpread is the assumed standard deviation of the logarithm of run times relative to
	// their estimate. It covers the spread of the runs themselves, about 0.5, and the error of the
	// estimate.
	runTimeSpread = 0.7
	// maxRunEvidence bounds what one run counts, as the logarithm of a likelihood ratio: a single
	// run in the tail must not decide. maxColdEvidence bounds their sum, so that a few runs change
	// a judgement that has become wrong.
	maxRunEvidence  = 2
	maxColdEvidence = 6
	// maxColdGrants bounds the grants about which evidence is kept, and coldGrantRetention is how
	// long it is kept. Keys are marked for 5 s.
	maxColdGrants      = 1024
	coldGrantRetention = 10 * time.Second
)

// coldRuns is what the runs for keys marked cold have shown.
type coldRuns struct {
	// factor is how many times as long as usual requests for cold keys run.
	factor float64
	// share is the share of the runs for keys marked cold that were cold.
	share float64
	// grants holds the evidence about each of the owners' grants, by fence.
	grants map[uint64]coldEvidence
}

// coldEvidence is the logarithm of the likelihood ratio of the runs under one grant, cold against
// usual.
type coldEvidence struct {
	sum float64
	at  time.Time
}

func newColdRuns() coldRuns {
	return coldRuns{factor: initialColdFactor, share: initialColdShare, grants: make(map[uint64]coldEvidence)}
}

// probability returns the probability that the keys under a grant are cold.
func (c *coldRuns) probability(fence uint64) float64 {
	odds := c.share / (1 - c.share) * math.Exp(c.grants[fence].sum)
	return odds / (1 + odds)
}

// expectedFactor returns how many times as long as usual a request for a key under a grant is
// expected to run.
func (c *coldRuns) expectedFactor(fence uint64) float64 {
	return 1 + c.probability(fence)*(c.factor-1)
}

// record learns from a run for a key marked cold that took so many times as long as usual.
func (c *coldRuns) record(now time.Time, fence uint64, ratio float64) {
	mean, sample := math.Log(c.factor), math.Log(max(ratio, 1.0/maxSlowness))
	evidence := mean * (sample - mean/2) / (runTimeSpread * runTimeSpread)
	c.addEvidence(now, fence, min(max(evidence, -maxRunEvidence), maxRunEvidence))
	p := c.probability(fence)
	c.factor += p * workTimeWeight * (max(ratio, 1) - c.factor)
	c.share = min(max(c.share+coldShareWeight*(p-c.share), minColdShare), maxColdShare)
}

// addEvidence adds evidence about a grant. Without a fence there is nothing to keep it under.
func (c *coldRuns) addEvidence(now time.Time, fence uint64, evidence float64) {
	known, ok := c.grants[fence]
	if !ok && len(c.grants) >= maxColdGrants {
		c.removeOld(now)
	}
	if fence == 0 || !ok && len(c.grants) >= maxColdGrants {
		return
	}
	c.grants[fence] = coldEvidence{sum: min(max(known.sum+evidence, -maxColdEvidence), maxColdEvidence), at: now}
}

func (c *coldRuns) removeOld(now time.Time) {
	for fence, known := range c.grants {
		if now.Sub(known.at) > coldGrantRetention {
			delete(c.grants, fence)
		}
	}
}

// treatsAsCold reports whether a request is expected to run several times as long as usual.
func (s *Service) treatsAsCold(req *Request) bool {
	return req.Cold && !s.Disabled.NoCold && s.cold.expectedFactor(req.Fence) >= usualFactor
}

// offerCold admits a request for a cold key that would be answered within its objective if the
// owner has room as for any other request. One that would be late in any case gets only what the
// others leave. Neither waits.
func (s *Service) offerCold(now time.Time, req *Request) Decision {
	u := s.upstream(now, req.Owner)
	if u == nil {
		return refused(NoUpstream)
	}
	switch r := s.ownerBlockedReason(now, u); {
	case r != 0:
		return refused(r)
	case !s.ownerResponsive(now, u):
		return refused(OwnerUnresponsive)
	case !s.warmUpAllows(now, u):
		return refused(WarmingUp)
	}
	s.recordArrival(u, req.Objective)
	latency := s.coldLatency(now, u, req)
	if !s.hasRoomForCold(now, u, req, latency) {
		s.coldRefused++
		return refused(ColdKey)
	}
	if !s.withinLimit(now, req, u) {
		return refused(Limited)
	}
	s.recordCallerGrant(now, req)
	g := s.issueGrant(now, u, req)
	g.Cold, g.Fence, g.ExpectedLatency = true, req.Fence, latency
	s.coldGranted++
	return Decision{Grant: g}
}

// coldLatency estimates the time until a request for a cold key is answered: the wait for a slot and
// the longer run.
func (s *Service) coldLatency(now time.Time, u *Upstream, req *Request) time.Duration {
	factor := req.route.Factor()
	work := u.routeWorkTime(now, s.typicalWorkTime, factor)
	wait := u.expectedDelay(now, s.typicalWorkTime, factor) - work
	return wait + time.Duration(s.cold.expectedFactor(req.Fence)*float64(work))
}

// hasRoomForCold reports whether a request for a cold key with the given expected latency may go to
// its owner now.
func (s *Service) hasRoomForCold(now time.Time, u *Upstream, req *Request, latency time.Duration) bool {
	req.startBy = s.startBy(now, req)
	if _, found := u.queue.ahead(&s.kinds, req); found {
		return false
	}
	if u.hasSpareSlot(now) {
		return true
	}
	req.maxDelay = s.kinds.maxDelay(req)
	if req.maxDelay == 0 {
		// A more important kind is granted less often, and a long run would take several of its turns.
		return false
	}
	return latency <= remainingObjective(now, req) && u.hasCapacity(now, s.typicalWorkTime, req, true)
}

// hasSpareSlot reports whether a request that takes a slot for a long time and earns little leaves
// enough slots for the others. The number of slots in use varies by about its square root, so that
// many more are kept free. With four slots, that is while at most one is in use.
func (u *Upstream) hasSpareSlot(now time.Time) bool {
	inFlight := u.totalInFlight(now)
	return inFlight+1+math.Sqrt(inFlight) <= float64(u.Slots)
}

// remainingObjective returns the time within which a response is still on time.
func remainingObjective(now time.Time, req *Request) time.Duration {
	switch {
	case !req.LateAt.IsZero():
		return req.LateAt.Sub(now)
	case !req.ReceivedAt.IsZero():
		return req.ReceivedAt.Add(req.Objective).Sub(now)
	}
	return req.Objective
}

// recordColdRun learns from an answered request for a key that was marked cold.
func (s *Service) recordColdRun(now time.Time, g Grant, u *Upstream) {
	factor := g.route.Factor()
	work := max(u.routeWorkTime(now, s.typicalWorkTime, factor), minWorkTime)
	wait := u.expectedDelayBehind(now, g.InFlight, s.typicalWorkTime, factor) - work
	s.cold.record(now, g.Fence, float64(now.Sub(g.GrantedAt)-wait)/float64(work))
}

// ColdKeys is what a gateway has seen of keys that are marked cold.
type ColdKeys struct {
	// Granted and Refused count the requests that were treated as cold.
	Granted, Refused uint64
	// AsUsual counts the requests for keys marked cold that were treated as usual, because runs
	// had shown that the keys are not cold.
	AsUsual uint64
	// Factor is how many times as long as usual requests for cold keys run. Share is the share of
	// the runs for keys marked cold that were cold.
	Factor, Share float64
}

// ColdKeys returns what this gateway has seen of keys that are marked cold.
func (s *Service) ColdKeys() ColdKeys {
	return ColdKeys{Granted: s.coldGranted, Refused: s.coldRefused, AsUsual: s.coldAsUsual, Factor: s.cold.factor, Share: s.cold.share}
}
