package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/quota"
)

// This file keeps all gateways together within the limit that an upstream in need names. Each
// request is judged once: one that the limit holds back goes to another upstream, or, if it is for
// the upstream's keys, is refused at once. Judged again and again while it waits it would get
// through in the end.

// Limit is what is known of an upstream's limit.
type Limit struct {
	// PerSecond is how many requests a second it takes from all gateways together.
	PerSecond float64
	// OthersDemand is how many requests a second the other gateways are asked for that it would get.
	// It is negative when that is not known.
	OthersDemand float64
}

// limitPropagation is how long after a gateway has heard of a limit what the others are asked for is
// not known whole yet: they have to hear of it as well, and to report twice.
const limitPropagation = 600 * time.Millisecond

// upstreamLimit is an upstream's upstreamLimit here.
type upstreamLimit struct {
	quota.Rate
	// othersDemand is what the other gateways are asked for; negative when that is not known.
	othersDemand float64
	// sampler says which of the requests here are let through.
	sampler quota.Sampler
}

// newUpstreamLimit returns a limit that is heard of first now.
func (s *Service) newUpstreamLimit(now time.Time, one Limit) *upstreamLimit {
	return &upstreamLimit{
		Rate:         quota.Rate{PerSecond: one.PerSecond, Since: now},
		othersDemand: one.OthersDemand,
		sampler:      quota.NewSampler(s.rng.Float64(), s.rng.Float64()),
	}
}

// SetLimits takes over the limits that upstreams name, by ID. Those not listed name none.
func (s *Service) SetLimits(now time.Time, limits map[string]Limit) {
	for _, u := range s.order {
		one, ok := limits[u.ID]
		switch {
		case !ok:
			u.limit = nil
		case u.limit == nil:
			u.limit = s.newUpstreamLimit(now, one)
		default:
			u.limit.PerSecond, u.limit.othersDemand = one.PerSecond, one.OthersDemand
		}
	}
}

// LimitedDemand measures how many requests a second this gateway is asked for that each upstream would
// get, and returns it of those that name a limit, by ID. It is to be called for each report.
func (s *Service) LimitedDemand(now time.Time) map[string]float64 {
	var out map[string]float64
	for _, u := range s.order {
		rate := u.wanted.Rate(now)
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

// totalDemand is how many requests a second all gateways are asked for that the upstream would
// get. Before it is known the others are taken to be asked for as many as this one each.
func (u *Upstream) totalDemand(now time.Time) float64 {
	mine := u.wanted.Last()
	alike := mine * float64(u.gateways)
	switch {
	case u.limit.othersDemand < 0:
		return alike
	case now.Sub(u.limit.Since) < limitPropagation:
		return max(mine+u.limit.othersDemand, alike)
	}
	return mine + u.limit.othersDemand
}

// cappedRate is how much of a rate the upstream cappedRate.
func (u *Upstream) cappedRate(rate float64) float64 {
	if u.limit == nil {
		return rate
	}
	return min(rate, u.limit.PerSecond)
}

// withinLimit reports whether the request may go to the upstream as far as that names a limit.
func (s *Service) withinLimit(now time.Time, w *Want, u *Upstream) bool {
	if u.limit == nil || s.Off.NoNamedLimits || w.admitted == u {
		return true
	}
	if w.heldBack {
		return false
	}
	if u.limit.sampler.Take(u.limit.AdmitFraction(now, u.totalDemand(now)), s.rng.Float64()) {
		w.admitted = u
		return true
	}
	w.heldBack = true
	return false
}

// blockedByLimits reports whether a request that waits is held back by limits, and there is no
// upstream without one that could run it.
func (s *Service) blockedByLimits(now time.Time, w *Want) bool {
	if w.Owner != "" {
		u := s.upstreams[w.Owner]
		return u != nil && !s.withinLimit(now, w, u)
	}
	return w.heldBack && !s.hasUnlimited(now, w)
}

// hasUnlimited reports whether there is an upstream for the request that names no limit.
func (s *Service) hasUnlimited(now time.Time, w *Want) bool {
	for _, u := range s.order {
		if u.limit == nil && s.blockedReason(now, u) == 0 && !excluded(w, u.ID) {
			return true
		}
	}
	return false
}
