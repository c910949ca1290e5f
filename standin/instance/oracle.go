package instance

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Oracle notes what all instances do and finds what must never happen: two
// owners of one key at once, a fence that does not rise with a new owner, a
// request that must not run twice and does, a request that is sent without the id
// that its client gave it. All clients of its instances give ids.
type Oracle struct {
	mu sync.Mutex
	// holds are by instance.
	holds map[string][]hold
	// fences are the highest fence of each key's owners, by span.
	fences     []owned
	runs       map[string]int
	by         map[string]int
	violations []string
}

type owned struct {
	spans.KeyRange
	owner string
	fence uint64
}

// NewOracle returns an oracle that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{holds: make(map[string][]hold), runs: make(map[string]int), by: make(map[string]int)}
}

func (o *Oracle) granted(id string, keys spans.KeyRange, fence uint64, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for other, holds := range o.holds {
		for _, h := range holds {
			if other != id && overlap(h.KeyRange, keys) && now.Before(h.until) {
				o.violate("keys %d-%d granted to %s while %s holds %d-%d", keys.First, keys.Last, id, other, h.First, h.Last)
			}
		}
	}
	for _, f := range o.fences {
		if f.owner != id && overlap(f.KeyRange, keys) && f.fence >= fence {
			o.violate("keys %d-%d granted to %s with fence %d, %s had %d", keys.First, keys.Last, id, fence, f.owner, f.fence)
		}
	}
	o.drop(id, keys)
	o.holds[id] = append(o.holds[id], hold{keys, fence, until})
	o.fences = append(o.fences, owned{keys, id, fence})
}

func (o *Oracle) released(id string, keys spans.KeyRange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(id, keys)
}

func (o *Oracle) drop(id string, keys spans.KeyRange) {
	scratch := Instance{holds: o.holds[id]}
	scratch.drop(keys)
	o.holds[id] = scratch.holds
}

// Ran notes that an instance begins to run a request.
func (o *Oracle) Ran(instance, id, method string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id]++
	o.by[instance]++
	if o.runs[id] > 1 && method != "GET" {
		o.violate("request %s ran %d times", id, o.runs[id])
	}
}

// lostID notes that an instance was sent a request without an id.
func (o *Oracle) lostID(instance, method, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violate("%s %s was sent to %s without an id", method, path, instance)
}

func (o *Oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// Ended forgets the holds of an instance whose process has ended.
func (o *Oracle) Ended(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.holds, id)
}

// Runs returns how often a request ran.
func (o *Oracle) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// RunsBy returns how many requests an instance ran.
func (o *Oracle) RunsBy(instance string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.by[instance]
}

// Violations returns what must not have happened.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}
