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
	rightsAtOnce = 2
	// ownerShare is the part of the bound at which an owner that warms up gets requests,
	// evenly from all gateways. They do not know of each other: at a mean of 4.2 in a second
	// more than the 16.7 of the bound are seen three times in a million seconds.
	ownerShare = 0.25
	// entryAge is how old what an upstream's entry says may be: a heartbeat, and a watch
	// that hears of a compaction only the next time.
	entryAge = 2 * time.Second
)

// WarmUp bounds the requests to upstreams of a service while they warm up.
type WarmUp struct {
	// Bound is how many may arrive at one upstream in any second, from all gateways; zero
	// when they are not bounded.
	Bound float64
	// Owners says that each key has one owner: then requests cannot go elsewhere, and each
	// gateway gets an even part of a part of the bound instead of one gateway the right.
	Owners bool
}

// pace is the least time between two requests from this gateway to a warming upstream.
func (s *Service) pace() time.Duration {
	rate := max(s.warmUp.Bound/rightsAtOnce-1, s.warmUp.Bound/(2*rightsAtOnce))
	if s.warmUp.Owners {
		rate = ownerShare * s.warmUp.Bound / float64(max(s.gateways, firstGateways))
	}
	return time.Duration(float64(time.Second) / rate)
}

// SetWarmUp takes over the bound.
func (s *Service) SetWarmUp(now time.Time, w WarmUp) {
	if s.warmUp == w {
		return
	}
	s.warmUp = w
	for _, u := range s.order {
		s.noteWarming(now, u)
	}
	s.updateRate(now)
}

// bounded reports whether the upstream warms up and its requests are bounded.
func (s *Service) bounded(now time.Time, u *Upstream) bool {
	return s.warmUp.Bound > 0 && now.Before(u.warmUntil)
}

// noteEntry takes over what the upstream's entry says now.
func (s *Service) noteEntry(now time.Time, u *Upstream, one instances.Instance) {
	news := one.Revision != u.Revision
	u.Instance = one
	if !news {
		return
	}
	u.warmUntil = later(u.doubtUntil, now.Add(one.WarmUp))
	s.noteWarming(now, u)
}

// doubt takes an upstream for one that warms up until its entry would have said so: it was
// left alone for a while, as its failure domain was evacuated, and may have started again.
func (s *Service) doubt(now time.Time, u *Upstream) {
	u.doubtUntil = now.Add(entryAge)
	u.warmUntil = later(u.warmUntil, u.doubtUntil)
	s.noteWarming(now, u)
}

// noteWarming draws when this gateway's first request may go to an owner that warms up:
// else the first ones of all gateways would come at once.
func (s *Service) noteWarming(now time.Time, u *Upstream) {
	if s.warmUp.Owners && s.bounded(now, u) && u.nextStart.Before(now) {
		u.nextStart = now.Add(time.Duration(s.rng.Float64() * float64(s.pace())))
	}
}

// mayStart reports whether this gateway may send a request to the upstream as far as it
// warms up.
func (s *Service) mayStart(now time.Time, u *Upstream) bool {
	if !s.bounded(now, u) {
		return true
	}
	if now.Before(u.nextStart) {
		return false
	}
	return s.warmUp.Owners && s.gateways > 0 || now.Before(u.rightUntil)
}

// started notes that a request is sent to the upstream.
func (s *Service) started(now time.Time, u *Upstream) {
	if s.bounded(now, u) {
		u.nextStart = now.Add(s.pace())
	}
}

// takeRights takes over until when this gateway may send to upstreams that warm up.
func (s *Service) takeRights(rights map[string]time.Time) {
	for _, u := range s.entrusted {
		u.rightUntil = time.Time{}
	}
	s.entrusted = s.entrusted[:0]
	if len(rights) == 0 {
		return
	}
	for _, u := range s.order {
		u.rightUntil = rights[u.ID]
		if !u.rightUntil.IsZero() {
			s.entrusted = append(s.entrusted, u)
		}
	}
}

// compareEntrusted looks at the upstreams that this gateway alone sends to while they warm
// up. They are slow: a request goes there when its answer would be on time.
func (s *Service) compareEntrusted(now time.Time, w *Want, c *choice) {
	for _, u := range s.entrusted {
		if !s.bounded(now, u) || u.limit != nil && w.heldBack || excluded(w, u.ID) || !s.usable(now, u) || !u.room(now, s.typical, w.Objective, false) {
			continue
		}
		if u.delay(now, s.typical) <= w.Objective {
			c.consider(u, u.score(now, s.typical, w.Objective, s.domain, s.rng))
		}
	}
}

// Warming returns the upstreams whose requests are bounded as they warm up.
func (s *Service) Warming(now time.Time) []instances.Instance {
	var out []instances.Instance
	for _, u := range s.order {
		if s.bounded(now, u) {
			out = append(out, u.Instance)
		}
	}
	return out
}

// NeedRights returns those of them to which a gateway sends by a right only.
func (s *Service) NeedRights(now time.Time) []instances.Instance {
	if s.warmUp.Owners {
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
