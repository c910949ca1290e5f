package poison

import (
	"slices"
	"time"
)

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
	// on are the suspects that were on it, refused the number of those that are refused.
	on      []Digest
	refused int
}

// endAdd notes a suspect on an end.
func (b *Book) endAdd(c Crash, refused bool) {
	one := b.ends[c.Event]
	if one == nil {
		one = &end{at: c.At}
		b.ends[c.Event] = one
	}
	if c.At.Before(one.at) {
		one.at = c.At
	}
	one.on = append(one.on, c.Digest)
	if refused {
		one.refused++
	}
}

// endRemove forgets a suspect on an end.
func (b *Book) endRemove(c Crash, refused bool) {
	one := b.ends[c.Event]
	one.on = slices.DeleteFunc(one.on, func(d Digest) bool { return d == c.Digest })
	if refused {
		one.refused--
	}
	if len(one.on) == 0 {
		delete(b.ends, c.Event)
	}
}

// refuse has a suspect refused from now on: its ends are explained.
func (b *Book) refuse(s *suspect) {
	s.refused = true
	for event := range s.crashes {
		b.ends[event].refused++
	}
}

// acquit lets a suspect through again that too little is left against.
func (b *Book) acquit(s *suspect) {
	if !s.refused || len(s.crashes) >= refusedFrom {
		return
	}
	s.refused = false
	for event := range s.crashes {
		b.ends[event].refused--
	}
}

// guilty reports whether a suspect that is not refused yet is to be.
func (b *Book) guilty(s *suspect) bool {
	if len(s.crashes) < refusedFrom {
		return false
	}
	count, apart := 0, false
	var first, last time.Time
	for event, c := range s.crashes {
		if b.ends[event].refused > 0 {
			continue
		}
		count++
		apart = apart || c.Apart && b.alone(c)
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
	return !b.passedBy(s, first, last)
}

// alone reports whether nothing that other gateways sent makes the end less than a proof: a gateway
// knows only what it has sent itself.
func (b *Book) alone(c Crash) bool {
	for _, d := range b.ends[c.Event].on {
		if d != c.Digest && len(b.suspects[d].crashes) >= ApartFrom {
			return false
		}
	}
	return true
}

// passedBy reports whether there was an end between two times that nothing explains and that the
// suspect was not on.
func (b *Book) passedBy(s *suspect, first, last time.Time) bool {
	for event, one := range b.ends {
		_, on := s.crashes[event]
		if !on && one.refused == 0 && one.at.After(first) && one.at.Before(last) {
			return true
		}
	}
	return false
}
