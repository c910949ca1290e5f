package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rockcroft/rockcroft/coordination/callers"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/coordination/retryafter"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// maxInFlightPerSlot bounds the requests at one upstream, per slot: some run, and the rest
	// queue there so that no slot idles during a network round trip. Instances queue about four
	// times their slots before they refuse, reset or hang, so an estimate that is off by a factor
	// of two does no harm.
	maxInFlightPerSlot = 2.5
	// maxDelayPerObjective bounds the expected delay, as a multiple of a route's objective. The
	// estimate uses reports that are two or three runs old: with a bound below the objective,
	// requests are refused although their upstream has free slots by now.
	maxDelayPerObjective = 1.6
	// crossDomainFactor multiplies the score of an upstream in another failure domain. The penalty
	// is at most crossDomainMaxPenalty of the route's objective: traffic between domains costs
	// money, but a local queue that makes answers late costs more.
	crossDomainFactor     = 2.5
	crossDomainMaxPenalty = 0.3
	// scoreJitter randomizes scores uniformly by this fraction in both directions, so that
	// gateways with the same view do not all choose the same upstream.
	scoreJitter = 0.12
	// failureWeight is the weight of a new outcome in the moving average of the failure rate.
	failureWeight = 0.08
	// minBackoff and maxBackoff bound the time without requests after an upstream could not be
	// reached. The backoff doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// overdueFactor is how many times its expected delay a request may take before it is overdue:
	// the tails of work times reach three to five times the mean.
	overdueFactor = 2
	// minSilence is the minimum time without any response before an upstream counts as silent.
	minSilence = 350 * time.Millisecond
	// reportHalfLife is the age at which a report of other gateways' requests counts half. Reports
	// are collected a few times a second.
	reportHalfLife = time.Second
	// assumedGateways is the number of gateways assumed before the first report. If all gateways
	// start at once, each would otherwise fill the upstreams by itself. Small deployments have 8 to
	// 12 gateways; in larger ones the first report contains the number.
	assumedGateways = 12
	// overloadBackoff is how long an upstream gets no additional requests after it refused a
	// request as overloaded, or broke the connection, with all slots taken. An upstream that
	// does so with free slots has another fault, and a pause would only waste those slots.
	overloadBackoff = 60 * time.Millisecond
	// warmUpSlowdown is how many times slower an upstream is assumed to be while it warms up.
	warmUpSlowdown = 2
	// hungAfterOvertaken is the number of later requests that must have been answered before an
	// overdue request counts as hung. Upstreams take requests in order, so few requests overtake
	// one that is queued or runs long.
	hungAfterOvertaken = 3
)

// silentFactors are the multiples of the expected delay for which an upstream may leave everything
// unanswered before it counts as silent, with one, two, and three or more requests overdue.
var silentFactors = []time.Duration{8, 5, 3}

// Upstream is one gateway's state for one upstream. It is not safe for concurrent use.
type Upstream struct {
	instances.Instance
	disabled Mechanisms
	// routes holds how the work of the service's routes differs. Work times of the upstream are those
	// of a run of mean work.
	routes *worktime.Routes
	// ownInFlight counts this gateway's unanswered requests. hung counts those of them that the
	// upstream will apparently never answer.
	ownInFlight, hung int
	// othersInFlight is the number of requests that the other gateways reported at
	// othersInFlightAt.
	othersInFlight   float64
	othersInFlightAt time.Time
	// gateways is the number of all gateways as last reported.
	gateways int
	// share is this gateway's share of the upstream's capacity.
	share fairShare
	// ownWorkTime is the mean time of a run without queueing, as measured by this gateway and
	// normalized to a slowness of 1; zero if unknown.
	ownWorkTime time.Duration
	// clusterWorkTime is the mean time of a run over all gateways' measurements, at the upstream's
	// mean slowness; zero if unknown.
	clusterWorkTime time.Duration
	// unreportedRuns sums up the runs measured since the last report.
	unreportedRuns worktime.Sum
	// failureRate is the moving average of failed requests.
	failureRate float64
	// backoffUntil is when the next request may be tried after the upstream could not be reached.
	backoffUntil      time.Time
	backoff           time.Duration
	connectionRefused bool
	overloadedUntil   time.Time
	// rejections is what is known of requests that it had no room for.
	rejections rejections
	// warmUpUntil is when the warm-up ends. assumedWarmUpUntil is until when the upstream is
	// assumed to warm up, regardless of its entry.
	warmUpUntil, assumedWarmUpUntil time.Time
	// rightUntil is when this gateway's right to send to the upstream during its warm-up ends,
	// nextSendAt when it may send the next request.
	rightUntil, nextSendAt time.Time
	// slowness is what the upstream reported at slownessAt. clusterSlowness is the mean over the
	// responses to all gateways, ownSlowness the mean over ownSlownessSamples responses to this one.
	slowness                        float64
	slownessAt                      time.Time
	clusterSlowness                 float64
	ownSlowness, ownSlownessSamples float64
	// selfReportedOthers is the number of other gateways' requests at the upstream, derived from
	// the load that it reported at selfReportedAt.
	selfReportedOthers float64
	selfReportedAt     time.Time
	// notices holds the upstream's notices to this gateway that it is leaving or resting.
	notices notice.State
	// probing is set when the upstream asked for rest and has not processed a request since. Only
	// one request at a time is sent to it.
	probing bool
	// leavingSince is the earliest time at which the upstream may have said that it is leaving; zero if
	// it is not.
	leavingSince time.Time
	// evacuatedSince is when its failure domain was first seen to be evacuated; zero if it is not.
	evacuatedSince time.Time
	lastAnswerAt   time.Time
	// unanswered holds the requests in flight, in the order in which they were sent.
	unanswered []inFlightRequest
	// inFlightSeconds is the integral of the requests in flight over time since lastReportAt, for
	// the report to the other gateways.
	inFlightSeconds   float64
	inFlightSecondsAt time.Time
	lastReportAt      time.Time
	// usedAt is when the upstream was last considered for a request or answered one.
	usedAt time.Time
	// demandMeter measures this gateway's demand for the upstream. limit is the rate limit that the
	// upstream announced, or nil.
	demandMeter quota.Meter
	limit       *upstreamLimit
	// arrivalRate is the rate of requests for the upstream as an owner, per second; arrivals counts
	// those since arrivalsAt.
	arrivalRate float64
	arrivals    int
	arrivalsAt  time.Time
	// contendedAt is when the upstream, as an owner, last had as many requests as slots.
	contendedAt time.Time
	// queue holds the requests that wait for this upstream only.
	queue queue
	// retryTimes are the times to come back for refused requests for keys that the upstream owns.
	retryTimes retryafter.Schedule
	// room is divided among the callers of these requests.
	room callers.Room
}

// inFlightRequest is one request in flight.
type inFlightRequest struct {
	sentAt time.Time
	// factor is the work of the request's route as a factor of the service's mean.
	factor float64
	// slotsTaken is set if all slots seemed taken when it was sent.
	slotsTaken bool
	// overtaken counts answers to requests that were sent later.
	overtaken int
	hung      bool
}

func newUpstream(instance instances.Instance, now time.Time) *Upstream {
	return &Upstream{
		Instance: instance, gateways: assumedGateways, share: newFairShare(now),
		usedAt: now, inFlightSecondsAt: now, lastReportAt: now,
	}
}

// activeInFlight returns the number of this gateway's requests in flight, without hung ones.
func (u *Upstream) activeInFlight() float64 { return float64(u.ownInFlight - u.hung) }

// totalInFlight estimates the requests of all gateways at the upstream.
func (u *Upstream) totalInFlight(now time.Time) float64 {
	return u.activeInFlight() + u.othersEstimate(now, u.othersFromReports(now))
}

// othersFromReports estimates the requests of the other gateways from their reports. As a report
// ages, the estimate moves towards the assumption that each of them has as many as this one.
func (u *Upstream) othersFromReports(now time.Time) float64 {
	assumed := u.activeInFlight() * float64(u.gateways-1)
	if u.othersInFlightAt.IsZero() {
		return assumed
	}
	freshness := float64(reportHalfLife) / float64(reportHalfLife+max(now.Sub(u.othersInFlightAt), 0))
	return freshness*u.othersInFlight + (1-freshness)*assumed
}

// silenceDuration returns for how long the upstream has answered none of the requests in flight.
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

// silent reports whether the upstream is considered lost or unreachable. This takes less time when
// more requests are overdue, because a single request may just run long.
func (u *Upstream) silent(now time.Time, typicalWorkTime time.Duration) bool {
	if u.silenceDuration(now) <= minSilence {
		return false
	}
	inFlight := u.totalInFlight(now)
	overdueCount, longest := 0, 0.0
	for i := range u.unanswered {
		f := &u.unanswered[i]
		if now.Sub(f.sentAt) > overdueFactor*u.expectedDelayBehind(now, inFlight, typicalWorkTime, f.factor) {
			overdueCount++
			longest = max(longest, f.factor)
		}
	}
	if overdueCount == 0 {
		return false
	}
	factor := silentFactors[min(overdueCount, len(silentFactors))-1]
	return u.silenceDuration(now) > factor*u.expectedDelayBehind(now, inFlight, typicalWorkTime, longest)
}

// hasCapacity reports whether one more request stays within the bounds. Shares of the capacity
// apply only to requests for an owner. Other requests go wherever there is capacity; limiting them
// to shares would send them to slower upstreams and other failure domains.
func (u *Upstream) hasCapacity(now time.Time, typicalWorkTime time.Duration, req *Request, owner bool) bool {
	inFlight := u.totalInFlight(now)
	if owner {
		inFlight = u.totalAtOwner(now)
	}
	slots := float64(u.Slots)
	if owner && !u.disabled.NoShares && !u.withinShare(now, typicalWorkTime, inFlight) {
		return false
	}
	if u.ownInFlight == 0 && inFlight < slots {
		return true
	}
	if now.Before(u.overloadedUntil) || inFlight+1 > maxInFlightPerSlot*slots {
		return false
	}
	return u.answersWithin(now, typicalWorkTime, req, inFlight, req.maxDelay)
}

// answersWithin reports whether the upstream, with the given number of requests in flight, has a free slot
// or probably answers one more request within the given time.
func (u *Upstream) answersWithin(now time.Time, typicalWorkTime time.Duration, req *Request, inFlight float64, most time.Duration) bool {
	return inFlight+1 <= float64(u.Slots) || u.expectedDelayBehind(now, inFlight, typicalWorkTime, req.route.Factor()) <= most
}

// withinShare reports whether this gateway's share of the upstream allows one more request. An owner
// with slots to spare needs no shares.
func (u *Upstream) withinShare(now time.Time, typicalWorkTime time.Duration, inFlight float64) bool {
	fresh := now.Sub(u.othersInFlightAt) <= maxReportAge
	if !fresh {
		u.share.endOdds(u.othersInFlightAt.Add(maxReportAge), u.gateways)
	}
	if fresh && !u.share.byOdds && u.sharedByMany() && !u.share.ownsSlots(u.Slots) {
		return inFlight+1 <= targetLoad*float64(u.Slots)
	}
	return u.share.allows(now, u.throughput(now, typicalWorkTime), u.Slots, inFlight)
}

// usable reports whether the upstream appears to answer requests.
func (u *Upstream) usable(now time.Time, typicalWorkTime time.Duration) bool {
	if u.backoff > 0 && u.ownInFlight > 0 {
		// After a failure only one request at a time is tried.
		return false
	}
	return u.responsive(now, typicalWorkTime)
}

// responsive reports whether the upstream is not in backoff, is not silent, and is not already
// being probed with a request after a rest.
func (u *Upstream) responsive(now time.Time, typicalWorkTime time.Duration) bool {
	if now.Before(u.backoffUntil) || u.probing && u.activeInFlight() > 0 {
		return false
	}
	return !u.silent(now, typicalWorkTime)
}

// score returns the expected delay, increased by penalties for silence, for a different failure
// domain and for failures. Lower is better.
func (u *Upstream) score(now time.Time, typicalWorkTime time.Duration, req *Request, domain string, rng *rand.Rand) float64 {
	score := float64(u.expectedDelay(now, typicalWorkTime, req.route.Factor()) + u.silenceDuration(now)/2)
	if u.Domain != domain {
		score += min((crossDomainFactor-1)*score, crossDomainMaxPenalty*float64(req.Objective))
	}
	successRate := 1 - min(u.failureRate, 0.9)
	return score / (successRate * successRate) * (1 - scoreJitter + 2*scoreJitter*rng.Float64())
}

func (u *Upstream) integrateInFlight(now time.Time) {
	u.inFlightSeconds += now.Sub(u.inFlightSecondsAt).Seconds() * u.activeInFlight()
	u.inFlightSecondsAt = now
}

func (u *Upstream) recordSend(now time.Time, inFlight float64, typicalWorkTime time.Duration, factor float64) {
	u.usedAt = now
	u.integrateInFlight(now)
	u.share.take(now, u.throughput(now, typicalWorkTime))
	u.ownInFlight++
	u.unanswered = append(u.unanswered, inFlightRequest{sentAt: now, factor: factor, slotsTaken: inFlight+1 > float64(u.Slots)})
}
