// Package notice keeps what an upstream says of itself, with its answers, to the gateway that it
// answers: that it leaves, and for how long it wants nothing more.
package notice

import "time"

// MostRest bounds how long an upstream is left alone by one word of it: beyond that it is asked
// whether it still wants to rest.
const MostRest = 5 * time.Minute

// Notice is what one answer says.
type Notice struct {
	// Leaving says that the upstream is about to end.
	Leaving bool
	// Rest is for how long it wants nothing more from this gateway; zero when it does not ask
	// for rest.
	Rest time.Duration
}

// Standing is what stands of all that one start of an upstream has said to this gateway. The zero
// value is that of one that has said nothing. It is not safe for concurrent use.
type Standing struct {
	// LeavingSince is when it first said that it leaves; zero when it has not.
	LeavingSince time.Time
	// RestUntil is until when it wants nothing more.
	RestUntil time.Time
}

// Change is what a notice changes.
type Change struct {
	// Leaves says that the upstream has not said before that it leaves.
	Leaves bool
	// Rests says that it did not rest before.
	Rests bool
}

// Note takes over what an answer says. No answer takes back what another one has said: answers
// overtake each other, and a rest is asked for until its end.
func (s *Standing) Note(now time.Time, n Notice) Change {
	var c Change
	if n.Leaving && s.LeavingSince.IsZero() {
		s.LeavingSince = now
		c.Leaves = true
	}
	if until := now.Add(min(n.Rest, MostRest)); n.Rest > 0 && until.After(s.RestUntil) {
		c.Rests = !s.Resting(now)
		s.RestUntil = until
	}
	return c
}

// Leaving reports whether the upstream has said that it leaves.
func (s *Standing) Leaving() bool { return !s.LeavingSince.IsZero() }

// RestLeft returns for how long the upstream wants nothing yet.
func (s *Standing) RestLeft(now time.Time) time.Duration { return max(s.RestUntil.Sub(now), 0) }

// Resting reports whether the upstream wants nothing at the moment.
func (s *Standing) Resting(now time.Time) bool { return now.Before(s.RestUntil) }
