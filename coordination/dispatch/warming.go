package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file limits the rate of requests from all gateways together to upstreams that are warming
// up. An upstream that gets more crashes, restarts, warms up and crashes again: a failure that
// sustains itself under normal load.

const (
	// maxConcurrentRights is the maximum number of gateways that may send to a warming upstream
	// at the same time: a second one may be given the right while the first one's right is
	// still on its way. Each gateway paces itself to this fraction of the limit.
	maxConcurrentRights = 2
	// ownerRateShare is the fraction of the limit at which a warming owner gets requests, evenly
	// from all gateways. Gateways do not coordinate here: at a mean of 4.2 requests per second,
	// more than the 16.7 of the limit arrive in three of a million seconds.
	ownerRateShare = 0.25
	// maxEntryAge is how old the content of an upstream's entry may be: one heartbeat, plus a
	// watch that learns of a compaction only with its next attempt.
	maxEntryAge = 2 * time.Second
)

// WarmUp limits the requests to upstreams of a service while they warm up.
type WarmUp struct {
	// MaxPerSecond is how many requests may arrive at one upstream in any second, from all
	// gateways; zero means no limit.
	MaxPerSecond float64
	// Keyed is set if each key has one owner. Requests then cannot go elsewhere, and each gateway
	// gets an equal part of a fraction of the limit, instead of one gateway getting the right to
	// send.
	Keyed bool
}

// sendInterval returns the minimum time between two requests from this gateway to a warming
// upstream.
func (s *Service) sendInterval() time.Duration {
	rate := max(s.warmUp.MaxPerSecond/maxConcurrentRights-1, s.warmUp.MaxPerSecond/(2*maxConcurrentRights))
	if s.warmUp.Keyed {
		rate = ownerRateShare * s.warmUp.MaxPerSecond / float64(max(s.gateways, assumedGateways))
	}
	return time.Duration(float64(time.Second) / rate)
}

// SetWarmUp sets the limit.
func (s *Service) SetWarmUp(now time.Time, w WarmUp) {
	if s.warmUp == w {
		return
	}
	s.warmUp = w
	for _, u := range s.inUse {
		s.scheduleFirstSend(now, u)
	}
	s.rateAt = time.Time{}
}

// warmUpLimited reports whether the upstream is warming up and its requests are limited.
func (s *Service) warmUpLimited(now time.Time, u *Upstream) bool {
	return s.warmUp.MaxPerSecond > 0 && now.Before(u.warmUpUntil)
}

// updateEntry applies the upstream's current entry.
func (s *Service) updateEntry(now time.Time, u *Upstream, instance instances.Instance) {
	changed := instance.Revision != u.Revision
	u.Instance = instance
	if !changed {
		return
	}
	u.warmUpUntil = later(u.assumedWarmUpUntil, now.Add(instance.WarmUp))
	s.scheduleFirstSend(now, u)
}

// assumeWarmUp treats the upstream as warming up until its entry would have shown it. It got no
// requests while its failure domain was evacuated and may have restarted.
func (s *Service) assumeWarmUp(now time.Time, u *Upstream) {
	u.assumedWarmUpUntil = now.Add(maxEntryAge)
	u.warmUpUntil = later(u.warmUpUntil, u.assumedWarmUpUntil)
	s.scheduleFirstSend(now, u)
}

// assumeWarmUpAfterEvacuation does the same for a new state if the evacuation of the upstream's failure
// domain has ended a short time ago.
func (s *Service) assumeWarmUpAfterEvacuation(now time.Time, u *Upstream) {
	ended, ok := s.evacuationEndedAt[u.Domain]
	if !ok || now.Sub(ended) >= maxEntryAge {
		return
	}
	u.assumedWarmUpUntil = ended.Add(maxEntryAge)
	u.warmUpUntil = later(u.warmUpUntil, u.assumedWarmUpUntil)
}

// scheduleFirstSend picks a random time for this gateway's first request to a warming owner.
// Otherwise the first requests of all gateways would arrive at once.
func (s *Service) scheduleFirstSend(now time.Time, u *Upstream) {
	if s.warmUp.Keyed && s.warmUpLimited(now, u) && u.nextSendAt.Before(now) {
		u.nextSendAt = now.Add(time.Duration(s.rng.Float64() * float64(s.sendInterval())))
	}
}

// warmUpAllows reports whether the warm-up limit allows this gateway to send a request to the
// upstream now.
func (s *Service) warmUpAllows(now time.Time, u *Upstream) bool {
	if !s.warmUpLimited(now, u) {
		return true
	}
	if now.Before(u.nextSendAt) {
		return false
	}
	return s.warmUp.Keyed && s.gateways > 0 || now.Before(u.rightUntil)
}

// recordWarmUpSend records that a request is sent to the upstream.
func (s *Service) recordWarmUpSend(now time.Time, u *Upstream) {
	if s.warmUpLimited(now, u) {
		u.nextSendAt = now.Add(s.sendInterval())
	}
}

// applyRights replaces the rights of this gateway to send to warming upstreams.
func (s *Service) applyRights(now time.Time, rights map[string]time.Time) {
	for _, u := range s.warmingWithRight {
		u.rightUntil = time.Time{}
	}
	s.warmingWithRight = s.warmingWithRight[:0]
	for _, id := range slices.Sorted(maps.Keys(rights)) {
		l := s.listed[id]
		switch {
		case l == nil || rights[id].IsZero():
		case l.state == nil:
			// The new state takes its right from the report.
			s.stateOf(now, l)
		default:
			l.state.rightUntil = rights[id]
			s.warmingWithRight = append(s.warmingWithRight, l.state)
		}
	}
}

// considerRightHolders considers the warming upstreams to which only this gateway sends. They are
// slow, so a request goes there only if its response would be on time.
func (s *Service) considerRightHolders(now time.Time, req *Request, c *choice) {
	for _, u := range s.warmingWithRight {
		if !s.warmUpLimited(now, u) || !s.eligible(now, u, req) || !u.hasCapacity(now, s.typicalWorkTime, req, false) {
			continue
		}
		if u.expectedDelay(now, s.typicalWorkTime, req.route.Factor()) <= req.Objective {
			c.consider(u, u.score(now, s.typicalWorkTime, req, s.domain, s.rng))
		}
	}
}

// Warming returns the upstreams whose requests are limited because they warm up.
func (s *Service) Warming(now time.Time) []instances.Instance {
	if s.warmUp.MaxPerSecond <= 0 {
		return nil
	}
	var out []instances.Instance
	for _, l := range s.ordered {
		if now.Before(s.warmUpEnd(l)) {
			out = append(out, *l.Instance)
		}
	}
	return out
}

// warmUpEnd returns when the warm-up of a listed upstream ends.
func (s *Service) warmUpEnd(l *listing) time.Time {
	if l.state != nil {
		return l.state.warmUpUntil
	}
	end := l.changedAt.Add(l.WarmUp)
	if ended, ok := s.evacuationEndedAt[l.Domain]; ok {
		end = later(end, ended.Add(maxEntryAge))
	}
	return end
}

// NeedRights returns the upstreams returned by Warming to which a gateway needs a right to send.
func (s *Service) NeedRights(now time.Time) []instances.Instance {
	if s.warmUp.Keyed {
		return nil
	}
	return s.Warming(now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
