package poison

import "time"

// This file decides which suspects are refused.
//
// A request that ends upstreams ends each that runs it. An innocent one is at their ends by
// chance, and the more ends there are the sooner it is at three. What tells them apart: ends with a
// refused request on them are explained, and speak against nobody else; ends of late that a request
// was not on speak for it, above all those between its own ones.

const (
	// refusedFrom is how many ends of upstreams that nothing else explains a request must have
	// been at to be refused, if none passed it by in between and fewer than othersFrom before.
	refusedFrom = 3
	othersFrom  = 3
	// refusedAnyway is the number from which it is refused whatever happened besides.
	refusedAnyway = 4
	// apartFrom is the number of ends from which a request is to be sent where no other suspect
	// runs.
	apartFrom = refusedFrom - 1
	// endMemory is how long an end counts that no suspect is left of.
	endMemory = 30 * time.Second
)

// end is one end of an upstream with requests on it.
type end struct {
	at time.Time
	// on is the number of suspects that were on it, refused that of those that are refused.
	on, refused int
}

// endAdd notes a suspect on an end.
func (b *Tracker) endAdd(c Crash, refused bool) {
	one := b.ends[c.Event]
	if one == nil {
		one = &end{at: c.At}
		b.ends[c.Event] = one
	}
	if c.At.Before(one.at) {
		one.at = c.At
	}
	one.on++
	if refused {
		one.refused++
	}
}

// endRemove forgets a suspect on an end.
func (b *Tracker) endRemove(event Event, refused bool) {
	one := b.ends[event]
	one.on--
	if refused {
		one.refused--
	}
}

// forgetEnds drops ends that are too old to matter.
func (b *Tracker) forgetEnds(now time.Time) {
	for event, one := range b.ends {
		if one.on == 0 && now.Sub(one.at) >= endMemory {
			delete(b.ends, event)
		}
	}
}

// refuse has a suspect refused from now on: its ends are explained.
func (b *Tracker) refuse(s *suspect) {
	s.refused = true
	for event := range s.crashes {
		b.ends[event].refused++
	}
}

// acquit lets a suspect through again that too little is left against.
func (b *Tracker) acquit(s *suspect) {
	if !s.refused || len(s.crashes) >= refusedFrom {
		return
	}
	s.refused = false
	for event := range s.crashes {
		b.ends[event].refused--
	}
}

// guilty reports whether a suspect that is not refused yet is to be.
func (b *Tracker) guilty(s *suspect) bool {
	count := 0
	var first, last time.Time
	for event, at := range s.crashes {
		if b.ends[event].refused > 0 {
			continue
		}
		count++
		if first.IsZero() || at.Before(first) {
			first = at
		}
		last = later(last, at)
	}
	if count < refusedFrom {
		return false
	}
	return count >= refusedAnyway || !b.byChance(s, first, last)
}

// byChance reports whether a suspect may well have been at its ends by chance, the first and the last
// of them at these times: others that nothing explains passed it by.
func (b *Tracker) byChance(s *suspect, first, last time.Time) bool {
	others := 0
	for event, one := range b.ends {
		if _, on := s.crashes[event]; on || one.refused > 0 || !one.at.Before(last) {
			continue
		}
		if one.at.After(first) {
			return true
		}
		others++
	}
	return others >= othersFrom
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
