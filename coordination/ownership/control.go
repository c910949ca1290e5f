package ownership

import "time"

// This file judges owners by their control calls (grants, renewals, releases, trials) and by the
// requests that they answer. A call without an answer says little by itself: the owner may be lost,
// or only the answer, or the call may take effect later. An owner that answers requests is not
// lost, and taking its keys away costs more than the fault: they come to others without a
// handover, by more calls of which half fail as well.

const (
	// SilentOwnerTimeout is how long control calls must have failed before an owner that answers no
	// requests either loses its keys: two trials and a grant, of 250 ms each.
	SilentOwnerTimeout = 900 * time.Millisecond
	// answerValidity is how long an answered request speaks for an owner: two reports of 250 ms from
	// the gateway that has seen it, the second by way of another gateway.
	answerValidity = 600 * time.Millisecond
	// unreliableMinShare of the upstreams, and unreliableMinUpstreams of them, must answer requests while
	// control calls to them fail for these to count as unreliable.
	unreliableMinShare     = 0.25
	unreliableMinUpstreams = 2
)

// ControlHealth is what control calls and requests have shown of one upstream. Zero times stand for
// never.
type ControlHealth struct {
	// FailingSince is when calls began to fail, LastFailed when the last one did; zero when the
	// last grant was answered.
	FailingSince, LastFailed time.Time
	// ProbeAnswered says that a call which changes nothing was answered after the last that failed.
	ProbeAnswered bool
	// LastGranted is when a grant was last answered.
	LastGranted time.Time
	// LastAnswered is when a request was last heard of that it answered.
	LastAnswered time.Time
}

// Failing reports whether control calls fail.
func (c ControlHealth) Failing() bool { return !c.FailingSince.IsZero() }

// lives reports whether the upstream answers requests though control calls fail.
func (c ControlHealth) answersRequests(now time.Time) bool {
	return !c.LastAnswered.IsZero() && now.Sub(c.LastAnswered) <= answerValidity
}

// MayRenew reports whether grants may be renewed. Each that gets no answer may hold the keys of a
// lost owner for longer, so while calls fail it takes a sign of life that is younger than the
// last of them.
func (c ControlHealth) MayRenew() bool {
	return !c.Failing() || c.ProbeAnswered || c.LastAnswered.After(c.LastFailed)
}

// MayKeep reports whether an owner keeps its keys as far as control calls tell. One that answers
// requests does, as long as some grant was answered within the time for which grants hold, less
// what taking its keys back needs: an owner that no grant reaches runs nothing after that.
func (c ControlHealth) MayKeep(now time.Time, hold time.Duration) bool {
	if !c.Failing() || now.Sub(c.FailingSince) < SilentOwnerTimeout {
		return true
	}
	return c.answersRequests(now) && now.Sub(c.LastGranted) < hold-SilentOwnerTimeout-answerValidity
}

// ControlUnreliable reports whether control calls fail at upstreams that answer requests, so that moves
// which can wait do more harm than good.
func ControlUnreliable(now time.Time, all []ControlHealth) bool {
	n := 0
	for _, c := range all {
		if c.Failing() && c.answersRequests(now) {
			n++
		}
	}
	return n >= unreliableMinUpstreams && float64(n) >= unreliableMinShare*float64(len(all))
}
