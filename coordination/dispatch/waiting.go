package dispatch

import "time"

// waitRefusal returns why the request should be refused instead of waiting behind the given work of
// others, or zero if it should wait. u is the owner's upstream, or nil if any can serve it.
func (s *Service) waitRefusal(now time.Time, req *Request, u *Upstream, ahead float64) Refusal {
	if r := s.requestBlockedReason(now, req); r != 0 {
		return r
	}
	if !now.Before(req.QueueUntil) {
		return NoCapacity
	}
	if u != nil && s.ownerProbablyLost(now, req, u) {
		return OwnerUnresponsive
	}
	if s.blockedByLimits(now, req) {
		return Limited
	}
	if u != nil && !s.warmUpAllows(now, u) && u.nextSendAt.After(req.QueueUntil) {
		return WarmingUp
	}
	if now.Add(time.Duration(req.route.Factor() * float64(s.typicalWorkTime) / 2)).After(req.Deadline) {
		return TooLate
	}
	wait := s.expectedWait(now, req, u, ahead)
	if wait > req.QueueUntil.Sub(now) {
		return NoCapacity
	}
	if !req.LateAt.IsZero() && !s.Disabled.NoLikelihood && now.Add(wait+s.likelyRunTime(now, req, u)).After(req.LateAt) {
		return NoCapacity
	}
	return 0
}

// likelyRunTime returns the time within which an upstream will probably respond to a request that
// has waited. It is the expected time plus the spread of its route's runs, because run times have long
// tails: with the expected time alone, half of the requests that waited longest would be late.
func (s *Service) likelyRunTime(now time.Time, req *Request, u *Upstream) time.Duration {
	factor, spread := req.route.Factor(), req.route.Spread()
	if u == nil {
		return time.Duration((1 + spread) * factor * float64(s.typicalWorkTime))
	}
	expected := u.expectedDelayBehind(now, min(u.totalInFlight(now), targetLoad*float64(u.Slots)), s.typicalWorkTime, factor)
	return expected + u.routeWorkTime(now, s.typicalWorkTime, spread*factor)
}

// expectedWait estimates how long the request would wait behind the given work of others, from this
// gateway's fraction of the rate at which the upstreams finish requests.
func (s *Service) expectedWait(now time.Time, req *Request, u *Upstream, ahead float64) time.Duration {
	if u == nil {
		rate := s.poolRate(now)
		rate = max(rate-s.kinds.workBefore(req.Priority), starvedShare*rate, minRate)
		return time.Duration(ahead / rate * float64(time.Second))
	}
	rate := u.throughput(now, s.typicalWorkTime)
	if u.share.byOdds && u.totalAtOwner(now)+1 <= float64(u.Slots) {
		// With a free slot the next report raises the odds.
		return u.share.interval
	}
	u.share.refill(now, rate)
	return u.share.waitTime(ahead/s.routes.Mix()+1, rate)
}

// poolRate returns this gateway's fraction of the work that the usable upstreams together finish per
// second, in runs of mean work.
func (s *Service) poolRate(now time.Time) float64 {
	return s.demandFraction * s.currentThroughput(now) * s.routes.Mix()
}

// ownerPace returns how fast the requests that wait for an owner are sent.
func (s *Service) ownerPace(now time.Time, u *Upstream) pace {
	rate := u.throughput(now, s.typicalWorkTime)
	u.share.refill(now, rate)
	return pace{saved: max(u.share.credit, 0) * s.routes.Mix(), perSecond: u.share.fraction * rate * s.routes.Mix()}
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
	expired := func(req *Request) { s.refuse(now, req, s.expiryReason(now, req)) }
	for _, u := range s.inUse {
		if r := s.ownerBlockedReason(now, u); r != 0 {
			s.refuseAll(now, u, r)
		}
		s.refuseForLostOwner(now, u)
		if u.queue.size > 0 {
			s.countShed(u.queue.shed(now, &s.kinds, s.ownerPace(now, u), expired))
		}
	}
	s.refuseUnservable(now)
	if s.queue.size > 0 {
		s.countShed(s.queue.shed(now, &s.kinds, pace{perSecond: s.poolRate(now)}, expired))
	}
}

func (s *Service) countShed(late, excess int) {
	s.shedLate += late
	s.shedExcess += excess
}

// refuseUnservable refuses the requests that wait for any upstream if no upstream may get requests.
func (s *Service) refuseUnservable(now time.Time) {
	if s.queue.size == 0 || s.requestBlockedReason(now, &Request{}) == 0 {
		return
	}
	s.queue.forEach(&s.kinds, func(req *Request) (remove, stop bool) {
		s.refuse(now, req, s.requestBlockedReason(now, req))
		return true, false
	})
}

// refuse refuses a waiting request and reports that to its OnDecision.
func (s *Service) refuse(now time.Time, req *Request, r Refusal) {
	req.dequeued = true
	s.waiting--
	req.OnDecision(Decision{Refusal: r, RetryAfter: s.retryAfter(now, req, r)})
}

// refuseAll refuses all requests that wait for one upstream.
func (s *Service) refuseAll(now time.Time, u *Upstream, r Refusal) {
	u.queue.forEach(&s.kinds, func(req *Request) (remove, stop bool) {
		s.refuse(now, req, r)
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

// grantFromQueue grants the requests of one queue for which there is room, in their order. It stops at
// the first request without room, unless that request excludes upstreams: the next one may find room
// there.
func (s *Service) grantFromQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	q.forEach(&s.kinds, func(req *Request) (remove, stop bool) {
		if s.blockedByLimits(now, req) {
			s.refuse(now, req, Limited)
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
