package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/retryafter"
)

// This file computes when refused callers should come back.

// usefulRuns is the number of mean runs for which a caller that comes back must have time until its
// response is late. Run times have long tails: with less time, callers come back within their objective
// and are answered late. With more, they come back too soon and are refused again.
const usefulRuns = 2.5

// RetryAfter returns the time after which the caller of a request that found no room should come back.
func (s *Service) RetryAfter(now time.Time, req *Request) time.Duration {
	return s.retryAfter(now, req, NoCapacity)
}

// RetryPlaces returns how many refused callers were given a place, and for how many none was left within
// their time.
func (s *Service) RetryPlaces() (placed, unplaced uint64) {
	placed, unplaced = s.retryTimes.Placed, s.retryTimes.Unplaced
	return placed + s.ownerPlaced, unplaced + s.ownerUnplaced
}

// retryAfter returns the time after which the caller of a refused request should come back, or zero if
// that does not depend on room. Places are handed out at the rate at which room becomes free for this
// gateway. The others do the same with their shares, and callers come back to any gateway.
func (s *Service) retryAfter(now time.Time, req *Request, r Refusal) time.Duration {
	remaining := req.Deadline.Sub(now)
	switch r {
	case HotKey:
		// The place of such a caller is usually beyond its time.
		s.recordNoRoom(now, req)
		return retryafter.Longest(remaining, s.rng.Float64())
	case CallerShare:
		// The places are for the callers within their shares.
		return retryafter.Longest(remaining, s.rng.Float64())
	case NoCapacity, ColdKey:
		s.recordNoRoom(now, req)
	default:
		return 0
	}
	if req.Owner == "" {
		return s.poolRetryAfter(now, req, remaining)
	}
	if u := s.existingState(req.Owner); u != nil {
		return s.ownerRetryAfter(now, req, u, r, remaining)
	}
	return 0
}

// poolRetryAfter returns the time of the next place in the pool.
func (s *Service) poolRetryAfter(now time.Time, req *Request, remaining time.Duration) time.Duration {
	// New requests take their room first. Otherwise callers would come back to a pool that these have
	// filled.
	rate := s.demandFraction*s.currentThroughput(now) - s.demand.Requests
	return s.retryTimes.Next(now, rate, remaining, s.usefulDelay(now, req, s.typicalWorkTime), s.rng.Float64())
}

// ownerRetryAfter returns the time of the next place at the owner of the request's key.
func (s *Service) ownerRetryAfter(now time.Time, req *Request, u *Upstream, r Refusal, remaining time.Duration) time.Duration {
	work := u.currentWorkTime(now, s.typicalWorkTime)
	useful := s.usefulDelay(now, req, work)
	if r == ColdKey {
		// The response will be late in any case.
		useful = remaining
	}
	placed, unplaced := u.retryTimes.Placed, u.retryTimes.Unplaced
	delay := u.retryTimes.Next(now, u.share.fraction*u.cappedRate(u.throughput(now, s.typicalWorkTime)), remaining, useful, s.rng.Float64())
	s.ownerPlaced += u.retryTimes.Placed - placed
	s.ownerUnplaced += u.retryTimes.Unplaced - unplaced
	return delay
}

// usefulDelay returns the time after which a caller has to come back for a response within the
// objective.
func (s *Service) usefulDelay(now time.Time, req *Request, work time.Duration) time.Duration {
	if req.ReceivedAt.IsZero() {
		return req.Objective - time.Duration(usefulRuns*float64(work))
	}
	return req.ReceivedAt.Add(req.Objective).Sub(now) - time.Duration(usefulRuns*float64(work))
}
