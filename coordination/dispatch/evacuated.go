package dispatch

import "time"

// This file keeps requests from upstreams in failure domains that are evacuated.

// evacuationGrace is how long an owner in an evacuated failure domain still gets requests
// for keys that have not moved yet: most moves end within it, and the operator allows some
// seconds, of which the news may have taken one and a half.
const evacuationGrace = time.Second

// SetEvacuated takes over which failure domains are evacuated. Upstreams there get nothing
// more, but owners for a moment the requests for keys that have not moved yet.
func (s *Service) SetEvacuated(now time.Time, evacuated func(domain string) bool) {
	s.evacuated = evacuated
	for _, u := range s.order {
		s.updateEvacuated(now, u)
	}
	s.updateRate(now)
	s.grantWaiting(now)
}

func (s *Service) updateEvacuated(now time.Time, u *Upstream) {
	switch evacuated := s.evacuated(u.Domain); {
	case evacuated && !u.isEvacuated():
		u.evacuatedSince = now
	case !evacuated && u.isEvacuated():
		u.evacuatedSince = time.Time{}
		s.doubt(now, u)
	}
}

// isEvacuated reports whether the upstream's failure domain is isEvacuated.
func (u *Upstream) isEvacuated() bool { return !u.evacuatedSince.IsZero() }
