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
	leases map[string][]lease
	// fences are the highest fence of each key's owners, by span.
	fences         []grantRecord
	runs           map[string]int
	runsByInstance map[string]int
	violations     []string
}

type grantRecord struct {
	spans.Keys
	owner string
	fence uint64
}

// NewOracle returns an oracle that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{leases: make(map[string][]lease), runs: make(map[string]int), runsByInstance: make(map[string]int)}
}

func (o *Oracle) recordGrant(id string, keys spans.Keys, fence uint64, expires time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for other, leases := range o.leases {
		for _, l := range leases {
			if other != id && overlap(l.Keys, keys) && now.Before(l.expires) {
				o.addViolation("keys %d-%d granted to %s while %s holds %d-%d", keys.First, keys.Last, id, other, l.First, l.Last)
			}
		}
	}
	for _, f := range o.fences {
		if f.owner != id && overlap(f.Keys, keys) && f.fence >= fence {
			o.addViolation("keys %d-%d granted to %s with fence %d, %s had %d", keys.First, keys.Last, id, fence, f.owner, f.fence)
		}
	}
	o.cutLeases(id, keys)
	o.leases[id] = append(o.leases[id], lease{keys, fence, expires})
	o.fences = append(o.fences, grantRecord{keys, id, fence})
}

func (o *Oracle) recordRelease(id string, keys spans.Keys) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cutLeases(id, keys)
}

func (o *Oracle) cutLeases(id string, keys spans.Keys) {
	scratch := Instance{leases: o.leases[id]}
	scratch.cutLeases(keys)
	o.leases[id] = scratch.leases
}

// Ran notes that an instance begins to run a request.
func (o *Oracle) RecordRun(instance, id, method string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id]++
	o.runsByInstance[instance]++
	if o.runs[id] > 1 && method != "GET" {
		o.addViolation("request %s ran %d times", id, o.runs[id])
	}
}

// lostID notes that an instance was sent a request without an id.
func (o *Oracle) recordMissingID(instance, method, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("%s %s was sent to %s without an id", method, path, instance)
}

func (o *Oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// Ended forgets the holds of an instance whose process has ended.
func (o *Oracle) InstanceTerminated(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leases, id)
}

// Runs returns how often a request ran.
func (o *Oracle) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// RunsBy returns how many requests an instance ran.
func (o *Oracle) InstanceRuns(instance string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runsByInstance[instance]
}

// Violations returns what must not have happened.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}
