package dispatch

import "time"

// This file keeps requests away from upstreams in evacuated failure domains.

// evacuationGrace is how long an owner in an evacuated failure domain still gets requests for keys
// that have not moved yet. Most moves end within it. The operator allows a few seconds in total, of
// which learning of the evacuation may already have taken one and a half.
const evacuationGrace = time.Second

// SetEvacuated sets which failure domains are evacuated. Upstreams there get no more requests,
// except that owners get those for keys that have not moved yet during evacuationGrace.
func (s *Service) SetEvacuated(now time.Time, evacuated func(domain string) bool) {
	s.isEvacuated = evacuated
	for _, l := range s.ordered {
		switch {
		case l.state != nil:
			s.updateEvacuated(now, l.state)
		case evacuated(l.Domain):
			l.state = s.newState(now, l)
			l.state.evacuatedSince = now
		}
	}
	s.rateAt = time.Time{}
	s.grantWaiting(now)
}

// updateEvacuated records when the upstream's failure domain was first seen as evacuated, or that
// its evacuation has ended.
func (s *Service) updateEvacuated(now time.Time, u *Upstream) {
	switch evacuated := s.isEvacuated(u.Domain); {
	case evacuated && !u.isEvacuated():
		u.evacuatedSince = now
	case !evacuated && u.isEvacuated():
		u.evacuatedSince = time.Time{}
		s.evacuationEndedAt[u.Domain] = now
		s.assumeWarmUp(now, u)
	}
}

// isEvacuated reports whether the upstream's failure domain is evacuated.
func (u *Upstream) isEvacuated() bool { return !u.evacuatedSince.IsZero() }
