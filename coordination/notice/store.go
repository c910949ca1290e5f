package notice

import (
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// maxEntries bounds the number of unlisted upstream instances whose state is kept.
	maxEntries = 1024
	// retention is how long the state of an unlisted instance is kept. The registry entry of a
	// live upstream that expired comes back within seconds, and a process that has ended never
	// comes back with the same incarnation.
	retention = 10 * time.Minute
)

// Store keeps the notice state of upstream instances that are temporarily missing from the list of
// upstreams. The list may be stale, and notices stay valid for the same incarnation. The zero value
// is empty. It is not safe for concurrent use.
type Store struct{ entries map[instanceKey]entry }

// instanceKey identifies one incarnation of an upstream.
type instanceKey struct {
	upstream    string
	incarnation instances.Incarnation
}

type entry struct {
	state State
	since time.Time
}

// Save stores the state of an instance that is no longer listed. It drops the state when the store
// is full.
func (s *Store) Save(now time.Time, upstream string, incarnation instances.Incarnation, state State) {
	s.expire(now)
	if state == (State{}) || len(s.entries) >= maxEntries {
		return
	}
	if s.entries == nil {
		s.entries = make(map[instanceKey]entry)
	}
	s.entries[instanceKey{upstream, incarnation}] = entry{state: state, since: now}
}

// Apply merges a notice from an unlisted instance into its stored state.
func (s *Store) Apply(now time.Time, upstream string, incarnation instances.Incarnation, n Notice) Change {
	state := s.Take(upstream, incarnation)
	c := state.Apply(now, n)
	s.Save(now, upstream, incarnation, state)
	return c
}

// Has reports whether the state of an instance is stored.
func (s *Store) Has(upstream string, incarnation instances.Incarnation) bool {
	_, ok := s.entries[instanceKey{upstream, incarnation}]
	return ok
}

// Take removes and returns the state of an instance that is listed again.
func (s *Store) Take(upstream string, incarnation instances.Incarnation) State {
	id := instanceKey{upstream, incarnation}
	e := s.entries[id]
	delete(s.entries, id)
	return e.state
}

// expire removes entries that are older than the retention and whose rest period is over.
func (s *Store) expire(now time.Time) {
	for id, e := range s.entries {
		if now.Sub(e.since) > retention && !e.state.Resting(now) {
			delete(s.entries, id)
		}
	}
}
