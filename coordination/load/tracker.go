// Package load measures where the requests go: per range and per hot key at
// each entry, merged at the controller of the cell. Its size is bounded by the
// ranges of the cell and the capacity of the sketches, not by the keys.
package load

import (
	"sync"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

const (
	// sampleEvery is the share of requests that reach the sketch: one in so
	// many. Each sample counts for as many.
	sampleEvery = 4
	// sketchSize is the number of keys watched per service.
	sketchSize = 256
	// reportedKeys is the number of keys reported per service.
	reportedKeys = 32
)

// Tracker counts hot keys at one entry. It is safe for concurrent use.
type Tracker struct {
	seen     atomic.Uint64
	mu       sync.Mutex
	sketches map[string]*SpaceSaving
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{sketches: make(map[string]*SpaceSaving)} }

// Saw notes a request that is sent to its owner.
func (t *Tracker) Saw(service string, _ gate.Route, key string) {
	if t.seen.Add(1)%sampleEvery != 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sketches[service]
	if s == nil {
		s = NewSpaceSaving(sketchSize)
		t.sketches[service] = s
	}
	s.Add(keyspace.Of(key), sampleEvery)
}

// KeyRate is the traffic of one hot key over a report interval.
type KeyRate struct {
	Service  string
	Hash     keyspace.Hash
	Requests uint64
}

// Take returns the hottest keys since the last call and starts anew.
func (t *Tracker) Take() []KeyRate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []KeyRate
	for name, s := range t.sketches {
		for _, k := range s.Top(reportedKeys) {
			out = append(out, KeyRate{Service: name, Hash: k.Hash, Requests: k.Count - k.Error})
		}
	}
	clear(t.sketches)
	return out
}
