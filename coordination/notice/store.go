package notice

import (
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// maxEntries bounds the starts whose words are kept while they are not listed.
	maxEntries = 1024
	// retention is how long a leaving is kept: entries that lapse while an upstream lives come
	// back within seconds, and what has ended does not come back as the same start.
	retention = 10 * time.Minute
)

// Store keeps what starts of upstreams have said that are not listed for a while: lists may be old,
// and what was said stands for the same start. The zero value is empty. It is not safe for
// concurrent use.
type Store struct{ entries map[instanceKey]entry }

// instanceKey is one instanceKey of an upstream.
type instanceKey struct {
	upstream    string
	incarnation instances.Incarnation
}

type entry struct {
	state State
	since    time.Time
}

// Save takes what stands of a start that is not listed any more.
func (b *Store) Save(now time.Time, upstream string, incarnation instances.Incarnation, s State) {
	b.expire(now)
	if s == (State{}) || len(b.entries) >= maxEntries {
		return
	}
	if b.entries == nil {
		b.entries = make(map[instanceKey]entry)
	}
	b.entries[instanceKey{upstream, incarnation}] = entry{state: s, since: now}
}

// Apply takes over what an answer says of a start that is not listed, after what is kept of it.
func (b *Store) Apply(now time.Time, upstream string, incarnation instances.Incarnation, n Notice) Change {
	s := b.Take(upstream, incarnation)
	c := s.Apply(now, n)
	b.Save(now, upstream, incarnation, s)
	return c
}

// Take returns what stands of a start that is listed again, and forgets it.
func (b *Store) Take(upstream string, incarnation instances.Incarnation) State {
	id := instanceKey{upstream, incarnation}
	k := b.entries[id]
	delete(b.entries, id)
	return k.state
}

// expire drops what is too old to matter.
func (b *Store) expire(now time.Time) {
	for id, k := range b.entries {
		if now.Sub(k.since) > retention && !k.state.Resting(now) {
			delete(b.entries, id)
		}
	}
}
