package dispatch

import (
	"math"
	"time"
)

// This file bounds importance: which of the requests of one service go first, and how far the others may
// fill upstreams. Requests of one priority are one kind.
//
// An upstream runs its requests in the order in which they come, so importance has no effect on what it
// has queued. Kinds with a long objective fill that queue beyond what a more important kind with a short
// objective can bear, so that under overload fewer requests of the important kind are served in time than
// of the other.

const (
	// lesserDelayShare bounds the expected delay at an upstream for a request, as a share of the
	// objective of any more important kind. The rest of the objective is for run times above the mean.
	lesserDelayShare = 0.6
	// starvedShare is the bound of importance: a kind that is granted less often than this share of a more
	// important one goes first until it is not.
	starvedShare = 0.25
	// heldMargin is how much more often a kind may be granted than a more important one before it gets only
	// free slots. Kinds that ask rarely differ by chance.
	heldMargin = 0.03
	// kindHalfLife is the time in which the weight of a request halves in the counts of its kind. Waves and
	// bursts of demand last for several seconds.
	kindHalfLife = 4 * time.Second
	// decayInterval is how often counts are decayed.
	decayInterval = 50 * time.Millisecond
	// minKindRequests is the number of requests from which the counts of a kind say something.
	minKindRequests = 8
	// minKindShare is the share of the service's requests from which a kind bounds the lesser ones: a
	// request every now and then must not keep the others from queueing.
	minKindShare = 0.05
	// maxKinds bounds the number of priorities that are told apart.
	maxKinds = 16
)

// kind is what is known about the requests of one priority.
type kind struct {
	priority int
	// offered and granted are decayed counts of requests; work is that of the work offered.
	offered, granted, work float64
	// objective is the shortest objective of the kind's recent requests.
	objective   time.Duration
	objectiveAt time.Time
}

// kinds holds the kinds of a service, the most important first.
type kinds struct {
	list      []kind
	decayedAt time.Time
	// offered is the decayed count of all requests.
	offered float64
}

// find returns the index of the kind with the given priority, or -1.
func (k *kinds) find(priority int) int {
	for i := range k.list {
		if k.list[i].priority == priority {
			return i
		}
	}
	return -1
}

// offer counts a request.
func (k *kinds) offer(now time.Time, req *Request) {
	k.decay(now)
	i := k.find(req.Priority)
	if i < 0 {
		if i = k.insert(req.Priority); i < 0 {
			return
		}
	}
	one := &k.list[i]
	one.offered++
	one.work += req.route.Factor()
	k.offered++
	if one.objective == 0 || req.Objective <= one.objective || now.Sub(one.objectiveAt) > 2*kindHalfLife {
		one.objective, one.objectiveAt = req.Objective, now
	}
}

// insert adds a kind and returns its index, or -1 if there are too many.
func (k *kinds) insert(priority int) int {
	if len(k.list) >= maxKinds {
		return -1
	}
	i := 0
	for i < len(k.list) && k.list[i].priority < priority {
		i++
	}
	k.list = append(k.list, kind{})
	copy(k.list[i+1:], k.list[i:])
	k.list[i] = kind{priority: priority}
	return i
}

// grant counts a request that was granted.
func (k *kinds) grant(req *Request) {
	if i := k.find(req.Priority); i >= 0 {
		k.list[i].granted++
	}
}

func (k *kinds) decay(now time.Time) {
	span := now.Sub(k.decayedAt)
	if span < decayInterval {
		return
	}
	keep := math.Exp2(-float64(span) / float64(kindHalfLife))
	k.decayedAt = now
	k.offered *= keep
	for i := range k.list {
		k.list[i].offered *= keep
		k.list[i].granted *= keep
		k.list[i].work *= keep
	}
}

// served returns the share of the kind's requests that were granted; ok is false while there are too few.
func (o *kind) served() (share float64, ok bool) {
	if o.offered < minKindRequests {
		return 0, false
	}
	return min(o.granted/o.offered, 1), true
}

// starved reports whether the kind is granted so much less often than a more important one that it goes
// first.
func (k *kinds) starved(priority int) bool {
	if len(k.list) < 2 {
		return false
	}
	i := k.find(priority)
	if i < 0 {
		return false
	}
	own, ok := k.list[i].served()
	if !ok {
		return false
	}
	for j := range i {
		if other, ok := k.list[j].served(); ok && own < starvedShare*other {
			return true
		}
	}
	return false
}

// before reports whether waiting requests of one priority are sent before those of the other.
func (k *kinds) before(one, other int) bool {
	if a, b := k.starved(one), k.starved(other); a != b {
		return a
	}
	return one < other
}

// ownMaxDelay returns the expected delay at an upstream up to which a request may be sent there, by its
// own objective.
func ownMaxDelay(req *Request) time.Duration {
	return time.Duration(maxDelayPerObjective * float64(req.Objective))
}

// maxDelay returns the expected delay at an upstream up to which the request may be sent there although
// no slot is free.
func (k *kinds) maxDelay(req *Request) time.Duration {
	most := ownMaxDelay(req)
	if len(k.list) < 2 || k.starved(req.Priority) {
		return most
	}
	i := k.find(req.Priority)
	if i < 0 {
		i = len(k.list)
	}
	for j := range i {
		other := &k.list[j]
		if other.offered < minKindShare*k.offered {
			continue
		}
		most = min(most, time.Duration(lesserDelayShare*float64(other.objective)))
		if i == len(k.list) {
			continue
		}
		theirs, ok := other.served()
		own, known := k.list[i].served()
		if ok && known && theirs < own-heldMargin {
			return 0
		}
	}
	return most
}

// workBefore returns the work per second that kinds which go before the given one ask for.
func (k *kinds) workBefore(priority int) float64 {
	if len(k.list) < 2 || k.starved(priority) {
		return 0
	}
	sum := 0.0
	for i := range k.list {
		if k.list[i].priority < priority {
			sum += k.list[i].work
		}
	}
	return sum * math.Ln2 / kindHalfLife.Seconds()
}
