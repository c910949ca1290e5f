// Package load measures the request load by range and by hot key. Each entry counts, and the
// controller of the cell merges the counts. Memory is bounded by the number of ranges in the cell
// and the capacity of the sketches, not by the number of keys.
package load

import (
	"sync"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

const (
	// sampleInterval is the sampling interval of the sketch: one request in this many is added to
	// it, and is counted as this many.
	sampleInterval = 4
	// sketchCapacity is the number of keys tracked for each service.
	sketchCapacity = 256
	// maxReportedKeys is the number of keys reported for each service.
	maxReportedKeys = 32
)

// Tracker counts the requests to hot keys at one entry. It is safe for concurrent use.
type Tracker struct {
	requests atomic.Uint64
	mu       sync.Mutex
	sketches map[string]*SpaceSaving
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{sketches: make(map[string]*SpaceSaving)} }

// Record counts a request that is sent to its owner.
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
	s.Add(keyspace.HashKey(key), sampleInterval)
}

// KeyRate is the number of requests for one hot key in a report interval.
type KeyRate struct {
	Service  string
	Hash     keyspace.Hash
	Requests uint64
}

// Take returns the hottest keys since the last call and resets the counts.
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
