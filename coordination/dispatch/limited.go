package dispatch

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/quota"
)

// This file keeps all gateways together within the rate limit that an overloaded upstream
// announces. The limit is applied once to each request. A rejected request goes to another upstream
// or, if only this one owns its key, is refused at once. If the limit were applied again and again
// to a waiting request, the request would pass in the end.

// Limit is what is known about the rate limit of an upstream.
type Limit struct {
	// PerSecond is how many requests a second the upstream takes from all gateways together.
	PerSecond float64
	// OthersDemand is how many requests a second the other gateways receive that would go to
	// the upstream. It is negative when unknown.
	OthersDemand float64
}

// limitPropagation is how long after a gateway has learned of a limit the demand of the others may
// be incomplete: they have to learn of the limit as well, and then report twice.
const limitPropagation = 600 * time.Millisecond

// upstreamLimit is the limit of an upstream as this gateway applies it.
type upstreamLimit struct {
	quota.Rate
	// othersDemand is the demand on the other gateways; negative when unknown.
	othersDemand float64
	// sampler selects the requests to admit.
	sampler quota.Sampler
}

// newUpstreamLimit returns a limit that this gateway learns of now.
func (s *Service) newUpstreamLimit(now time.Time, limit Limit) *upstreamLimit {
	return &upstreamLimit{
		Rate:         quota.Rate{PerSecond: limit.PerSecond, Since: now},
		othersDemand: limit.OthersDemand,
		sampler:      quota.NewSampler(s.rng.Float64(), s.rng.Float64()),
	}
}

// SetLimits sets the limits of the upstreams, by ID. Upstreams that are not listed have none.
func (s *Service) SetLimits(now time.Time, limits map[string]Limit) {
	s.limits = limits
	for _, u := range s.inUse {
		limit, ok := limits[u.ID]
		switch {
		case !ok:
			u.limit = nil
		case u.limit == nil:
			u.limit = s.newUpstreamLimit(now, limit)
		default:
			u.limit.PerSecond, u.limit.othersDemand = limit.PerSecond, limit.OthersDemand
		}
	}
	for id, limit := range limits {
		if l := s.listed[id]; l != nil && l.state == nil {
			s.stateOf(now, l).limit = s.newUpstreamLimit(now, limit)
		}
	}
}

// LimitedDemand measures, for each upstream, how many requests a second this gateway receives that
// would go there. It returns the results of the upstreams with a limit, by ID. It must be called
// once per report.
func (s *Service) LimitedDemand(now time.Time) map[string]float64 {
	var out map[string]float64
	for _, u := range s.inUse {
		rate := u.demandMeter.Rate(now)
		if u.limit == nil {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[u.ID] = rate
	}
	return out
}

// totalDemand returns how many requests a second all gateways receive that would go to the
// upstream. While the demand of the others is unknown, each is assumed to have the same demand as
// this gateway.
func (u *Upstream) totalDemand(now time.Time) float64 {
	own := u.demandMeter.Last()
	equal := own * float64(u.gateways)
	switch {
	case u.limit.othersDemand < 0:
		return equal
	case now.Sub(u.limit.Since) < limitPropagation:
		return max(own+u.limit.othersDemand, equal)
	}
	return own + u.limit.othersDemand
}

// cappedRate returns the given rate, or the upstream's limit if that is lower.
func (u *Upstream) cappedRate(rate float64) float64 {
	if u.limit == nil {
		return rate
	}
	return min(rate, u.limit.PerSecond)
}

// withinLimit reports whether the upstream's limit, if any, admits the request. An admission stays
// valid for this upstream. After a rejection the request may only go to upstreams without a limit.
func (s *Service) withinLimit(now time.Time, req *Request, u *Upstream) bool {
	if u.limit == nil || s.Disabled.NoNamedLimits || req.admittedTo == u {
		return true
	}
	if req.heldByLimit {
		return false
	}
	if u.limit.sampler.Take(u.limit.AdmitFraction(now, u.totalDemand(now)), s.rng.Float64()) {
		req.admittedTo = u
		return true
	}
	req.heldByLimit = true
	return false
}

// blockedByLimits reports whether a limit has rejected the waiting request and no upstream without
// a limit can serve it.
func (s *Service) blockedByLimits(now time.Time, req *Request) bool {
	if req.Owner != "" {
		u := s.existingState(req.Owner)
		return u != nil && !s.withinLimit(now, req, u)
	}
	return req.heldByLimit && !s.hasUnlimited(now, req)
}

// hasUnlimited reports whether there is an upstream for the request that has no limit.
func (s *Service) hasUnlimited(now time.Time, req *Request) bool {
	for _, l := range s.ordered {
		if (l.state == nil || l.state.limit == nil) && s.listingBlockedReason(now, l) == 0 && !slices.Contains(req.Exclude, l.ID) {
			return true
		}
	}
	return false
}
