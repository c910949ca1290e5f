package dispatch

import "time"

// waitRefusal reports why it makes no sense to wait behind so many, or zero.
func (s *Service) waitRefusal(now time.Time, w *Want, u *Upstream, ahead int) Refusal {
	if r := s.requestBlockedReason(now, w); r != 0 {
		return r
	}
	if !now.Before(w.Until) {
		return NoRoom
	}
	if s.blockedByLimits(now, w) {
		return Limited
	}
	if u != nil && !s.mayStart(now, u) && u.nextStart.After(w.Until) {
		return WarmingUp
	}
	if now.Add(s.typical / 2).After(w.Deadline) {
		return TooLate
	}
	wait := s.expectedWait(now, w, u, ahead)
	if wait > w.Until.Sub(now) {
		return NoRoom
	}
	if !w.Goal.IsZero() && !s.Off.NoLikelihood && now.Add(wait+s.likelyRunTime(now, u)).After(w.Goal) {
		return NoRoom
	}
	return 0
}

// likelyRunTime is within what time an upstream likely answers a request that has waited:
// the expected time and one mean run more, as work times have tails: by the expected time
// alone, half of those who waited longest are late.
func (s *Service) likelyRunTime(now time.Time, u *Upstream) time.Duration {
	if u == nil {
		return 2 * s.typical
	}
	expected := u.delayBehind(now, min(u.inflight(now), roomTarget*float64(u.Slots)), s.typical)
	return expected + u.workTime(now, s.typical)
}

// expectedWait estimates how long the request would wait behind those that go
// first: for this gateway's part of what its upstreams end.
func (s *Service) expectedWait(now time.Time, w *Want, u *Upstream, ahead int) time.Duration {
	if u == nil {
		return time.Duration(float64(ahead) / max(s.part*s.rate, leastRate) * float64(time.Second))
	}
	rate := u.rate(now, s.typical)
	u.share.refill(now, rate)
	return u.share.wait(float64(ahead+1), rate)
}

// Withdraw takes a waiting request out. It reports false when the verdict was
// given already.
func (s *Service) Withdraw(w *Want) bool {
	if w.gone {
		return false
	}
	w.gone = true
	s.waiting--
	if u := s.upstreams[w.Owner]; u != nil {
		u.queue.remove(w)
		return true
	}
	s.queue.remove(w)
	return true
}

// Tick refuses requests that have waited too long and lets others through
// whose upstreams have room again.
func (s *Service) Tick(now time.Time) {
	s.updateRate(now)
	if s.waiting == 0 {
		return
	}
	s.grantWaiting(now)
	late := func(w *Want) { s.refuse(w, s.expiryReason(now, w)) }
	for _, u := range s.order {
		if r := s.ownerBlockedReason(now, u); r != 0 {
			s.refuseAll(u, r)
		}
		u.queue.expire(now, late)
	}
	s.refuseUnservable(now)
	s.queue.expire(now, late)
}

// refuseUnservable refuses requests that wait for any upstream when there is none to which they may
// go.
func (s *Service) refuseUnservable(now time.Time) {
	if s.queue.size == 0 || s.requestBlockedReason(now, &Want{}) == 0 {
		return
	}
	s.queue.forEach(func(w *Want) (taken, rest bool) {
		s.refuse(w, s.requestBlockedReason(now, w))
		return true, false
	})
}

// refuse gives a waiting request its verdict.
func (s *Service) refuse(w *Want, r Refusal) {
	w.gone = true
	s.waiting--
	w.Verdict(Grant{}, r)
}

// refuseAll refuses what waits for one upstream.
func (s *Service) refuseAll(u *Upstream, r Refusal) {
	u.queue.forEach(func(w *Want) (taken, rest bool) {
		s.refuse(w, r)
		return true, false
	})
}

func (s *Service) expiryReason(now time.Time, w *Want) Refusal {
	if r := s.requestBlockedReason(now, w); r != 0 {
		return r
	}
	return NoRoom
}

// grantWaiting lets through whatever waits and has room.
func (s *Service) grantWaiting(now time.Time) {
	if s.waiting == 0 {
		return
	}
	for _, u := range s.order {
		s.grantFromQueue(now, &u.queue)
	}
	s.grantFromQueue(now, &s.queue)
}

// grantFromQueue lets waiting requests of one queue through, the most important and then the
// oldest first. One that finds no room, though it may go anywhere, ends it.
func (s *Service) grantFromQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	q.forEach(func(w *Want) (taken, rest bool) {
		if s.blockedByLimits(now, w) {
			s.refuse(w, Limited)
			return true, false
		}
		g, ok := s.grant(now, w)
		if !ok {
			return false, len(w.Exclude) == 0
		}
		w.gone = true
		s.waiting--
		w.Verdict(g, 0)
		return true, false
	})
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int { return s.waiting }
