package dispatch

import "time"

// This file updates the state of an upstream at the end of a try.

// recordOutcome updates the state at the end of a try.
func (u *Upstream) recordOutcome(now time.Time, g Grant, o Outcome, typicalWorkTime time.Duration) {
	grantedAt, inFlight := g.GrantedAt, g.InFlight
	u.usedAt = now
	u.integrateInFlight(now)
	u.removeInFlight(grantedAt)
	switch o {
	case Answered:
		u.recordAnswer(now, grantedAt, typicalWorkTime)
		if !g.Cold && !g.Warming {
			u.observeWorkTime(now, now.Sub(grantedAt), u.inFlightDuring(now, inFlight), g.route, typicalWorkTime)
		}
		u.failureRate -= failureWeight * u.failureRate
		u.probing = u.probing && grantedAt.Before(u.notices.RestUntil)
	case Failed:
		u.recordAnswer(now, grantedAt, typicalWorkTime)
		u.failureRate += failureWeight * (1 - u.failureRate)
		u.probing = u.probing && grantedAt.Before(u.notices.RestUntil)
	case Overloaded, ConnectionBroken:
		u.contendedAt = now
		u.recordAnswer(now, now, typicalWorkTime)
		u.failureRate += failureWeight * (1 - u.failureRate)
		if inFlight+1 > float64(u.Slots) {
			u.overloadedUntil = now.Add(overloadBackoff)
		}
		if o == Overloaded {
			u.rejections.recordOwn(now)
		}
	case NotOwner:
		u.recordAnswer(now, now, typicalWorkTime)
	case Unreachable, ConnectionRefused:
		u.connectionRefused = o == ConnectionRefused
		u.extendBackoff(now)
	case TimedOut:
		if now.Sub(u.lastAnswerAt) > now.Sub(grantedAt) {
			u.extendBackoff(now)
		}
	case Canceled:
	}
}

// extendBackoff starts a time without requests, twice as long as the one before.
func (u *Upstream) extendBackoff(now time.Time) {
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// removeInFlight removes a request from those in flight.
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

// recordAnswer records a response to the request that was granted at grantedAt. Earlier requests
// that have been overtaken often enough and are overdue count as hung: the upstream takes requests
// in order and never answers one that it could not queue.
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
		if !u.disabled.NoHung && !f.hung && f.overtaken >= hungAfterOvertaken && now.Sub(f.sentAt) > overdueFactor*u.expectedDelay(now, typicalWorkTime, f.factor) {
			f.hung = true
			u.hung++
			if f.slotsTaken {
				u.rejections.recordOwn(now)
			}
		}
	}
}
