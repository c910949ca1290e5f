package dispatch

import "time"

// This file decides whether an upstream may get requests at the moment, by what it and operators
// have said of it. Each send asks it when the upstream is chosen and again right before its bytes
// go out: a request may have waited or a connection been opened meanwhile.

// closed returns why the upstream gets no request that any other may run as well, or zero.
func (s *Service) closed(u *Upstream) Refusal {
	switch {
	case u.evacuated():
		return Evacuated
	case u.leaves():
		return Leaving
	}
	return 0
}

// closedOwner is the same for an owner: nobody stands in for it before its keys have moved, so it
// gets requests for a moment more.
func (s *Service) closedOwner(now time.Time, u *Upstream) Refusal {
	switch {
	case u.evacuated() && now.Sub(u.evacuatedSince) > evacuationDrain:
		return Evacuated
	case u.leaves() && now.Sub(u.leavingSince) > s.drain:
		return Leaving
	}
	return 0
}

// MaySend reports whether a request that was granted may go to its upstream now.
func (s *Service) MaySend(now time.Time, g Grant) bool {
	u := s.granted(g)
	return u == nil || s.closedOwner(now, u) == 0
}
