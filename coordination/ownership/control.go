package ownership

import "time"

// This file assesses owners by the results of control calls (grants, renewals, releases and probes)
// and by the requests that they answer. A control call without an answer is weak evidence: the owner
// may be lost, only the answer may be lost, or the call may still take effect. An owner that answers
// requests is not lost. Taking its keys away would cost more than the fault: they would move
// without a handover, and by more control calls, of which half fail as well.

const (
	// SilentOwnerTimeout is how long control calls must have failed before an owner that answers no
	// requests either loses its keys. It covers two probes and a grant, of 250 ms each.
	SilentOwnerTimeout = 900 * time.Millisecond
	// answerValidity is how long an answered request counts as evidence that an owner works. It
	// covers two reports at intervals of 250 ms: one by the gateway that received the answer, and
	// one by another gateway that passes it on.
	answerValidity = 600 * time.Millisecond
	// Control calls count as unreliable if they fail at this share of the upstreams, and at least
	// at this number of them, while these upstreams answer requests.
	unreliableMinShare     = 0.25
	unreliableMinUpstreams = 2
)

// ControlHealth is the evidence on one upstream from control calls and requests. A zero time means
// never.
type ControlHealth struct {
	// FailingSince is the time of the first failed call since the last successful grant, and
	// LastFailed that of the latest one. Both are zero if no call has failed since.
	FailingSince, LastFailed time.Time
	// ProbeAnswered is true if a probe, a call that changes nothing, was answered after the last
	// failed call.
	ProbeAnswered bool
	// LastGranted is when a grant was last answered.
	LastGranted time.Time
	// LastAnswered is the time of the last request known to have been answered.
	LastAnswered time.Time
}

// Failing reports whether control calls to the upstream fail.
func (c ControlHealth) Failing() bool { return !c.FailingSince.IsZero() }

// answersRequests reports whether the upstream has answered a request within answerValidity.
func (c ControlHealth) answersRequests(now time.Time) bool {
	return !c.LastAnswered.IsZero() && now.Sub(c.LastAnswered) <= answerValidity
}

// MayRenew reports whether grants may be renewed. A renewal that gets no answer may still extend
// the time for which a lost owner holds its keys. While calls fail, renewing therefore requires an
// answer to a probe or a request that is more recent than the last failure.
func (c ControlHealth) MayRenew() bool {
	return !c.Failing() || c.ProbeAnswered || c.LastAnswered.After(c.LastFailed)
}

// MayKeep reports whether the evidence allows the owner to keep its keys; hold is the time for
// which a grant is valid. An owner that answers requests keeps them until its last answered grant
// is so old that only the time needed to take the keys back remains: after the hold an owner
// without a new grant runs nothing.
func (c ControlHealth) MayKeep(now time.Time, hold time.Duration) bool {
	if !c.Failing() || now.Sub(c.FailingSince) < SilentOwnerTimeout {
		return true
	}
	return c.answersRequests(now) && now.Sub(c.LastGranted) < hold-SilentOwnerTimeout-answerValidity
}

// ControlUnreliable reports whether control calls fail at upstreams that answer requests. Moves
// that can wait then do more harm than good.
func ControlUnreliable(now time.Time, all []ControlHealth) bool {
	n := 0
	for _, c := range all {
		if c.Failing() && c.answersRequests(now) {
			n++
		}
	}
	return n >= unreliableMinUpstreams && float64(n) >= unreliableMinShare*float64(len(all))
}
