package poison

import "time"

// This file decides which suspects are refused.
//
// A request that ends upstreams ends each that runs it. An innocent one is at their ends by
// chance, and the more ends there are the sooner it is at three. What tells them apart:
//   - ends with a refused request on them are explained, and speak against nobody else;
//   - a request with two ends is sent where no other suspect runs, so that its next one tells;
//   - others' ends between its own ones passed it by.

const (
	// refusedFrom is how many ends of upstreams that nothing else explains a request must have
	// been at to be refused.
	refusedFrom = 3
	// refusedAnyway is the number from which it is refused whatever happened besides.
	refusedAnyway = 4
	// ApartFrom is the number of ends from which a request is to be sent where no other suspect
	// runs.
	ApartFrom = refusedFrom - 1
)

// end is one end of an upstream with requests on it.
type end struct {
	at time.Time
	// on is the number of suspects that were on it, refused that of those that are refused.
	on, refused int
}

// ends are all that suspects were on.
type ends map[Event]*end

// add notes a suspect on an end.
func (e ends) add(c Crash, refused bool) {
	one := e[c.Event]
	if one == nil {
		one = &end{at: c.At}
		e[c.Event] = one
	}
	if c.At.Before(one.at) {
		one.at = c.At
	}
	one.on++
	if refused {
		one.refused++
	}
}

// remove forgets a suspect on an end.
func (e ends) remove(event Event, refused bool) {
	one := e[event]
	one.on--
	if refused {
		one.refused--
	}
	if one.on == 0 {
		delete(e, event)
	}
}

// explain notes that a suspect is refused: its ends are explained.
func (e ends) explain(s *suspect) {
	for event := range s.crashes {
		e[event].refused++
	}
}

// guilty reports whether a suspect that is not refused yet is to be.
func (e ends) guilty(s *suspect) bool {
	if len(s.crashes) < refusedFrom {
		return false
	}
	count, apart := 0, false
	var first, last time.Time
	for event, c := range s.crashes {
		if e[event].refused > 0 {
			continue
		}
		count++
		apart = apart || c.Apart
		if first.IsZero() || c.At.Before(first) {
			first = c.At
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	switch {
	case count < refusedFrom:
		return false
	case count >= refusedAnyway || apart:
		return true
	}
	return !e.passedBy(s, first, last)
}

// passedBy reports whether there was an end between two times that nothing explains and that the
// suspect was not on.
func (e ends) passedBy(s *suspect, first, last time.Time) bool {
	for event, one := range e {
		_, on := s.crashes[event]
		if !on && one.refused == 0 && one.at.After(first) && one.at.Before(last) {
			return true
		}
	}
	return false
}
