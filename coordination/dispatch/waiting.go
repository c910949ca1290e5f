package dispatch

import "time"

// hopeless reports why it makes no sense to wait behind so many, or zero.
func (s *Service) hopeless(now time.Time, w *Request, u *Upstream, ahead int) Refusal {
	if r := s.closedAll(now, w); r != 0 {
		return r
	}
	if !now.Before(w.QueueUntil) {
		return NoCapacity
	}
	if s.limitedOut(now, w) {
		return Limited
	}
	if u != nil && !s.warmUpAllows(now, u) && u.nextSendAt.After(w.QueueUntil) {
		return WarmingUp
	}
	if now.Add(s.typicalWorkTime / 2).After(w.Deadline) {
		return TooLate
	}
	wait := s.expectedWait(now, w, u, ahead)
	if wait > w.QueueUntil.Sub(now) {
		return NoCapacity
	}
	if !w.LateAt.IsZero() && !s.Disabled.NoLikelihood && now.Add(wait+s.likelyRun(now, u)).After(w.LateAt) {
		return NoCapacity
	}
	return 0
}

// likelyRun is within what time an upstream likely answers a request that has waited:
// the expected time and one mean run more, as work times have tails: by the expected time
// alone, half of those who waited longest are late.
func (s *Service) likelyRun(now time.Time, u *Upstream) time.Duration {
	if u == nil {
		return 2 * s.typicalWorkTime
	}
	expected := u.expectedDelayBehind(now, min(u.totalInFlight(now), targetLoad*float64(u.Slots)), s.typicalWorkTime)
	return expected + u.currentWorkTime(now, s.typicalWorkTime)
}

// expectedWait estimates how long the request would wait behind those that go
// first: for this gateway's part of what its upstreams end.
func (s *Service) expectedWait(now time.Time, w *Request, u *Upstream, ahead int) time.Duration {
	if u == nil {
		return time.Duration(float64(ahead) / max(s.demandFraction*s.totalThroughput, minRate) * float64(time.Second))
	}
	rate := u.throughput(now, s.typicalWorkTime)
	u.share.refill(now, rate)
	return u.share.waitTime(float64(ahead+1), rate)
}

// Withdraw takes a waiting request out. It reports false when the verdict was
// given already.
func (s *Service) Withdraw(w *Request) bool {
	if w.dequeued {
		return false
	}
	w.dequeued = true
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
	s.measure(now)
	if s.waiting == 0 {
		return
	}
	s.pumpAll(now)
	late := func(w *Request) { s.refuse(w, s.lateReason(now, w)) }
	for _, u := range s.ordered {
		if r := s.closedOwner(now, u); r != 0 {
			s.refuseAll(u, r)
		}
		u.queue.late(now, late)
	}
	s.refuseHopeless(now)
	s.queue.late(now, late)
}

// refuseHopeless refuses requests that wait for any upstream when there is none to which they may
// go.
func (s *Service) refuseHopeless(now time.Time) {
	if s.queue.size == 0 || s.closedAll(now, &Request{}) == 0 {
		return
	}
	s.queue.each(func(w *Request) (taken, rest bool) {
		s.refuse(w, s.closedAll(now, w))
		return true, false
	})
}

// refuse gives a waiting request its verdict.
func (s *Service) refuse(w *Request, r Refusal) {
	w.dequeued = true
	s.waiting--
	w.OnDecision(Grant{}, r)
}

// refuseAll refuses what waits for one upstream.
func (s *Service) refuseAll(u *Upstream, r Refusal) {
	u.queue.each(func(w *Request) (taken, rest bool) {
		s.refuse(w, r)
		return true, false
	})
}

func (s *Service) lateReason(now time.Time, w *Request) Refusal {
	if r := s.closedAll(now, w); r != 0 {
		return r
	}
	return NoCapacity
}

// pumpAll lets through whatever waits and has room.
func (s *Service) pumpAll(now time.Time) {
	if s.waiting == 0 {
		return
	}
	for _, u := range s.ordered {
		s.pump(now, &u.queue)
	}
	s.pump(now, &s.queue)
}

// pump lets waiting requests of one queue through, the most important and then the
// oldest first. One that finds no room, though it may go anywhere, ends it.
func (s *Service) pump(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	q.each(func(w *Request) (taken, rest bool) {
		if s.limitedOut(now, w) {
			s.refuse(w, Limited)
			return true, false
		}
		g, ok := s.tryGrant(now, w)
		if !ok {
			return false, len(w.Exclude) == 0
		}
		w.dequeued = true
		s.waiting--
		w.OnDecision(g, 0)
		return true, false
	})
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int { return s.waiting }
