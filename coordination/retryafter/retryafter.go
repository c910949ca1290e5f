// Package retryafter computes when refused callers should come back. Callers that are told the same
// time come back together and are refused again. Each is therefore given a place of its own: the next
// time at which room is likely to become free. Clock and random numbers are passed in.
package retryafter

import "time"

const (
	// remainingShare is the part of its remaining time after which a caller comes back at the latest.
	// Callers shorten longer times to that.
	remainingShare = 1.0 / 3
	// minDelay is the shortest time to come back, several times the way to a caller and back.
	minDelay = 20 * time.Millisecond
	// maxDelay bounds the times for callers whose deadline is far in the future.
	maxDelay = 30 * time.Second
	// minRate keeps the interval between two places finite, in places per second.
	minRate = 0.01
	// spread is the part of the longest useful time over which the callers without a place come back.
	// Spread over more of it, they come back sooner and more of them are refused again.
	spread = 0.3
)

// Schedule hands out places in the order of refusals. The zero value is ready for use. It is not safe
// for concurrent use.
type Schedule struct {
	// next is the time of the next place.
	next time.Time
	// Placed counts the callers that got a place, Unplaced those for which no place was left within
	// their time.
	Placed, Unplaced uint64
}

// Next returns the time after which the next refused caller should come back. Room becomes free at the
// given rate per second. remaining is the time that the caller has left, useful the time after which a
// response would be late. random is in [0, 1).
//
// A caller for which no place is left by then comes back within the useful time all the same: it may
// find the place of a caller that has left. If it came back later, it would be late and take room from
// others that would be in time.
func (s *Schedule) Next(now time.Time, rate float64, remaining, useful time.Duration, random float64) time.Duration {
	limit := min(Limit(remaining), max(useful, minDelay))
	if earliest := now.Add(minDelay); s.next.Before(earliest) {
		s.next = earliest
	}
	delay := s.next.Sub(now)
	if delay > limit {
		s.Unplaced++
		return spreadBefore(limit, random)
	}
	s.Placed++
	if !(rate > minRate) {
		rate = minRate
	}
	// The rate of a moment without free room must not block the schedule for longer than one caller waits.
	interval := min(time.Duration(float64(time.Second)/rate), Limit(remaining))
	s.next = s.next.Add(interval)
	return min(delay+time.Duration(random*float64(interval)), limit)
}

// Limit returns the longest time after which a caller with the given remaining time comes back.
func Limit(remaining time.Duration) time.Duration {
	return min(max(time.Duration(remainingShare*float64(remaining)), minDelay), maxDelay)
}

// Longest returns the time for a caller that finds no room for as long as it can wait, near the limit.
func Longest(remaining time.Duration, random float64) time.Duration {
	return spreadBefore(Limit(remaining), random)
}

// spreadBefore returns a time between a part of the limit and the limit.
func spreadBefore(limit time.Duration, random float64) time.Duration {
	return max(time.Duration((1-spread*random)*float64(limit)), minDelay)
}
