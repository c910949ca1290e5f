package poison

import "time"

// This file decides which suspects are refused.
//
// A harmful request ends every upstream that runs it. A harmless one is present at such ends by
// coincidence, and the more ends there are, the sooner it was present at three. Two rules separate
// them. An end at which a refused request was present is explained by that request and does not
// count against others, unless they were present at more ends than that request. A recent end at which a request was not present counts in favor of that
// request, most of all if it occurred between ends at which the request was present.

const (
	// refusalThreshold is the number of unexplained ends at which a request is refused, unless an
	// unrelated unexplained end occurred between them or at least coincidenceThreshold such ends
	// occurred before them.
	refusalThreshold     = 3
	coincidenceThreshold = 3
	// certainThreshold is the number of unexplained ends at which a request is refused regardless
	// of unrelated ends.
	certainThreshold = 4
	// isolationThreshold is the number of ends from which a request is only sent to upstreams that
	// run no other suspect.
	isolationThreshold = refusalThreshold - 1
)

// refuse marks a suspect as refused, which explains the ends it was present at. Those refused before that were
// present at fewer ends, all of them explained now, were there by coincidence.
func (t *Tracker) refuse(s *suspect) {
	s.refused = true
	for e := range s.crashes {
		e.refusedSuspects++
	}
	count := t.count(s)
	for _, other := range t.suspects {
		if other != s && other.refused && t.count(other) < count && t.unexplained(other).count < refusalThreshold {
			other.lift()
		}
	}
}

// lift ends the refusal of a suspect.
func (s *suspect) lift() {
	s.refused = false
	for e := range s.crashes {
		e.refusedSuspects--
	}
}

// isExplained reports whether a refused suspect that was present at an end explains it. It does not for one that
// was present at more ends: then that one is the likelier cause.
func (t *Tracker) isExplained(e *end, s *suspect) bool {
	if e.refusedSuspects == 0 {
		return false
	}
	count := t.count(s)
	for _, other := range t.suspects {
		if _, present := other.crashes[e]; present && other != s && other.refused && t.count(other) >= count {
			return true
		}
	}
	return false
}

// refuseIfDue refuses a suspect that has to be.
func (t *Tracker) refuseIfDue(s *suspect) {
	if !s.refused && t.shouldRefuse(s) {
		t.refuse(s)
	}
}

// reinstate lifts the refusal of a suspect that has fewer crashes left than refusalThreshold.
func (t *Tracker) reinstate(s *suspect) {
	if !s.refused || t.count(s) >= refusalThreshold {
		return
	}
	s.lift()
}

// unexplainedEnds are the ends of a suspect that no other one explains, with the times of the first and the
// last.
type unexplainedEnds struct {
	count       int
	first, last time.Time
}

func (t *Tracker) unexplained(s *suspect) unexplainedEnds {
	var u unexplainedEnds
	for e, c := range s.crashes {
		if e.contradicts(c.at) || t.isExplained(e, s) {
			continue
		}
		u.count++
		if u.first.IsZero() || c.at.Before(u.first) {
			u.first = c.at
		}
		u.last = later(u.last, c.at)
	}
	return u
}

// shouldRefuse reports whether a suspect that is not refused yet has to be.
func (t *Tracker) shouldRefuse(s *suspect) bool {
	if len(s.crashes) < refusalThreshold {
		return false
	}
	u := t.unexplained(s)
	if u.count < refusalThreshold {
		return false
	}
	return u.count >= certainThreshold || !t.likelyCoincidence(s, u.first, u.last)
}

// likelyCoincidence reports whether a suspect was probably present at its ends by coincidence,
// because unexplained ends occurred without it. first and last are the times of its first and last
// unexplained end.
func (t *Tracker) likelyCoincidence(s *suspect, first, last time.Time) bool {
	others := 0
	for _, h := range t.histories {
		for _, e := range h.ends {
			if _, present := s.crashes[e]; present || e.refusedSuspects > 0 || e.contradicts(e.at) || !e.at.Before(last) {
				continue
			}
			if e.at.After(first) {
				return true
			}
			others++
		}
	}
	return others >= coincidenceThreshold
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
