// Package notice keeps what an upstream says of itself, with its answers, to the gateway that it
// answers: that it leaves, and for how long it wants nothing more.
package notice

import "time"

// MaxRest bounds how long an upstream is left alone by one word of it: beyond that it is asked
// whether it still wants to rest.
const MaxRest = 5 * time.Minute

// Notice is what one answer says.
type Notice struct {
	// Leaving says that the upstream is about to end.
	Leaving bool
	// Rest is for how long it wants nothing more from this gateway; zero when it does not ask
	// for rest.
	Rest time.Duration
}

// State is what stands of all that one start of an upstream has said to this gateway. The zero
// value is that of one that has said nothing. It is not safe for concurrent use.
type State struct {
	// LeavingSince is when it first said that it leaves; zero when it has not.
	LeavingSince time.Time
	// RestUntil is until when it wants nothing more.
	RestUntil time.Time
}

// Change is what a notice changes.
type Change struct {
	// StartedLeaving says that the upstream has not said before that it leaves.
	StartedLeaving bool
	// StartedResting says that it did not rest before.
	StartedResting bool
}

// Apply takes over what an answer says. No answer takes back what another one has said: answers
// overtake each other, and a rest is asked for until its end.
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

// Leaving reports whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return !s.LeavingSince.IsZero() }

// RestRemaining returns for how long the upstream wants nothing yet.
func (s *State) RestRemaining(now time.Time) time.Duration { return max(s.RestUntil.Sub(now), 0) }

// Resting reports whether the upstream wants nothing at the moment.
func (s *State) Resting(now time.Time) bool { return now.Before(s.RestUntil) }
