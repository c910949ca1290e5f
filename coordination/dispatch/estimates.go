package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
)

// This file estimates how long requests run at an upstream and when they are answered.

const (
	// workTimeWeight is the weight of a new sample in the moving average of the work time.
	workTimeWeight = 0.1
	// queuedWorkTimeWeight is that weight for a request that found all slots taken. Its queueing
	// time is only an estimate, and usually too low, because requests that other gateways sent
	// since their last report are unknown. At full weight a busy upstream would look slower than
	// it is and get less than it can run.
	queuedWorkTimeWeight = 0.02
	// minWorkTime keeps rates finite before any work time is known.
	minWorkTime = time.Millisecond
)

// currentWorkTime returns the present time of one run of mean work without queueing: the mean over
// time, adjusted by the upstream's recently reported slowness.
func (u *Upstream) currentWorkTime(now time.Time, typicalWorkTime time.Duration) time.Duration {
	return time.Duration(u.relativeSlowness(now) * float64(u.meanWorkTime(now, typicalWorkTime)))
}

// routeWorkTime returns the present time of one run without queueing, for a route with the given factor.
func (u *Upstream) routeWorkTime(now time.Time, typicalWorkTime time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(u.currentWorkTime(now, typicalWorkTime)))
}

// meanWorkTime returns the mean time of one run of mean work without queueing, over the upstream's slow and
// fast periods. The estimate of all gateways takes precedence over this gateway's own.
func (u *Upstream) meanWorkTime(now time.Time, typicalWorkTime time.Duration) time.Duration {
	warming := now.Before(u.warmUpUntil)
	switch {
	case u.clusterWorkTime != 0 && warming:
		// No gateway has much data about an upstream that has just started.
		return max(u.clusterWorkTime, typicalWorkTime*warmUpSlowdown)
	case u.clusterWorkTime != 0:
		return u.clusterWorkTime
	case u.ownWorkTime != 0:
		return time.Duration(u.meanSlowness() * float64(u.ownWorkTime))
	case warming:
		return typicalWorkTime * warmUpSlowdown
	}
	return typicalWorkTime
}

// throughput returns how many requests of the present mix of routes the upstream completes per second
// when all slots are busy.
func (u *Upstream) throughput(now time.Time, typicalWorkTime time.Duration) float64 {
	return float64(u.Slots) / max(u.routeWorkTime(now, typicalWorkTime, u.routes.Mix()).Seconds(), minWorkTime.Seconds())
}

// expectedDelay estimates the time until one more request of a route with the given factor is answered.
func (u *Upstream) expectedDelay(now time.Time, typicalWorkTime time.Duration, factor float64) time.Duration {
	return u.expectedDelayBehind(now, u.totalInFlight(now), typicalWorkTime, factor)
}

// expectedDelayBehind estimates the time until a request of a route with the given factor is answered
// when inFlight requests, of the present mix of routes, were sent before it.
func (u *Upstream) expectedDelayBehind(now time.Time, inFlight float64, typicalWorkTime time.Duration, factor float64) time.Duration {
	inFlightPerSlot := inFlight / float64(u.Slots)
	behind := max(0, inFlightPerSlot+1/float64(u.Slots)-1) + min(1, inFlightPerSlot)/2
	return u.routeWorkTime(now, typicalWorkTime, behind*u.routes.Mix()+factor)
}

// observeWorkTime updates the mean work time from one complete run. The time spent behind the
// requests in flight, the slowness that the upstream reported and the work of the route are factored
// out.
func (u *Upstream) observeWorkTime(now time.Time, took time.Duration, inFlight float64, route *worktime.Route, typicalWorkTime time.Duration) {
	roundsBefore := max(0, (inFlight+1)/float64(u.Slots)-1) * u.routes.Mix()
	slowness := u.answerSlowness(now)
	sample := time.Duration(float64(took) / (roundsBefore + route.Factor()) / slowness)
	weight := float64(workTimeWeight)
	if roundsBefore > 0 {
		weight = queuedWorkTimeWeight
	}
	sampleCount := weight / workTimeWeight
	u.observeRoute(now, took, roundsBefore, route, sampleCount, typicalWorkTime)
	u.unreportedRuns = u.unreportedRuns.Add(worktime.Sum{Total: time.Duration(sampleCount * float64(sample)), Runs: sampleCount, Slowness: sampleCount * slowness})
	if u.ownWorkTime == 0 {
		u.ownWorkTime = sample
		return
	}
	u.ownWorkTime += time.Duration(weight * float64(sample-u.ownWorkTime))
}

// observeRoute updates the work of a route from one complete run that found so many rounds of mean work
// before it. Only an upstream whose work time has been measured can show it.
func (u *Upstream) observeRoute(now time.Time, took time.Duration, roundsBefore float64, route *worktime.Route, sampleCount float64, typicalWorkTime time.Duration) {
	if u.clusterWorkTime == 0 && u.ownWorkTime == 0 {
		return
	}
	expected := time.Duration(float64(u.meanWorkTime(now, typicalWorkTime)) * u.answerSlowness(now) / u.meanSlowness())
	work := max(took-time.Duration(roundsBefore*float64(expected)), 0)
	route.Observe(work, expected, sampleCount)
}
