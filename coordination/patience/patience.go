// Package patience computes how long a request waits for capacity, when a hedged attempt is
// started, and after what time a refused caller is told to retry. All functions are pure.
package patience

import "time"

const (
	// queueWaitShare is the maximum share of the latency objective of a route that a request may
	// wait for capacity. It only limits the effect of errors in the wait estimate: whether a
	// request waits at all depends on whether it is likely to be answered in time.
	queueWaitShare = 0.6
	// moveWaitShare is the corresponding share for keys that are moving to another owner, which
	// takes some tens of milliseconds.
	moveWaitShare = 0.6
	// waitDivisor limits the wait for capacity to a fraction of the remaining time, so that a
	// second attempt stays possible. The wait for a move is limited to half of the remaining time
	// for the same reason.
	waitDivisor = 3
	// hedgeFactor is the multiple of its expected duration that an attempt may take before a hedged
	// attempt is started, and minHedgeDelay the minimum for that time. With long-tailed processing
	// times, two or three requests in a hundred exceed three times the mean.
	hedgeFactor   = 3
	minHedgeDelay = 120 * time.Millisecond
	// retryAfterNoCapacity is the retry time after a refusal for lack of capacity. Capacity becomes
	// free all the time, and a caller that retries soon can still be answered in time.
	retryAfterNoCapacity = 60 * time.Millisecond
	// retryAfterColdKey is the retry time for a cold key at a busy owner. The response will be late
	// in any case, so the caller leaves the owner to other requests in the meantime.
	retryAfterColdKey = 600 * time.Millisecond
	// retryAfterHotKey is the retry time for a key that receives more requests than its owner can
	// process. An earlier retry is just as likely to be refused. In the meantime the key may move
	// to a faster owner, or a group of hot keys may be spread over several owners.
	retryAfterHotKey = 500 * time.Millisecond
	// retryAfterLimited is the retry time if all upstreams that could run a request have announced
	// a limit. Keys move away from such an owner within about this time; most callers that retry
	// earlier are refused again.
	retryAfterLimited = 500 * time.Millisecond
	// retryAfterRestJitter is the period over which callers retry after upstreams have asked for a
	// rest.
	retryAfterRestJitter = 200 * time.Millisecond
	// configurationWait is the maximum wait for the first configuration of a gateway, when the route
	// and so the objective are not known yet. It is the wait of a route with an objective of 1 s.
	configurationWait = 600 * time.Millisecond
	// startDuration is how long it takes after a start of all gateways at once until they know the
	// configuration, the upstreams and the owners, if the former leader does not start with them:
	// one missed renewal of its lease (0.95 s), and the lists.
	// minRetryAfterStart is the shortest retry time after a refusal for that reason.
	startDuration      = 1300 * time.Millisecond
	minRetryAfterStart = 300 * time.Millisecond
	// plannedMoveDuration is the usual maximum duration of a planned move of a key, which has to
	// wait for the requests in progress on the key. A key that has no owner for longer belonged to
	// a lost owner.
	plannedMoveDuration = 500 * time.Millisecond
	// ownerLossDuration is how long the keys of a lost owner have no owner: the time to detect the
	// loss, during which the hold of the lost owner expires.
	ownerLossDuration = 4 * time.Second
	// ownerGapDuration is the part of that time that is left when gateways learn that the key has no owner.
	ownerGapDuration = 3 * time.Second
)

// MaxQueueWait returns how long a request with the given remaining time may wait for capacity.
func MaxQueueWait(objective, remaining time.Duration) time.Duration {
	return min(time.Duration(queueWaitShare*float64(objective)), remaining/waitDivisor)
}

// MaxMoveWait returns how long a request may wait for a key that is moving.
func MaxMoveWait(objective, remaining time.Duration) time.Duration {
	return min(time.Duration(moveWaitShare*float64(objective)), remaining/2)
}

// MaxConfigurationWait returns how long a request may wait for the first configuration of a gateway.
// remaining is the time for which its caller waits for the response.
func MaxConfigurationWait(remaining time.Duration) time.Duration {
	return min(configurationWait, remaining/waitDivisor)
}

// HedgeDelay returns how long an attempt with the given expected duration runs before a hedged
// attempt is started.
func HedgeDelay(expected time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeFactor*expected)
}

// RetryAfterNoCapacity returns the retry time after a refusal for lack of capacity.
func RetryAfterNoCapacity() time.Duration { return retryAfterNoCapacity }

// RetryAfterColdKey returns the retry time for a key whose requests take long at its new owner.
func RetryAfterColdKey() time.Duration { return retryAfterColdKey }

// RetryAfterHotKey returns the retry time for a key that receives more requests than its owner can
// process.
func RetryAfterHotKey() time.Duration { return retryAfterHotKey }

// RetryAfterLimited returns the retry time if all upstreams that could run the request have
// announced a limit.
func RetryAfterLimited() time.Duration { return retryAfterLimited }

// RetryAfterRest returns the retry time if all upstreams that could run the request have asked for
// a rest, where remaining is the time until the first rest ends. jitter, from 0 to 1, prevents
// callers from retrying all at once.
func RetryAfterRest(remaining time.Duration, jitter float64) time.Duration {
	return max(remaining, retryAfterNoCapacity) + time.Duration(jitter*float64(retryAfterRestJitter))
}

// RetryAfterMovingKey returns the retry time if the owner of the key accepts no more requests and
// the key is about to move.
func RetryAfterMovingKey() time.Duration { return plannedMoveDuration }

// RetryAfterStart returns the retry time after a refusal by a gateway that started the given time ago
// and does not know the configuration, the upstreams or the owners yet.
func RetryAfterStart(sinceStart time.Duration) time.Duration {
	return max(startDuration-sinceStart, minRetryAfterStart)
}

// RetryAfterElsewhere returns the retry time after a refusal by a gateway without contact to a leader.
// Others may reach the owner of the key, or know its next one.
func RetryAfterElsewhere() time.Duration { return retryAfterNoCapacity }

// RetryAfterNoOwner returns the retry time for a key that has had no owner for the given time,
// which is zero if its owner has only just stopped responding. A retry before there is an owner is
// useless. Callers shorten the result to the time they have left.
func RetryAfterNoOwner(ownerless time.Duration) time.Duration {
	if 0 < ownerless && ownerless < plannedMoveDuration {
		return plannedMoveDuration - ownerless
	}
	if ownerless == 0 {
		return ownerLossDuration
	}
	return RetryAfterLostOwner(ownerless)
}

// RetryAfterLostOwner returns the retry time for a key that is being taken from a lost owner and has had
// none for the given time.
func RetryAfterLostOwner(ownerless time.Duration) time.Duration {
	return max(ownerGapDuration-ownerless, retryAfterNoCapacity)
}
