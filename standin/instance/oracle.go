package instance

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Oracle records what all instances do and detects violations: two owners of one key at the
// same time, a new owner while the former one still runs requests for released keys whose lease would
// not have expired, a new owner whose fence is not higher than that of the previous one, a request
// that runs twice although it must not, and a request that arrives without the ID set by its
// client. All clients of the instances must therefore set IDs.
type Oracle struct {
	mu sync.Mutex
	// leases are the current leases by instance.
	leases map[string][]lease
	// finishing are the keys that each instance has released but still runs requests for, with the time at
	// which its lease would have expired.
	finishing map[string]map[uint16]time.Time
	// grants are all grants so far, with their owners and fences.
	grants         []grantRecord
	runs           map[string]int
	runsByInstance map[string]int
	violations     []string
}

// grantRecord is a grant of keys to an owner.
type grantRecord struct {
	spans.KeyRange
	owner string
	fence uint64
}

// NewOracle returns an oracle without records.
func NewOracle() *Oracle {
	return &Oracle{leases: make(map[string][]lease), finishing: make(map[string]map[uint16]time.Time), runs: make(map[string]int), runsByInstance: make(map[string]int)}
}

func (o *Oracle) recordGrant(id string, granted lease) {
	keys, fence := granted.KeyRange, granted.fence
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for other, leases := range o.leases {
		for _, l := range leases {
			if other != id && overlap(l.KeyRange, keys) && now.Before(l.expires) {
				o.addViolation("keys %d-%d granted to %s while %s holds %d-%d for %s more: %s; the other is %s", keys.First, keys.Last, id, other, l.First, l.Last,
					l.expires.Sub(now).Round(time.Millisecond), granted, l)
			}
		}
	}
	for other, released := range o.finishing {
		for key, expires := range released {
			if other != id && keys.Contains(key) && now.Before(expires) {
				o.addViolation("keys %d-%d granted to %s while %s runs requests for key %d", keys.First, keys.Last, id, other, key)
			}
		}
	}
	for _, g := range o.grants {
		if g.owner != id && overlap(g.KeyRange, keys) && g.fence >= fence {
			o.addViolation("keys %d-%d granted to %s with fence %d, %s had %d", keys.First, keys.Last, id, fence, g.owner, g.fence)
		}
	}
	o.cutLeases(id, keys)
	o.leases[id] = append(o.leases[id], granted)
	o.grants = append(o.grants, grantRecord{keys, id, fence})
}

// recordRelease records a release of keys, for some of which requests still run.
func (o *Oracle) recordRelease(id string, keys spans.KeyRange, running []uint16) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range running {
		for _, l := range o.leases[id] {
			if l.Contains(key) {
				o.recordFinishing(id, key, l.expires)
			}
		}
	}
	o.cutLeases(id, keys)
}

// recordFinishing records a released key for which requests run. The caller holds o.mu.
func (o *Oracle) recordFinishing(id string, key uint16, expires time.Time) {
	if o.finishing[id] == nil {
		o.finishing[id] = make(map[uint16]time.Time)
	}
	o.finishing[id][key] = expires
}

// recordIdle records that an instance runs no requests for the key any more.
func (o *Oracle) recordIdle(id string, key uint16) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.finishing[id], key)
}

func (o *Oracle) cutLeases(id string, keys spans.KeyRange) {
	scratch := Instance{leases: o.leases[id]}
	scratch.cutLeases(keys)
	o.leases[id] = scratch.leases
}

// RecordRun records that an instance starts to execute a request.
func (o *Oracle) RecordRun(instance, id, method string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id]++
	o.runsByInstance[instance]++
	if o.runs[id] > 1 && method != "GET" {
		o.addViolation("request %s ran %d times", id, o.runs[id])
	}
}

// recordMissingID records that an instance received a request without an ID.
func (o *Oracle) recordMissingID(instance, method, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("%s %s was sent to %s without an id", method, path, instance)
}

func (o *Oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// InstanceTerminated drops the leases of an instance whose process has ended.
func (o *Oracle) InstanceTerminated(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leases, id)
	delete(o.finishing, id)
}

// Runs returns how often a request was executed.
func (o *Oracle) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// InstanceRuns returns how many requests an instance executed.
func (o *Oracle) InstanceRuns(instance string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runsByInstance[instance]
}

// Violations returns a description of each violation detected.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}
