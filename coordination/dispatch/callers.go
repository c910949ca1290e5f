package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/callers"
)

// This file divides room among callers while requests are refused for lack of it.

// freePoolLoad is the fraction of the requests in a full pool from which a slot that seems free does not
// exempt a caller from its share: half of it is one request per slot, so the slot is free only until the
// requests of the other gateways arrive.
const freePoolLoad = 0.5

// recordCaller finds the room that is divided among the callers of such requests, and counts the request.
func (s *Service) recordCaller(now time.Time, req *Request) {
	if req.room = s.dividedRoom(req); req.room != nil {
		req.room.Offered(now, req.Caller)
	}
}

// dividedRoom returns the room that is divided among the callers of such requests, or nil if it is not
// divided or the caller is not known.
func (s *Service) dividedRoom(req *Request) *callers.Room {
	if req.Caller == 0 || s.Disabled.NoCallers {
		return nil
	}
	if req.Owner == "" {
		return &s.room
	}
	if u := s.existingState(req.Owner); u != nil {
		return &u.room
	}
	return nil
}

// callerOdds returns the factor by which the odds of a request for a hot key change because of its
// caller's share.
func (s *Service) callerOdds(now time.Time, req *Request) float64 {
	if req.room == nil {
		return 1
	}
	return req.room.RelativeOdds(now, req.Caller)
}

// exceedsCallerShare reports whether the request is refused because its caller has more than its share
// of an overloaded owner or pool. A request for which a slot is free is never refused for that. Where a
// hot key is limited, the odds of admission depend on the share already.
func (s *Service) exceedsCallerShare(now time.Time, req *Request) bool {
	if req.room == nil || !req.room.Overloaded(now) {
		return false
	}
	if s.limitedByHotKey(now, req) || !req.room.Exceeds(now, req.Caller, s.rng.Float64()) || s.slotFree(now, req) {
		return false
	}
	req.room.Shed(now)
	s.overShare++
	return true
}

// limitedByHotKey reports whether the limit of a hot key decides about the request.
func (s *Service) limitedByHotKey(now time.Time, req *Request) bool {
	_, hot := s.hotKeyLimit(now, req)
	if !hot {
		return false
	}
	u := s.existingState(req.Owner)
	return u == nil || !u.sharedByOdds(now)
}

// slotFree reports whether an upstream that could run the request has a free slot for which nothing
// waits.
func (s *Service) slotFree(now time.Time, req *Request) bool {
	if req.Owner != "" {
		u := s.existingState(req.Owner)
		return u != nil && u.queue.size == 0 && u.totalInFlight(now)+1 <= float64(u.Slots)
	}
	if s.queue.size > 0 || s.pool.applies(now) && s.pool.load() >= freePoolLoad {
		return false
	}
	best := s.lowestScore(now, req)
	return best != nil && best.totalInFlight(now)+1 <= float64(best.Slots)
}

// recordCallerGrant counts a grant to the caller of a request.
func (s *Service) recordCallerGrant(now time.Time, req *Request) {
	if req.room != nil {
		req.room.Granted(now, req.Caller)
	}
}

// recordNoRoom counts a refusal for lack of room.
func (s *Service) recordNoRoom(now time.Time, req *Request) {
	if req.Owner == "" {
		s.room.Refused(now, callers.PoolSets)
	} else if u := s.existingState(req.Owner); u != nil {
		u.room.Refused(now, callers.OwnerSets)
	}
}

// OverShare returns how many requests were refused because of their callers' shares.
func (s *Service) OverShare() uint64 { return s.overShare }
