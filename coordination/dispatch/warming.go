package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file bounds the requests that reach upstreams which warm up, from all gateways
// together. An upstream that gets more breaks, starts again, warms up, and breaks again: a
// failure that keeps itself up under the ordinary load.

const (
	// rightsAtOnce is how many gateways may send to a warming upstream at the same time at
	// worst, when one was named while the former's right was on its way: each paces itself
	// to that part of the bound.
	maxConcurrentRights = 2
	// ownerShare is the part of the bound at which an owner that warms up gets requests,
	// evenly from all gateways. They do not know of each other: at a mean of 4.2 in a second
	// more than the 16.7 of the bound are seen three times in a million seconds.
	ownerRateShare = 0.25
	// entryAge is how old what an upstream's entry says may be: a heartbeat, and a watch
	// that hears of a compaction only the next time.
	maxEntryAge = 2 * time.Second
)

// WarmUp bounds the requests to upstreams of a service while they warm up.
type WarmUp struct {
	// Bound is how many may arrive at one upstream in any second, from all gateways; zero
	// when they are not bounded.
	MaxPerSecond float64
	// Owners says that each key has one owner: then requests cannot go elsewhere, and each
	// gateway gets an even part of a part of the bound instead of one gateway the right.
	Keyed bool
}

// pace is the least time between two requests from this gateway to a warming upstream.
func (s *Service) sendInterval() time.Duration {
	rate := max(s.warmUp.MaxPerSecond/maxConcurrentRights-1, s.warmUp.MaxPerSecond/(2*maxConcurrentRights))
	if s.warmUp.Keyed {
		rate = ownerRateShare * s.warmUp.MaxPerSecond / float64(max(s.gateways, assumedGateways))
	}
	return time.Duration(float64(time.Second) / rate)
}

// SetWarmUp takes over the bound.
func (s *Service) SetWarmUp(now time.Time, w WarmUp) {
	if s.warmUp == w {
		return
	}
	s.warmUp = w
	for _, u := range s.ordered {
		s.scheduleFirstSend(now, u)
	}
	s.measure(now)
}

// bounded reports whether the upstream warms up and its requests are bounded.
func (s *Service) warmUpLimited(now time.Time, u *Upstream) bool {
	return s.warmUp.MaxPerSecond > 0 && now.Before(u.warmUpUntil)
}

// noteEntry takes over what the upstream's entry says now.
func (s *Service) updateEntry(now time.Time, u *Upstream, instance instances.Instance) {
	changed := instance.Revision != u.Revision
	u.Instance = instance
	if !changed {
		return
	}
	u.warmUpUntil = later(u.assumedWarmUpUntil, now.Add(instance.WarmUp))
	s.scheduleFirstSend(now, u)
}

// doubt takes an upstream for one that warms up until its entry would have said so: it was
// left alone for a while, as its failure domain was evacuated, and may have started again.
func (s *Service) assumeWarmUp(now time.Time, u *Upstream) {
	u.assumedWarmUpUntil = now.Add(maxEntryAge)
	u.warmUpUntil = later(u.warmUpUntil, u.assumedWarmUpUntil)
	s.scheduleFirstSend(now, u)
}

// noteWarming draws when this gateway's first request may go to an owner that warms up:
// else the first ones of all gateways would come at once.
func (s *Service) scheduleFirstSend(now time.Time, u *Upstream) {
	if s.warmUp.Keyed && s.warmUpLimited(now, u) && u.nextSendAt.Before(now) {
		u.nextSendAt = now.Add(time.Duration(s.rng.Float64() * float64(s.sendInterval())))
	}
}

// mayStart reports whether this gateway may send a request to the upstream as far as it
// warms up.
func (s *Service) warmUpAllows(now time.Time, u *Upstream) bool {
	if !s.warmUpLimited(now, u) {
		return true
	}
	if now.Before(u.nextSendAt) {
		return false
	}
	return s.warmUp.Keyed && s.gateways > 0 || now.Before(u.rightUntil)
}

// started notes that a request is sent to the upstream.
func (s *Service) recordWarmUpSend(now time.Time, u *Upstream) {
	if s.warmUpLimited(now, u) {
		u.nextSendAt = now.Add(s.sendInterval())
	}
}

// takeRights takes over until when this gateway may send to upstreams that warm up.
func (s *Service) applyRights(rights map[string]time.Time) {
	for _, u := range s.warmingWithRight {
		u.rightUntil = time.Time{}
	}
	s.warmingWithRight = s.warmingWithRight[:0]
	if len(rights) == 0 {
		return
	}
	for _, u := range s.ordered {
		u.rightUntil = rights[u.ID]
		if !u.rightUntil.IsZero() {
			s.warmingWithRight = append(s.warmingWithRight, u)
		}
	}
}

// compareEntrusted looks at the upstreams that this gateway alone sends to while they warm
// up. They are slow: a request goes there when its answer would be on time.
func (s *Service) compareWarming(now time.Time, req *Request, c *choice) {
	for _, u := range s.warmingWithRight {
		if !s.warmUpLimited(now, u) || u.limit != nil && req.heldByLimit || isExcluded(req, u.ID) || !s.usable(now, u) || !u.hasCapacity(now, s.typicalWorkTime, req.Objective, false) {
			continue
		}
		if u.expectedDelay(now, s.typicalWorkTime) <= req.Objective {
			c.offer(u, u.score(now, s.typicalWorkTime, req.Objective, s.domain, s.rng))
		}
	}
}

// Warming returns the upstreams whose requests are bounded as they warm up.
func (s *Service) Warming(now time.Time) []instances.Instance {
	var out []instances.Instance
	for _, u := range s.ordered {
		if s.warmUpLimited(now, u) {
			out = append(out, u.Instance)
		}
	}
	return out
}

// NeedRights returns those of them to which a gateway sends by a right only.
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
