// Package notice tracks the notices that an upstream sends to this gateway with its responses: that
// it is shutting down, or that it wants no requests for some time (a rest).
package notice

import "time"

// MaxRest bounds the rest that one notice can start. After that the gateway sends a request again
// to find out whether the upstream still wants to rest.
const MaxRest = 5 * time.Minute

// Notice is what one response announces.
type Notice struct {
	// Leaving is set if the upstream is about to shut down.
	Leaving bool
	// Rest is how long the upstream wants no more requests from this gateway; zero when it does
	// not ask for a rest.
	Rest time.Duration
}

// State is the combined effect of all notices that one incarnation of an upstream has sent to this
// gateway. The zero value means that there were none. It is not safe for concurrent use.
type State struct {
	// LeavingSince is when the upstream first announced its shutdown; zero when it has not.
	LeavingSince time.Time
	// RestUntil is the end of the rest that the upstream asked for.
	RestUntil time.Time
}

// Change describes what a notice changed in the state.
type Change struct {
	// StartedLeaving is set if this is the first notice of the shutdown.
	StartedLeaving bool
	// StartedResting is set if a rest began and the upstream was not resting before.
	StartedResting bool
}

// Apply merges a notice into the state. A notice never revokes or shortens an earlier one: responses
// can overtake each other, and a rest always lasts until its announced end.
func (s *State) Apply(now time.Time, n Notice) Change {
	var c Change
	if n.Leaving && s.LeavingSince.IsZero() {
		s.LeavingSince = now
		c.StartedLeaving = true
	}
	if until := now.Add(min(n.Rest, MaxRest)); n.Rest > 0 && until.After(s.RestUntil) {
		c.StartedResting = !s.Resting(now)
		s.RestUntil = until
	}
	return c
}

// Leaving reports whether the upstream has announced its shutdown.
func (s *State) Leaving() bool { return !s.LeavingSince.IsZero() }

// RestRemaining returns the time left until the rest ends; zero when the upstream is not resting.
func (s *State) RestRemaining(now time.Time) time.Duration { return max(s.RestUntil.Sub(now), 0) }

// Resting reports whether the upstream is resting now.
func (s *State) Resting(now time.Time) bool { return now.Before(s.RestUntil) }
