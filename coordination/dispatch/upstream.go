package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// slotFactor bounds the requests at one upstream, in multiples of its
	// slots: one part runs, the rest waits there so that no slot idles while
	// an answer travels. Instances queue about four times their slots before
	// they refuse, reset or hang, so estimates that are off by two do no harm.
	maxInFlightPerSlot = 2.5
	// objectiveShare bounds the estimated delay, in multiples of a route's objective. The
	// estimate rests on reports that are old by two or three runs: a bound below the
	// objective refuses requests whose upstream has slots free by now.
	maxDelayPerObjective = 1.6
	// crossDomainCost makes an upstream of another failure domain look slower, by
	// crossDomainMost of the route's objective at most: bytes between domains are priced,
	// and a queue in the own domain that makes answers late costs more than they do.
	crossDomainFactor     = 2.5
	crossDomainMaxPenalty = 0.3
	// jitter spreads scores evenly by this share to both sides, so that
	// gateways with the same view do not all choose the same upstream.
	scoreJitter = 0.12
	// workWeight is the weight of a new sample in the mean work time.
	workTimeWeight = 0.1
	// queuedWeight is the same for a request that found all slots taken: how long it had to
	// wait is only estimated, and mostly from too few ahead, as the others' requests since
	// their last report are not known. With the full weight a full upstream seems slower than
	// it is, and is given less than it can run.
	queuedWorkTimeWeight = 0.02
	// failureWeight is the weight of a new outcome in the share of failures.
	failureWeight = 0.08
	// firstPause and longestPause bound the time without requests after an
	// upstream could not be reached. It doubles with each failure in a row.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// overdueFactor is how many times the estimated delay a request may take
	// before it is overdue: work times have tails of three to five times the
	// mean.
	overdueFactor = 2
	// silentLeast is the least time without any answer after which an upstream
	// counts as silent.
	minSilence = 350 * time.Millisecond
	// reportHalf is the age at which a report of other gateways' requests
	// counts for half; they are collected a few times a second.
	reportHalfLife = time.Second
	// firstGateways is the number of gateways assumed before any report: after a
	// start of all at once each would else fill the upstreams by itself. Small
	// deployments have 8 to 12; larger ones tell the number with the first news.
	assumedGateways = 12
	// fullPause is how long an upstream that refused for want of room, or broke the
	// connection with all slots taken, gets nothing more than it already has. One that
	// does so with slots free fails in another way, and a pause would only waste
	// these.
	overloadBackoff = 60 * time.Millisecond
	// warmUpSlowness is how much slower an upstream is taken to be while it
	// warms up.
	warmUpSlowdown = 2
	// hungAfter is how many requests that were sent later must have been answered
	// before one that is overdue counts as hung: upstreams take requests in order, so
	// one that waits in a queue or runs long is passed by few.
	hungAfterOvertaken = 3
)

// silentFactors are how many times the estimated delay an upstream may leave
// everything unanswered before it counts as silent: with one, two, three or more
// requests overdue.
var silentFactors = []time.Duration{8, 5, 3}

// Upstream is what one gateway knows of one upstream. It is not safe for
// concurrent use.
type Upstream struct {
	instances.Instance
	disabled Mechanisms
	// mine counts the requests sent from here and not answered, hung those of them
	// that the upstream seems to have forgotten.
	ownInFlight, hung int
	// others is the number that the other gateways reported at othersAt.
	othersInFlight   float64
	othersInFlightAt time.Time
	// gateways is the number of all gateways, as last reported.
	gateways int
	// share is this gateway's part of the room.
	share fairShare
	// work is the mean time of a run without waiting as seen from here, at a slowness of 1;
	// zero when unknown.
	ownWorkTime time.Duration
	// told is the same as all gateways together have seen it; zero when unknown.
	clusterWorkTime time.Duration
	// runs are those seen since the last report.
	unreportedRuns worktime.Sum
	// failures is the share of requests that failed lately.
	failureRate float64
	// pausedUntil is when a request may be tried again after the upstream
	// could not be reached.
	backoffUntil      time.Time
	backoff           time.Duration
	connectionRefused bool
	overloadedUntil   time.Time
	// warmUntil is when it has warmed up, doubtUntil how long it is taken to warm up
	// whatever its entry says.
	warmUpUntil, assumedWarmUpUntil time.Time
	// rightUntil is until when this gateway may send requests to it while it warms up,
	// nextStart when it may send the next one.
	rightUntil, nextSendAt time.Time
	// slowness is what it said of its slowness at slowAt, usual the mean as all gateways have
	// heard it, and heard that of heardRuns answers to this one.
	slowness                        float64
	slownessAt                      time.Time
	clusterSlowness                 float64
	ownSlowness, ownSlownessSamples float64
	// toldOthers is how many requests of other gateways it had at toldAt, as it said.
	selfReportedOthers float64
	selfReportedAt     time.Time
	// said is what it has said of itself to this gateway.
	notices notice.Standing
	// proving says that it has rested and not answered a request since: one at a time goes there.
	probing bool
	// leavingSince is when it was first known to be leaving; zero when it is not.
	leavingSince time.Time
	// evacuatedSince is when its failure domain was first seen to be evacuated; zero when
	// it is not.
	evacuatedSince time.Time
	lastAnswerAt   time.Time
	// unanswered are the requests in flight in the order in which they were sent.
	unanswered []inFlightRequest
	// area is the sum of requests in flight over time since reportedAt, for
	// the report to the other gateways.
	inFlightSeconds   float64
	inFlightSecondsAt time.Time
	lastReportAt      time.Time
	// rank is its place in this gateway's order of preference.
	rank uint64
	// wanted measures the requests from here that it would get, limit is the limit that it
	// names, or nil.
	wanted quota.Meter
	limit  *limit
	// queue holds the requests that wait for this upstream only.
	queue queue
}

// flight is one request in flight.
type inFlightRequest struct {
	sentAt time.Time
	// passed counts answers to requests that were sent later.
	overtaken int
	hung      bool
}

func newUpstream(instance instances.Instance, now time.Time) *Upstream {
	return &Upstream{
		Instance: instance, gateways: assumedGateways, share: newFairShare(now),
		warmUpUntil: now.Add(instance.WarmUp), inFlightSecondsAt: now, lastReportAt: now,
	}
}

// alive is the number of requests from here that the upstream still has.
func (u *Upstream) activeInFlight() float64 { return float64(u.ownInFlight - u.hung) }

// inflight estimates the requests of all gateways at the upstream. As a report
// ages, the others are taken to have as many as this one each.
func (u *Upstream) totalInFlight(now time.Time) float64 {
	return u.activeInFlight() + u.othersEstimate(now, u.othersFromReports(now))
}

// reported estimates the requests of the others from their reports.
func (u *Upstream) othersFromReports(now time.Time) float64 {
	assumed := u.activeInFlight() * float64(u.gateways-1)
	if u.othersInFlightAt.IsZero() {
		return assumed
	}
	freshness := float64(reportHalfLife) / float64(reportHalfLife+max(now.Sub(u.othersInFlightAt), 0))
	return freshness*u.othersInFlight + (1-freshness)*assumed
}

// silentFor is how long everything at the upstream has been unanswered.
func (u *Upstream) silenceDuration(now time.Time) time.Duration {
	if len(u.unanswered) == 0 {
		return 0
	}
	since := u.unanswered[0].sentAt
	if u.lastAnswerAt.After(since) {
		since = u.lastAnswerAt
	}
	return now.Sub(since)
}

// silent reports whether the upstream is taken to be lost or cut off. The more
// requests are overdue, the sooner: one may just run long.
func (u *Upstream) silent(now time.Time, typicalWorkTime time.Duration) bool {
	if u.silenceDuration(now) <= minSilence {
		return false
	}
	delay := u.expectedDelay(now, typicalWorkTime)
	overdueCount := 0
	for i := range u.unanswered {
		if now.Sub(u.unanswered[i].sentAt) > overdueFactor*delay {
			overdueCount++
		}
	}
	if overdueCount == 0 {
		return false
	}
	factor := silentFactors[min(overdueCount, len(silentFactors))-1]
	return u.silenceDuration(now) > factor*delay
}

// workTime is the time of one run without waiting at the moment: as all gateways have seen
// it, else as this one has.
func (u *Upstream) currentWorkTime(now time.Time, typicalWorkTime time.Duration) time.Duration {
	return time.Duration(u.relativeSlowness(now) * float64(u.meanWorkTime(now, typicalWorkTime)))
}

// meanWork is the same in the mean over the upstream's slow and fast moments.
func (u *Upstream) meanWorkTime(now time.Time, typicalWorkTime time.Duration) time.Duration {
	warming := now.Before(u.warmUpUntil)
	switch {
	case u.clusterWorkTime != 0 && warming:
		// Of one that has just started all others know little, too.
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

// rate is how many requests the upstream ends in a second when all slots are busy.
func (u *Upstream) throughput(now time.Time, typicalWorkTime time.Duration) float64 {
	return float64(u.Slots) / max(u.currentWorkTime(now, typicalWorkTime).Seconds(), minWorkTime.Seconds())
}

// leastWork keeps rates finite before any work time is known.
const minWorkTime = time.Millisecond

// delay estimates the time until one more request is answered.
func (u *Upstream) expectedDelay(now time.Time, typicalWorkTime time.Duration) time.Duration {
	return u.expectedDelayBehind(now, u.totalInFlight(now), typicalWorkTime)
}

// delayBehind estimates the time until a request is answered that has so many ahead.
func (u *Upstream) expectedDelayBehind(now time.Time, inFlight float64, typicalWorkTime time.Duration) time.Duration {
	inFlightPerSlot := inFlight / float64(u.Slots)
	runs := max(1, inFlightPerSlot+1/float64(u.Slots)) + min(1, inFlightPerSlot)/2
	return time.Duration(runs * float64(u.currentWorkTime(now, typicalWorkTime)))
}

// room reports whether one more request keeps within the bounds. Only owners' room is
// shared out: requests that may go anywhere go where there is room, and holding them to
// shares sends them to slower upstreams and other failure domains.
func (u *Upstream) hasCapacity(now time.Time, typicalWorkTime, objective time.Duration, owner bool) bool {
	inFlight := u.totalInFlight(now)
	slots := float64(u.Slots)
	slotFree := inFlight+1 <= slots
	if owner && !u.disabled.NoShares && !u.share.allows(now, u.throughput(now, typicalWorkTime), u.Slots, inFlight) {
		return false
	}
	if u.ownInFlight == 0 && inFlight < slots {
		return true
	}
	if now.Before(u.overloadedUntil) || inFlight+1 > maxInFlightPerSlot*slots {
		return false
	}
	maxDelay := time.Duration(maxDelayPerObjective * float64(objective))
	return slotFree || u.expectedDelayBehind(now, inFlight, typicalWorkTime) <= maxDelay
}

// usable reports whether the upstream seems to answer requests.
func (u *Upstream) usable(now time.Time, typicalWorkTime time.Duration) bool {
	if u.backoff > 0 && u.ownInFlight > 0 {
		// One trial at a time after a failure.
		return false
	}
	return u.responsive(now, typicalWorkTime)
}

// answers reports whether the upstream was reached lately, has not fallen silent, and is not tried
// by another request after a rest.
func (u *Upstream) responsive(now time.Time, typicalWorkTime time.Duration) bool {
	if now.Before(u.backoffUntil) || u.probing && u.activeInFlight() > 0 {
		return false
	}
	return !u.silent(now, typicalWorkTime)
}

// score is the estimated delay weighed with what speaks against the upstream.
func (u *Upstream) score(now time.Time, typicalWorkTime, objective time.Duration, domain string, rng *rand.Rand) float64 {
	score := float64(u.expectedDelay(now, typicalWorkTime) + u.silenceDuration(now)/2)
	if u.Domain != domain {
		score += min((crossDomainFactor-1)*score, crossDomainMaxPenalty*float64(objective))
	}
	successRate := 1 - min(u.failureRate, 0.9)
	return score / (successRate * successRate) * (1 - scoreJitter + 2*scoreJitter*rng.Float64())
}

func (u *Upstream) integrateInFlight(now time.Time) {
	u.inFlightSeconds += now.Sub(u.inFlightSecondsAt).Seconds() * u.activeInFlight()
	u.inFlightSecondsAt = now
}

func (u *Upstream) recordSend(now time.Time, typicalWorkTime time.Duration) {
	u.integrateInFlight(now)
	u.share.take(now, u.throughput(now, typicalWorkTime))
	u.ownInFlight++
	u.unanswered = append(u.unanswered, inFlightRequest{sentAt: now})
}

// ended notes the end of a try.
func (u *Upstream) recordOutcome(now time.Time, g Grant, o Outcome, typicalWorkTime time.Duration) {
	grantedAt, inFlight := g.GrantedAt, g.InFlight
	u.integrateInFlight(now)
	u.removeInFlight(grantedAt)
	switch o {
	case Answered:
		u.recordAnswer(now, grantedAt, typicalWorkTime)
		if !g.Cold && !g.Warming {
			u.observeWorkTime(now, now.Sub(grantedAt), inFlight)
		}
		u.failureRate -= failureWeight * u.failureRate
		u.probing = u.probing && grantedAt.Before(u.notices.RestUntil)
	case Failed:
		u.recordAnswer(now, grantedAt, typicalWorkTime)
		u.failureRate += failureWeight * (1 - u.failureRate)
		u.probing = u.probing && grantedAt.Before(u.notices.RestUntil)
	case Overloaded, ConnectionBroken:
		u.recordAnswer(now, now, typicalWorkTime)
		u.failureRate += failureWeight * (1 - u.failureRate)
		if inFlight+1 > float64(u.Slots) {
			u.overloadedUntil = now.Add(overloadBackoff)
		}
	case NotOwner:
		u.recordAnswer(now, now, typicalWorkTime)
	case Unreachable, ConnectionRefused:
		u.connectionRefused = o == ConnectionRefused
		u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
		u.backoffUntil = now.Add(u.backoff)
	case TimedOut:
		if now.Sub(u.lastAnswerAt) > now.Sub(grantedAt) {
			u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
			u.backoffUntil = now.Add(u.backoff)
		}
	case Canceled:
	}
}

// forget takes a request off those in flight.
func (u *Upstream) removeInFlight(grantedAt time.Time) {
	u.ownInFlight--
	for i := range u.unanswered {
		if !u.unanswered[i].sentAt.Equal(grantedAt) {
			continue
		}
		if u.unanswered[i].hung {
			u.hung--
		}
		u.unanswered = append(u.unanswered[:i], u.unanswered[i+1:]...)
		return
	}
}

// reached notes an answer to a request that was sent at began. Requests that were
// sent before it and are passed again and again have hung: the upstream takes
// requests in order, and one that it could not queue it never answers.
func (u *Upstream) recordAnswer(now, grantedAt time.Time, typicalWorkTime time.Duration) {
	u.lastAnswerAt = now
	u.backoff = 0
	u.connectionRefused = false
	u.backoffUntil = time.Time{}
	for i := range u.unanswered {
		f := &u.unanswered[i]
		if !f.sentAt.Before(grantedAt) {
			return
		}
		f.overtaken++
		if !u.disabled.NoHung && !f.hung && f.overtaken >= hungAfterOvertaken && now.Sub(f.sentAt) > overdueFactor*u.expectedDelay(now, typicalWorkTime) {
			f.hung = true
			u.hung++
		}
	}
}

// observe learns the work time from a whole run: what the requests ahead took
// is counted out, and how slow the upstream said that it was.
func (u *Upstream) observeWorkTime(now time.Time, took time.Duration, inFlight float64) {
	rounds := (inFlight + 1) / float64(u.Slots)
	slowness := u.answerSlowness(now)
	sample := time.Duration(float64(took) / max(1, rounds) / slowness)
	weight := float64(workTimeWeight)
	if rounds > 1 {
		weight = queuedWorkTimeWeight
	}
	sampleCount := weight / workTimeWeight
	u.unreportedRuns = u.unreportedRuns.Add(worktime.Sum{Total: time.Duration(sampleCount * float64(sample)), Runs: sampleCount, Slowness: sampleCount * slowness})
	if u.ownWorkTime == 0 {
		u.ownWorkTime = sample
		return
	}
	u.ownWorkTime += time.Duration(weight * float64(sample-u.ownWorkTime))
}
