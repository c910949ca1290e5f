package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
)

// This file takes over what upstreams say of themselves to this gateway.

// ApplyNotice takes over what the answer to a request says of its upstream, before the end of the
// request is noted.
func (s *Service) ApplyNotice(now time.Time, g Grant, n notice.Notice) notice.Change {
	u := s.grantedUpstream(g)
	if u == nil {
		return s.unlisted.Apply(now, g.Instance.ID, g.Instance.Incarnation(), n)
	}
	c := u.said.Apply(now, n)
	if c.StartedLeaving {
		s.updateLeaving(now, u)
	}
	u.proving = u.proving || n.Rest > 0
	return c
}

// grantedUpstream returns the upstream of a grant, or nil when it is not there any more.
func (s *Service) grantedUpstream(g Grant) *Upstream {
	u := s.upstreams[g.Instance.ID]
	if u == nil || u.Incarnation().Other(g.Instance.Incarnation()) {
		return nil
	}
	return u
}

// updateLeaving notes since when it is known, by whomever, that the upstream leaves. An entry and an
// operator may take that back, what its answers have said stands.
func (s *Service) updateLeaving(now time.Time, u *Upstream) {
	switch {
	case !u.isLeaving():
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero() && u.said.Leaving():
		// It may have said so before it was not listed for a while.
		u.leavingSince = u.said.LeavingSince
	case u.leavingSince.IsZero():
		u.leavingSince = now
	}
}

// isLeaving reports whether the upstream is about to end, as its entry or its answers say.
func (u *Upstream) isLeaving() bool { return u.Leaving || u.said.Leaving() }

// CountNotices counts the upstreams that have said that they leave, and those that rest.
func (s *Service) CountNotices(now time.Time) (leaving, resting int) {
	for _, u := range s.order {
		if u.said.Leaving() {
			leaving++
		}
		if u.said.Resting(now) {
			resting++
		}
	}
	return leaving, resting
}

// NoticeState returns what the upstream of a grant has said of itself.
func (s *Service) NoticeState(g Grant) notice.State {
	if u := s.grantedUpstream(g); u != nil {
		return u.said
	}
	return notice.State{}
}
