package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
)

// This file takes over what upstreams say of themselves to this gateway.

// Noticed takes over what the answer to a request says of its upstream, before the end of the
// request is noted.
func (s *Service) Noticed(now time.Time, g Grant, n notice.Notice) notice.Change {
	u := s.upstreams[g.Instance.ID]
	if u == nil || u.Incarnation().Other(g.Instance.Incarnation()) {
		return notice.Change{}
	}
	return u.said.Note(now, n)
}

// Said returns what the upstream of a grant has said of itself.
func (s *Service) Said(g Grant) notice.Standing {
	u := s.upstreams[g.Instance.ID]
	if u == nil || u.Incarnation().Other(g.Instance.Incarnation()) {
		return notice.Standing{}
	}
	return u.said
}

// Noticing counts the upstreams that have said that they leave, and those that rest.
func (s *Service) Noticing(now time.Time) (leaving, resting int) {
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
