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
	// Wanted is how many requests a second the other gateways are asked for that it would get.
	// It is negative when that is not known.
	Wanted float64
}

// heardByAll is how long after a gateway has heard of a limit what the others are asked for is
// not known whole yet: they have to hear of it as well, and to report twice.
const heardByAll = 600 * time.Millisecond

// limit is an upstream's limit here.
type limit struct {
	quota.Rate
	// others is what the other gateways are asked for; negative when that is not known.
	others float64
	// turn says which of the requests here are let through.
	turn quota.Sampler
}

// newLimit returns a limit that is heard of first now.
func (s *Service) newLimit(now time.Time, one Limit) *limit {
	return &limit{
		Rate:   quota.Rate{PerSecond: one.PerSecond, Since: now},
		others: one.Wanted,
		turn:   quota.NewSampler(s.rng.Float64(), s.rng.Float64()),
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
			u.limit = s.newLimit(now, one)
		default:
			u.limit.PerSecond, u.limit.others = one.PerSecond, one.Wanted
		}
	}
}

// Wanted measures how many requests a second this gateway is asked for that each upstream would
// get, and returns it of those that name a limit, by ID. It is to be called for each report.
func (s *Service) Wanted(now time.Time) map[string]float64 {
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

// wantedByAll is how many requests a second all gateways are asked for that the upstream would
// get. Before it is known the others are taken to be asked for as many as this one each.
func (u *Upstream) wantedByAll(now time.Time) float64 {
	mine := u.wanted.Last()
	alike := mine * float64(u.gateways)
	switch {
	case u.limit.others < 0:
		return alike
	case now.Sub(u.limit.Since) < heardByAll:
		return max(mine+u.limit.others, alike)
	}
	return mine + u.limit.others
}

// takes is how much of a rate the upstream takes.
func (u *Upstream) takes(rate float64) float64 {
	if u.limit == nil {
		return rate
	}
	return min(rate, u.limit.PerSecond)
}

// admits reports whether the request may go to the upstream as far as that names a limit.
func (s *Service) admits(now time.Time, w *Want, u *Upstream) bool {
	if u.limit == nil || s.Off.NoNamedLimits || w.admitted == u {
		return true
	}
	if w.heldBack {
		return false
	}
	if u.limit.turn.Take(u.limit.AdmitFraction(now, u.wantedByAll(now)), s.rng.Float64()) {
		w.admitted = u
		return true
	}
	w.heldBack = true
	return false
}

// limitedOut reports whether a request that waits is held back by limits, and there is no
// upstream without one that could run it.
func (s *Service) limitedOut(now time.Time, w *Want) bool {
	if w.Owner != "" {
		u := s.upstreams[w.Owner]
		return u != nil && !s.admits(now, w, u)
	}
	return w.heldBack && !s.unlimited(now, w)
}

// unlimited reports whether there is an upstream for the request that names no limit.
func (s *Service) unlimited(now time.Time, w *Want) bool {
	for _, u := range s.order {
		if u.limit == nil && s.closed(now, u) == 0 && !excluded(w, u.ID) {
			return true
		}
	}
	return false
}
