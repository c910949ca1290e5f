package quota

import "time"

const (
	// demandAveraging is the time over which a bucket averages the demand.
	demandAveraging = 300 * time.Millisecond
	// reactionTime is how long it takes until a changed fraction is in force at all gateways and its
	// effect has been reported: a bucket that would be empty by then is limited now.
	reactionTime = 600 * time.Millisecond
	// overshootRecovery is the time within which an overshoot is compensated for.
	overshootRecovery = time.Second
)

// Bucket is a token bucket that all gateways draw on without asking it. The leader fills it, takes
// from it what the gateways report to have sent, and tells them which fraction of their requests to
// send from now on. As reports are late, it can become negative; that is made up for afterwards.
//
// It answers a team that sends far more than its quota, over any number of gateways, and does not
// touch one that stays below, however unevenly its requests arrive.
type Bucket struct {
	// level is how many requests may be sent at once.
	level float64
	// started is false until the first update.
	started bool
	// demand is the rate of arriving requests, per second.
	demand float64
	at     time.Time
}

// NewBucket returns a bucket for a team of which it is unknown what it has sent before. It begins half
// full.
func NewBucket(now time.Time) *Bucket { return &Bucket{at: now} }

// Update applies what the gateways have reported since the last call: how many requests have arrived
// and how many were sent. It returns the fraction of the requests to send, 0 to 1, given a quota of
// perSecond requests and up to burst requests more at once.
func (b *Bucket) Update(now time.Time, requests, sent int, perSecond, burst float64) float64 {
	span := now.Sub(b.at).Seconds()
	b.at = now
	if !b.started {
		b.started, b.level = true, burst/2
	}
	b.level = min(b.level+perSecond*span, burst) - float64(sent)
	if span > 0 {
		weight := min(span/demandAveraging.Seconds(), 1)
		b.demand += weight * (float64(requests)/span - b.demand)
	}
	if b.level >= (b.demand-perSecond)*reactionTime.Seconds() {
		return 1
	}
	rate := max(perSecond+b.level/overshootRecovery.Seconds(), minFraction*perSecond)
	return min(rate/b.demand, 1)
}
