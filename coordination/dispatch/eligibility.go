package dispatch

import (
	"slices"
	"time"
)

// This file decides whether an upstream may get requests at the moment, given its notices, its
// registry entry and the operators' settings. Each send checks this twice, when the upstream is
// chosen and right before the bytes go out: in between, the request may have waited or a connection
// may have been opened.

// blockedReason returns why the upstream gets none of the requests that other upstreams can serve as
// well, or zero if it may get them.
func (s *Service) blockedReason(now time.Time, u *Upstream) Refusal {
	switch {
	case u.isEvacuated():
		return Evacuated
	case u.isLeaving():
		return Leaving
	case u.notices.Resting(now):
		return Resting
	}
	return 0
}

// listingBlockedReason is blockedReason of a listed upstream. Nothing is known that blocks one without a
// state.
func (s *Service) listingBlockedReason(now time.Time, l *listing) Refusal {
	if l.state == nil {
		return 0
	}
	return s.blockedReason(now, l.state)
}

// listingUsable is usable of a listed upstream. One without a state may get requests unless they are
// limited because it warms up: this gateway has no right to send then.
func (s *Service) listingUsable(now time.Time, l *listing) bool {
	if l.state == nil {
		return s.warmUp.MaxPerSecond <= 0 || !now.Before(s.warmUpEnd(l))
	}
	return s.usable(now, l.state)
}

// ownerBlockedReason is like blockedReason, but for requests for keys that the upstream owns. No
// other upstream can serve these before the keys have moved, so a leaving or evacuated owner still
// gets them for a grace period.
func (s *Service) ownerBlockedReason(now time.Time, u *Upstream) Refusal {
	switch {
	case u.isEvacuated() && now.Sub(u.evacuatedSince) > evacuationGrace:
		return Evacuated
	case u.isLeaving() && now.Sub(u.leavingSince) > s.drainTime:
		return Leaving
	case u.notices.Resting(now):
		return Resting
	}
	return 0
}

// requestBlockedReason returns why no upstream may get the request, or zero if there is one. It
// returns Resting if any of them is resting, because those become available again by themselves.
func (s *Service) requestBlockedReason(now time.Time, req *Request) Refusal {
	if req.Owner != "" {
		l := s.listed[req.Owner]
		switch {
		case l == nil:
			return NoUpstream
		case l.state == nil:
			return 0
		}
		return s.ownerBlockedReason(now, l.state)
	}
	reason := NoUpstream
	for _, l := range s.ordered {
		if slices.Contains(req.Exclude, l.ID) {
			continue
		}
		switch s.listingBlockedReason(now, l) {
		case 0:
			return 0
		case Resting:
			reason = Resting
		}
	}
	return reason
}

// MaySend reports whether a request with a grant may go to its upstream now. It returns false for an
// upstream that is no longer listed, because that one's state is unknown.
func (s *Service) MaySend(now time.Time, g Grant) bool {
	u := s.grantedUpstream(now, g)
	return u != nil && s.ownerBlockedReason(now, u) == 0
}

// RestRemaining returns the time until the first resting upstream that can serve the request ends
// its rest, or zero if none is resting.
func (s *Service) RestRemaining(now time.Time, req *Request) time.Duration {
	least := time.Duration(0)
	for _, u := range s.inUse {
		if req.Owner != "" && u.ID != req.Owner || slices.Contains(req.Exclude, u.ID) || !u.notices.Resting(now) {
			continue
		}
		if left := u.notices.RestRemaining(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}
