package dispatch

import "time"

// waitRefusal returns why the request should be refused instead of waiting behind the given number
// of others, or zero if it should wait. u is the owner's upstream, or nil if any can serve it.
func (s *Service) waitRefusal(now time.Time, req *Request, u *Upstream, ahead int) Refusal {
	if r := s.requestBlockedReason(now, req); r != 0 {
		return r
	}
	if !now.Before(req.QueueUntil) {
		return NoCapacity
	}
	if s.blockedByLimits(now, req) {
		return Limited
	}
	if u != nil && !s.warmUpAllows(now, u) && u.nextSendAt.After(req.QueueUntil) {
		return WarmingUp
	}
	if now.Add(s.typicalWorkTime / 2).After(req.Deadline) {
		return TooLate
	}
	wait := s.expectedWait(now, req, u, ahead)
	if wait > req.QueueUntil.Sub(now) {
		return NoCapacity
	}
	if !req.LateAt.IsZero() && !s.Disabled.NoLikelihood && now.Add(wait+s.likelyRunTime(now, u)).After(req.LateAt) {
		return NoCapacity
	}
	return 0
}

// likelyRunTime returns the time within which an upstream will probably respond to a request that
// has waited. It is the expected time plus one mean run, because run times have long tails: with the
// expected time alone, half of the requests that waited longest would be late.
func (s *Service) likelyRunTime(now time.Time, u *Upstream) time.Duration {
	if u == nil {
		return 2 * s.typicalWorkTime
	}
	expected := u.expectedDelayBehind(now, min(u.totalInFlight(now), targetLoad*float64(u.Slots)), s.typicalWorkTime)
	return expected + u.currentWorkTime(now, s.typicalWorkTime)
}

// expectedWait estimates how long the request would wait behind the given number of others, from
// this gateway's fraction of the rate at which the upstreams finish requests.
func (s *Service) expectedWait(now time.Time, req *Request, u *Upstream, ahead int) time.Duration {
	if u == nil {
		return time.Duration(float64(ahead) / max(s.demandFraction*s.currentThroughput(now), minRate) * float64(time.Second))
	}
	rate := u.throughput(now, s.typicalWorkTime)
	if u.share.byOdds && u.totalAtOwner(now)+1 <= float64(u.Slots) {
		// With a free slot the next report raises the odds.
		return u.share.interval
	}
	u.share.refill(now, rate)
	return u.share.waitTime(float64(ahead+1), rate)
}

// Withdraw removes a waiting request. It returns false if the request was already granted or
// refused.
func (s *Service) Withdraw(req *Request) bool {
	if req.dequeued {
		return false
	}
	req.dequeued = true
	s.waiting--
	if u := s.existingState(req.Owner); u != nil {
		u.queue.remove(req)
		return true
	}
	s.queue.remove(req)
	return true
}

// Tick grants waiting requests whose upstreams have room again, and refuses those that have waited
// too long or can no longer be served.
func (s *Service) Tick(now time.Time) {
	if s.waiting == 0 {
		return
	}
	s.grantWaiting(now)
	expired := func(req *Request) { s.refuse(req, s.expiryReason(now, req)) }
	for _, u := range s.inUse {
		if r := s.ownerBlockedReason(now, u); r != 0 {
			s.refuseAll(u, r)
		}
		u.queue.expire(now, expired)
	}
	s.refuseUnservable(now)
	s.queue.expire(now, expired)
}

// refuseUnservable refuses the requests that wait for any upstream if no upstream may get requests.
func (s *Service) refuseUnservable(now time.Time) {
	if s.queue.size == 0 || s.requestBlockedReason(now, &Request{}) == 0 {
		return
	}
	s.queue.forEach(func(req *Request) (remove, stop bool) {
		s.refuse(req, s.requestBlockedReason(now, req))
		return true, false
	})
}

// refuse refuses a waiting request and reports that to its OnDecision.
func (s *Service) refuse(req *Request, r Refusal) {
	req.dequeued = true
	s.waiting--
	req.OnDecision(refused(r))
}

// refuseAll refuses all requests that wait for one upstream.
func (s *Service) refuseAll(u *Upstream, r Refusal) {
	u.queue.forEach(func(req *Request) (remove, stop bool) {
		s.refuse(req, r)
		return true, false
	})
}

// expiryReason returns the refusal for a request that has waited too long.
func (s *Service) expiryReason(now time.Time, req *Request) Refusal {
	if r := s.requestBlockedReason(now, req); r != 0 {
		return r
	}
	return NoCapacity
}

// grantWaiting grants all waiting requests for which there is room.
func (s *Service) grantWaiting(now time.Time) {
	if s.waiting == 0 {
		return
	}
	for _, u := range s.inUse {
		s.grantFromQueue(now, &u.queue)
	}
	s.grantFromQueue(now, &s.queue)
}

// grantFromQueue grants the requests of one queue for which there is room, the most important first
// and then the oldest. It stops at the first request without room, unless that request excludes
// upstreams: the next one may find room there.
func (s *Service) grantFromQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	q.forEach(func(req *Request) (remove, stop bool) {
		if s.blockedByLimits(now, req) {
			s.refuse(req, Limited)
			return true, false
		}
		g, ok := s.tryGrant(now, req)
		if !ok {
			return false, len(req.Exclude) == 0
		}
		req.dequeued = true
		s.waiting--
		req.OnDecision(Decision{Grant: g})
		return true, false
	})
}

// Waiting returns the number of waiting requests.
func (s *Service) Waiting() int { return s.waiting }
