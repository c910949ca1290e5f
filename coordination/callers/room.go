package callers

import (
	"math"
	"time"
)

const (
	// roomHalfLife is the time after which a refusal counts half. One gateway of many gets a request for
	// an owner only every few seconds.
	roomHalfLife = 5 * time.Second
	// overloadMemory is how long after the last refusal there still is an overload. It is longer than the
	// pauses between refusals that the shares themselves bring about: else the requests of callers above
	// their shares would be let in again and again.
	overloadMemory = 2 * time.Second
	// minRefused is the number of recent refusals for lack of room below which there is no overload.
	minRefused = 1.5
	// shareRetention is how long after the last refusal for lack of room the counts of callers are kept.
	shareRetention = 30 * time.Second
)

// Sizes of the tables of callers, in sets of four entries of 32 bytes. An owner gets a few requests a
// second from a gateway; a pool may get hundreds.
const (
	OwnerSets = 32
	PoolSets  = 256
)

// Room divides the room of one owner or pool. It counts callers from the first overload on until half a
// minute after the last one, so that only overloaded owners take memory. The zero value is ready for
// use. It is not safe for concurrent use.
type Room struct {
	// refused counts refusals for lack of room and decays. The last one was at refusedAt.
	refused              float64
	countedAt, refusedAt time.Time
	// shares is nil unless there was an overload lately.
	shares *shares
}

func (r *Room) decay(now time.Time) {
	if age := now.Sub(r.countedAt); age > 0 {
		r.refused *= math.Exp2(-float64(age) / float64(roomHalfLife))
		r.countedAt = now
	}
}

// Offered counts a request of a caller.
func (r *Room) Offered(now time.Time, caller uint64) {
	if r.shares == nil {
		return
	}
	if now.Sub(r.refusedAt) > shareRetention {
		r.shares = nil
		return
	}
	r.shares.record(now, caller)
}

// Exceeds decides whether a request, which Offered has counted, exceeds its caller's share. No request
// does if nothing was refused for lack of room lately. random is in [0, 1).
func (r *Room) Exceeds(now time.Time, caller uint64, random float64) bool {
	return r.Overloaded(now) && r.shares.over(now, caller, random)
}

// RelativeOdds returns the odds of a caller's request relative to the mean odds of all requests, where
// odds alone divide the room: above 1 for most callers while some are above their shares. It is 1 without
// an overload.
func (r *Room) RelativeOdds(now time.Time, caller uint64) float64 {
	if !r.Overloaded(now) {
		return 1
	}
	return r.shares.relativeOdds(now, caller)
}

// Shed counts a refusal because of the caller's share. It prolongs the overload: with the requests of
// such callers refused, those of the others may fit.
func (r *Room) Shed(now time.Time) { r.refusedAt = now }

// Granted counts a request that may be sent to an upstream.
func (r *Room) Granted(now time.Time, caller uint64) {
	if r.shares != nil {
		r.shares.granted(now, caller)
	}
}

// Refused counts a refusal for lack of room. sets is the size of the table of callers.
func (r *Room) Refused(now time.Time, sets int) {
	r.decay(now)
	r.refused++
	r.refusedAt = now
	if r.shares == nil && r.refused >= minRefused {
		r.shares = newShares(sets, now)
	}
}

// Overloaded reports whether requests are being refused for lack of room.
func (r *Room) Overloaded(now time.Time) bool {
	return r.shares != nil && now.Sub(r.refusedAt) <= overloadMemory
}
