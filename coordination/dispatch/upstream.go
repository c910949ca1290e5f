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
	slotFactor = 2.5
	// objectiveShare bounds the estimated delay, in multiples of a route's objective. The
	// estimate rests on reports that are old by two or three runs: a bound below the
	// objective refuses requests whose upstream has slots free by now.
	objectiveShare = 1.6
	// crossDomainCost makes an upstream of another failure domain look slower, by
	// crossDomainMost of the route's objective at most: bytes between domains are priced,
	// and a queue in the own domain that makes answers late costs more than they do.
	crossDomainCost = 2.5
	crossDomainMost = 0.3
	// jitter spreads scores evenly by this share to both sides, so that
	// gateways with the same view do not all choose the same upstream.
	jitter = 0.12
	// workWeight is the weight of a new sample in the mean work time.
	workWeight = 0.1
	// queuedWeight is the same for a request that found all slots taken: how long it had to
	// wait is only estimated, and mostly from too few ahead, as the others' requests since
	// their last report are not known. With the full weight a full upstream seems slower than
	// it is, and is given less than it can run.
	queuedWeight = 0.02
	// failureWeight is the weight of a new outcome in the share of failures.
	failureWeight = 0.08
	// firstPause and longestPause bound the time without requests after an
	// upstream could not be reached. It doubles with each failure in a row.
	firstPause   = 200 * time.Millisecond
	longestPause = 1600 * time.Millisecond
	// overdueFactor is how many times the estimated delay a request may take
	// before it is overdue: work times have tails of three to five times the
	// mean.
	overdueFactor = 2
	// silentLeast is the least time without any answer after which an upstream
	// counts as silent.
	silentLeast = 350 * time.Millisecond
	// reportHalf is the age at which a report of other gateways' requests
	// counts for half; they are collected a few times a second.
	reportHalf = time.Second
	// firstGateways is the number of gateways assumed before any report: after a
	// start of all at once each would else fill the upstreams by itself. Small
	// deployments have 8 to 12; larger ones tell the number with the first news.
	firstGateways = 12
	// fullPause is how long an upstream that refused for want of room, or broke the
	// connection with all slots taken, gets nothing more than it already has. One that
	// does so with slots free fails in another way, and a pause would only waste
	// these.
	fullPause = 60 * time.Millisecond
	// warmUpSlowness is how much slower an upstream is taken to be while it
	// warms up.
	warmUpSlowness = 2
	// hungAfter is how many requests that were sent later must have been answered
	// before one that is overdue counts as hung: upstreams take requests in order, so
	// one that waits in a queue or runs long is passed by few.
	hungAfter = 3
)

// silentFactors are how many times the estimated delay an upstream may leave
// everything unanswered before it counts as silent: with one, two, three or more
// requests overdue.
var silentFactors = []time.Duration{8, 5, 3}

// Upstream is what one gateway knows of one upstream. It is not safe for
// concurrent use.
type Upstream struct {
	instances.Instance
	off Mechanisms
	// mine counts the requests sent from here and not answered, hung those of them
	// that the upstream seems to have forgotten.
	mine, hung int
	// others is the number that the other gateways reported at othersAt.
	others   float64
	othersAt time.Time
	// gateways is the number of all gateways, as last reported.
	gateways int
	// share is this gateway's part of the room.
	share share
	// work is the mean time of a run without waiting as seen from here, at a slowness of 1;
	// zero when unknown.
	work time.Duration
	// told is the same as all gateways together have seen it; zero when unknown.
	told time.Duration
	// runs are those seen since the last report.
	runs worktime.Sum
	// failures is the share of requests that failed lately.
	failures float64
	// pausedUntil is when a request may be tried again after the upstream
	// could not be reached.
	pausedUntil time.Time
	pause       time.Duration
	refused     bool
	fullUntil   time.Time
	// warmUntil is when it has warmed up, doubtUntil how long it is taken to warm up
	// whatever its entry says.
	warmUntil, doubtUntil time.Time
	// rightUntil is until when this gateway may send requests to it while it warms up,
	// nextStart when it may send the next one.
	rightUntil, nextStart time.Time
	// slowness is what it said of its slowness at slowAt, usual the mean as all gateways have
	// heard it, and heard that of heardRuns answers to this one.
	slowness         float64
	slowAt           time.Time
	usual            float64
	heard, heardRuns float64
	// toldOthers is how many requests of other gateways it had at toldAt, as it said.
	toldOthers float64
	toldAt     time.Time
	// said is what it has said of itself to this gateway.
	said notice.State
	// proving says that it has rested and not answered a request since: one at a time goes there.
	proving bool
	// leavingSince is when it was first known to be leaving; zero when it is not.
	leavingSince time.Time
	// evacuatedSince is when its failure domain was first seen to be evacuated; zero when
	// it is not.
	evacuatedSince time.Time
	lastAnswer     time.Time
	// unanswered are the requests in flight in the order in which they were sent.
	unanswered []flight
	// area is the sum of requests in flight over time since reportedAt, for
	// the report to the other gateways.
	area       float64
	areaAt     time.Time
	reportedAt time.Time
	// rank is its place in this gateway's order of preference.
	rank uint64
	// wanted measures the requests from here that it would get, limit is the limit that it
	// names, or nil.
	wanted quota.Meter
	limit  *upstreamLimit
	// queue holds the requests that wait for this upstream only.
	queue queue
}

// flight is one request in flight.
type flight struct {
	at time.Time
	// passed counts answers to requests that were sent later.
	passed int
	hung   bool
}

func newUpstream(one instances.Instance, now time.Time) *Upstream {
	return &Upstream{
		Instance: one, gateways: firstGateways, share: newShare(now),
		warmUntil: now.Add(one.WarmUp), areaAt: now, reportedAt: now,
	}
}

// alive is the number of requests from here that the upstream still has.
func (u *Upstream) alive() float64 { return float64(u.mine - u.hung) }

// inflight estimates the requests of all gateways at the upstream. As a report
// ages, the others are taken to have as many as this one each.
func (u *Upstream) inflight(now time.Time) float64 {
	return u.alive() + u.atOthers(now, u.reported(now))
}

// reported estimates the requests of the others from their reports.
func (u *Upstream) reported(now time.Time) float64 {
	alike := u.alive() * float64(u.gateways-1)
	if u.othersAt.IsZero() {
		return alike
	}
	fresh := float64(reportHalf) / float64(reportHalf+max(now.Sub(u.othersAt), 0))
	return fresh*u.others + (1-fresh)*alike
}

// silentFor is how long everything at the upstream has been unanswered.
func (u *Upstream) silentFor(now time.Time) time.Duration {
	if len(u.unanswered) == 0 {
		return 0
	}
	since := u.unanswered[0].at
	if u.lastAnswer.After(since) {
		since = u.lastAnswer
	}
	return now.Sub(since)
}

// silent reports whether the upstream is taken to be lost or cut off. The more
// requests are overdue, the sooner: one may just run long.
func (u *Upstream) silent(now time.Time, typical time.Duration) bool {
	if u.silentFor(now) <= silentLeast {
		return false
	}
	delay := u.delay(now, typical)
	overdue := 0
	for i := range u.unanswered {
		if now.Sub(u.unanswered[i].at) > overdueFactor*delay {
			overdue++
		}
	}
	if overdue == 0 {
		return false
	}
	factor := silentFactors[min(overdue, len(silentFactors))-1]
	return u.silentFor(now) > factor*delay
}

// workTime is the time of one run without waiting at the moment: as all gateways have seen
// it, else as this one has.
func (u *Upstream) workTime(now time.Time, typical time.Duration) time.Duration {
	return time.Duration(u.slow(now) * float64(u.meanWork(now, typical)))
}

// meanWork is the same in the mean over the upstream's slow and fast moments.
func (u *Upstream) meanWork(now time.Time, typical time.Duration) time.Duration {
	warming := now.Before(u.warmUntil)
	switch {
	case u.told != 0 && warming:
		// Of one that has just started all others know little, too.
		return max(u.told, typical*warmUpSlowness)
	case u.told != 0:
		return u.told
	case u.work != 0:
		return time.Duration(u.usualSlowness() * float64(u.work))
	case warming:
		return typical * warmUpSlowness
	}
	return typical
}

// rate is how many requests the upstream ends in a second when all slots are busy.
func (u *Upstream) rate(now time.Time, typical time.Duration) float64 {
	return float64(u.Slots) / max(u.workTime(now, typical).Seconds(), leastWork.Seconds())
}

// leastWork keeps rates finite before any work time is known.
const leastWork = time.Millisecond

// delay estimates the time until one more request is answered.
func (u *Upstream) delay(now time.Time, typical time.Duration) time.Duration {
	return u.delayBehind(now, u.inflight(now), typical)
}

// delayBehind estimates the time until a request is answered that has so many ahead.
func (u *Upstream) delayBehind(now time.Time, inflight float64, typical time.Duration) time.Duration {
	ahead := inflight / float64(u.Slots)
	full := max(1, ahead+1/float64(u.Slots)) + min(1, ahead)/2
	return time.Duration(full * float64(u.workTime(now, typical)))
}

// room reports whether one more request keeps within the bounds. Only owners' room is
// shared out: requests that may go anywhere go where there is room, and holding them to
// shares sends them to slower upstreams and other failure domains.
func (u *Upstream) room(now time.Time, typical, objective time.Duration, owner bool) bool {
	inflight := u.inflight(now)
	slots := float64(u.Slots)
	idle := inflight+1 <= slots
	if owner && !u.off.NoShares && !u.share.allows(now, u.rate(now, typical), u.Slots, inflight) {
		return false
	}
	if u.mine == 0 && inflight < slots {
		return true
	}
	if now.Before(u.fullUntil) || inflight+1 > slotFactor*slots {
		return false
	}
	allowed := time.Duration(objectiveShare * float64(objective))
	return idle || u.delayBehind(now, inflight, typical) <= allowed
}

// usable reports whether the upstream seems to answer requests.
func (u *Upstream) usable(now time.Time, typical time.Duration) bool {
	if u.pause > 0 && u.mine > 0 {
		// One trial at a time after a failure.
		return false
	}
	return u.answers(now, typical)
}

// answers reports whether the upstream was reached lately, has not fallen silent, and is not tried
// by another request after a rest.
func (u *Upstream) answers(now time.Time, typical time.Duration) bool {
	if now.Before(u.pausedUntil) || u.proving && u.alive() > 0 {
		return false
	}
	return !u.silent(now, typical)
}

// score is the estimated delay weighed with what speaks against the upstream.
func (u *Upstream) score(now time.Time, typical, objective time.Duration, domain string, rng *rand.Rand) float64 {
	score := float64(u.delay(now, typical) + u.silentFor(now)/2)
	if u.Domain != domain {
		score += min((crossDomainCost-1)*score, crossDomainMost*float64(objective))
	}
	works := 1 - min(u.failures, 0.9)
	return score / (works * works) * (1 - jitter + 2*jitter*rng.Float64())
}

func (u *Upstream) advance(now time.Time) {
	u.area += now.Sub(u.areaAt).Seconds() * u.alive()
	u.areaAt = now
}

func (u *Upstream) sent(now time.Time, typical time.Duration) {
	u.advance(now)
	u.share.take(now, u.rate(now, typical))
	u.mine++
	u.unanswered = append(u.unanswered, flight{at: now})
}

// ended notes the end of a try.
func (u *Upstream) ended(now time.Time, g Grant, o Outcome, typical time.Duration) {
	began, ahead := g.Began, g.Ahead
	u.advance(now)
	u.forget(began)
	switch o {
	case Answered:
		u.reached(now, began, typical)
		if !g.Cold && !g.Warming {
			u.observe(now, now.Sub(began), ahead)
		}
		u.failures -= failureWeight * u.failures
		u.proving = u.proving && began.Before(u.said.RestUntil)
	case Failed:
		u.reached(now, began, typical)
		u.failures += failureWeight * (1 - u.failures)
		u.proving = u.proving && began.Before(u.said.RestUntil)
	case Full, Broken:
		u.reached(now, now, typical)
		u.failures += failureWeight * (1 - u.failures)
		if ahead+1 > float64(u.Slots) {
			u.fullUntil = now.Add(fullPause)
		}
	case NotOwner:
		u.reached(now, now, typical)
	case Unreachable, Refused:
		u.refused = o == Refused
		u.pause = min(max(firstPause, 2*u.pause), longestPause)
		u.pausedUntil = now.Add(u.pause)
	case Silent:
		if now.Sub(u.lastAnswer) > now.Sub(began) {
			u.pause = min(max(firstPause, 2*u.pause), longestPause)
			u.pausedUntil = now.Add(u.pause)
		}
	case Left:
	}
}

// forget takes a request off those in flight.
func (u *Upstream) forget(began time.Time) {
	u.mine--
	for i := range u.unanswered {
		if !u.unanswered[i].at.Equal(began) {
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
func (u *Upstream) reached(now, began time.Time, typical time.Duration) {
	u.lastAnswer = now
	u.pause = 0
	u.refused = false
	u.pausedUntil = time.Time{}
	for i := range u.unanswered {
		f := &u.unanswered[i]
		if !f.at.Before(began) {
			return
		}
		f.passed++
		if !u.off.NoHung && !f.hung && f.passed >= hungAfter && now.Sub(f.at) > overdueFactor*u.delay(now, typical) {
			f.hung = true
			u.hung++
		}
	}
}

// observe learns the work time from a whole run: what the requests ahead took
// is counted out, and how slow the upstream said that it was.
func (u *Upstream) observe(now time.Time, took time.Duration, ahead float64) {
	rounds := (ahead + 1) / float64(u.Slots)
	slowness := u.saidSlowness(now)
	sample := time.Duration(float64(took) / max(1, rounds) / slowness)
	weight := float64(workWeight)
	if rounds > 1 {
		weight = queuedWeight
	}
	seen := weight / workWeight
	u.runs = u.runs.Add(worktime.Sum{Total: time.Duration(seen * float64(sample)), Runs: seen, Slowness: seen * slowness})
	if u.work == 0 {
		u.work = sample
		return
	}
	u.work += time.Duration(weight * float64(sample-u.work))
}
