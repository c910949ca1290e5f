package dispatch

import "time"

// This file decides about requests whose owner does not answer. No other upstream can serve them, so they
// wait for it, but not for an owner that is probably lost.

// ownerProbablyLost reports whether an owner that does not respond has been that way for at least as long
// as the request may still wait: it then probably responds too late for the request. A shorter silence is
// not enough, because an upstream that is full may be silent as well.
func (s *Service) ownerProbablyLost(now time.Time, req *Request, u *Upstream) bool {
	if s.ownerResponsive(now, u) {
		return false
	}
	return u.lostFor(now, s.typicalWorkTime) >= req.QueueUntil.Sub(now)
}

// OwnerLost reports whether the upstream has not responded for at least the given time.
func (s *Service) OwnerLost(now time.Time, id string, least time.Duration) bool {
	u := s.existingState(id)
	return u != nil && !s.ownerResponsive(now, u) && u.lostFor(now, s.typicalWorkTime) >= least
}

// lostFor returns for how long the upstream has shown no sign of life although it was asked for one.
func (u *Upstream) lostFor(now time.Time, typicalWorkTime time.Duration) time.Duration {
	lost := time.Duration(0)
	if u.silent(now, typicalWorkTime) {
		lost = u.silenceDuration(now)
	}
	// The backoff doubles with each failed try and ends with the first answer.
	return max(lost, u.backoff)
}

// awaitsProbe reports whether a request to an upstream that has failed more than once is in flight. Others
// wait for its outcome: all that were sent with it would be lost with it. A single failure is no reason: an
// overloaded upstream leaves requests unanswered and answers others.
func (u *Upstream) awaitsProbe() bool { return u.backoff > minBackoff && u.ownInFlight > 0 }

// refuseForLostOwner refuses the requests that wait for the upstream and will probably not be served in
// time.
func (s *Service) refuseForLostOwner(now time.Time, u *Upstream) {
	if u.queue.size == 0 || s.ownerResponsive(now, u) {
		return
	}
	lost := u.lostFor(now, s.typicalWorkTime)
	u.queue.forEach(&s.kinds, func(req *Request) (remove, stop bool) {
		if lost < req.QueueUntil.Sub(req.ReceivedAt) {
			return false, false
		}
		s.refuse(now, req, OwnerUnresponsive)
		return true, false
	})
}
