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
	// sampleInterval is the share of requests that reach the sketch: one in so
	// many. Each sample counts for as many.
	sampleInterval = 4
	// sketchCapacity is the number of keys watched per service.
	sketchCapacity = 256
	// maxReportedKeys is the number of keys reported per service.
	maxReportedKeys = 32
)

// Tracker counts hot keys at one entry. It is safe for concurrent use.
type Tracker struct {
	requests atomic.Uint64
	mu       sync.Mutex
	sketches map[string]*SpaceSaving
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{sketches: make(map[string]*SpaceSaving)} }

// Record notes a request that is sent to its owner.
func (t *Tracker) Record(service string, _ gate.Route, key string) {
	if t.requests.Add(1)%sampleInterval != 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sketches[service]
	if s == nil {
		s = NewSpaceSaving(sketchCapacity)
		t.sketches[service] = s
	}
	s.Add(keyspace.Of(key), sampleInterval)
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
		for _, k := range s.Top(maxReportedKeys) {
			out = append(out, KeyRate{Service: name, Hash: k.Hash, Requests: k.Count - k.Error})
		}
	}
	clear(t.sketches)
	return out
}
