package dispatch

import "time"

// This file keeps requests from upstreams in failure domains that are evacuated.

// evacuationDrain is how long an owner in an evacuated failure domain still gets requests
// for keys that have not moved yet: most moves end within it, and the operator allows some
// seconds, of which the news may have taken one and a half.
const evacuationDrain = time.Second

// SetEvacuated takes over which failure domains are evacuated. Upstreams there get nothing
// more, but owners for a moment the requests for keys that have not moved yet.
func (s *Service) SetEvacuated(now time.Time, evacuated func(domain string) bool) {
	s.isEvacuated = evacuated
	for _, u := range s.ordered {
		s.noteEvacuated(now, u)
	}
	s.measure(now)
	s.pumpAll(now)
}

func (s *Service) noteEvacuated(now time.Time, u *Upstream) {
	switch evacuated := s.isEvacuated(u.Domain); {
	case evacuated && !u.evacuated():
		u.evacuatedSince = now
	case !evacuated && u.evacuated():
		u.evacuatedSince = time.Time{}
		s.assumeWarmUp(now, u)
	}
}

// evacuated reports whether the upstream's failure domain is evacuated.
func (u *Upstream) evacuated() bool { return !u.evacuatedSince.IsZero() }
