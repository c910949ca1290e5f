package dispatch

import "time"

// This file decides whether an upstream may get requests at the moment, by what it and operators
// have said of it. Each send asks it when the upstream is chosen and again right before its bytes
// go out: a request may have waited or a connection been opened meanwhile.

// blockedReason returns why the upstream gets no request that any other may run as well, or zero.
func (s *Service) blockedReason(now time.Time, u *Upstream) Refusal {
	switch {
	case u.isEvacuated():
		return Evacuated
	case u.isLeaving():
		return Leaving
	case u.said.Resting(now):
		return Resting
	}
	return 0
}

// ownerBlockedReason is the same for an owner: nobody stands in for it before its keys have moved, so it
// gets requests for a moment more when it is to end.
func (s *Service) ownerBlockedReason(now time.Time, u *Upstream) Refusal {
	switch {
	case u.isEvacuated() && now.Sub(u.evacuatedSince) > evacuationGrace:
		return Evacuated
	case u.isLeaving() && now.Sub(u.leavingSince) > s.drain:
		return Leaving
	case u.said.Resting(now):
		return Resting
	}
	return 0
}

// requestBlockedReason returns why there is no upstream to which the request may go, or zero when there is
// one. Those that rest come back by themselves.
func (s *Service) requestBlockedReason(now time.Time, w *Want) Refusal {
	if w.Owner != "" {
		u := s.upstreams[w.Owner]
		if u == nil {
			return NoUpstream
		}
		return s.ownerBlockedReason(now, u)
	}
	reason := NoUpstream
	for _, u := range s.order {
		if excluded(w, u.ID) {
			continue
		}
		switch s.blockedReason(now, u) {
		case 0:
			return 0
		case Resting:
			reason = Resting
		}
	}
	return reason
}

// MaySend reports whether a request that was granted may go to its upstream now. Of one that is not
// listed any more it is not known what stands.
func (s *Service) MaySend(now time.Time, g Grant) bool {
	u := s.grantedUpstream(g)
	return u != nil && s.ownerBlockedReason(now, u) == 0
}

// RestRemaining returns how long it takes until an upstream to which the request may go has rested.
func (s *Service) RestRemaining(now time.Time, w *Want) time.Duration {
	least := time.Duration(0)
	for _, u := range s.order {
		if w.Owner != "" && u.ID != w.Owner || excluded(w, u.ID) || !u.said.Resting(now) {
			continue
		}
		if left := u.said.RestRemaining(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}
