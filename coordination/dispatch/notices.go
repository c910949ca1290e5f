package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
)

// This file applies the notices that upstreams send to this gateway.

// ApplyNotice applies the notice in the response to a request. It must be called before Done for
// that request.
func (s *Service) ApplyNotice(now time.Time, g Grant, n notice.Notice) notice.Change {
	u := s.grantedUpstream(now, g)
	if u == nil {
		return s.unlisted.Apply(now, g.Instance.ID, g.Instance.Incarnation(), n)
	}
	c := u.notices.Apply(now, n)
	if c.StartedLeaving {
		s.updateLeaving(u)
	}
	u.probing = u.probing || n.Rest > 0
	return c
}

// grantedUpstream returns the upstream of a grant, or nil if it is no longer listed or has restarted.
func (s *Service) grantedUpstream(now time.Time, g Grant) *Upstream {
	u := s.upstream(now, g.Instance.ID)
	if u == nil || u.Incarnation().DiffersFrom(g.Instance.Incarnation()) {
		return nil
	}
	return u
}

// updateLeaving records since when the upstream may have been leaving, from any source. Its
// registry entry and operators can revoke that; its own notices cannot be revoked.
func (s *Service) updateLeaving(u *Upstream) {
	switch {
	case !u.isLeaving():
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero() && u.notices.Leaving():
		// The notice may date from before the upstream was missing from the list for a while.
		u.leavingSince = u.notices.LeavingSince
	case u.leavingSince.IsZero():
		u.leavingSince = s.changedSince
	}
}

// isLeaving reports whether the upstream is about to shut down, according to its registry entry or
// its notices.
func (u *Upstream) isLeaving() bool { return u.Leaving || u.notices.Leaving() }

// CountNotices returns how many upstreams have announced their shutdown and how many are resting.
func (s *Service) CountNotices(now time.Time) (leaving, resting int) {
	for _, u := range s.inUse {
		if u.notices.Leaving() {
			leaving++
		}
		if u.notices.Resting(now) {
			resting++
		}
	}
	return leaving, resting
}

// NoticeState returns the notice state of a grant's upstream. It is the zero value if the upstream
// is no longer listed or has restarted.
func (s *Service) NoticeState(now time.Time, g Grant) notice.State {
	if u := s.grantedUpstream(now, g); u != nil {
		return u.notices
	}
	return notice.State{}
}
