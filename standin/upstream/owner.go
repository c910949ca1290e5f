package upstream

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// maxLease bounds how far in the future a renewed lease may end.
const maxLease = 10 * time.Second

// grant is a span that the upstream owns under an epoch.
type grant struct {
	keyspace.Span
	epoch  uint64
	warmAt time.Duration
}

// revocation is a span in which grants up to an epoch are rejected.
type revocation struct {
	keyspace.Span
	epoch uint64
}

// Ownership holds the grants and the lease of one upstream. All times are readings of the
// upstream's own monotonic clock. It is safe for concurrent use.
type Ownership struct {
	clock  func() time.Duration
	warmUp time.Duration

	mu          sync.Mutex
	boot        string
	boots       int
	lease       time.Duration
	grants      []grant
	revocations []revocation
	prepared    map[keyspace.Span]time.Duration
	leaving     bool
}

// NewOwnership returns the state of a process that has just started, without grants or a
// lease.
func NewOwnership(clock func() time.Duration, boot string, warmUp time.Duration) *Ownership {
	return &Ownership{clock: clock, warmUp: warmUp, boot: boot, prepared: make(map[keyspace.Span]time.Duration)}
}

// Reset drops all state and adopts a new boot ID, so that delayed control messages for the
// previous one have no effect.
func (o *Ownership) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.boots++
	base := o.boot
	for i := range base {
		if base[i] == '.' {
			base = base[:i]
			break
		}
	}
	o.boot = fmt.Sprintf("%s.%d", base, o.boots)
	o.lease = 0
	o.grants = nil
	o.revocations = nil
	clear(o.prepared)
}

// Renew extends the lease. It returns false, without effect, if the renewal is for a
// different boot ID.
func (o *Ownership) Renew(r control.Renewal) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Boot != o.boot {
		return false
	}
	until := min(time.Duration(r.UntilNanos), o.clock()+maxLease)
	o.lease = max(o.lease, until)
	return true
}

// Grant applies grants and requests to prepare. It returns false, without effect, if they
// are for a different boot ID.
func (o *Ownership) Grant(g control.Grants) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.Boot != o.boot {
		return false
	}
	for _, requested := range g.Grants {
		if requested.Prepare {
			if _, ok := o.prepared[requested.Span]; !ok {
				o.prepared[requested.Span] = o.clock() + o.warmUp
			}
			continue
		}
		o.applyGrant(requested)
	}
	return true
}

func (o *Ownership) applyGrant(g control.Grant) {
	for _, rev := range o.revocations {
		if rev.Overlaps(g.Span) && g.Epoch <= rev.epoch {
			return
		}
	}
	for _, held := range o.grants {
		if held.Overlaps(g.Span) && held.epoch >= g.Epoch {
			return
		}
	}
	warmAt, ok := o.prepared[g.Span]
	if !ok {
		warmAt = o.clock() + o.warmUp
	}
	delete(o.prepared, g.Span)
	o.removeGrants(g.Span, g.Epoch)
	o.grants = append(o.grants, grant{Span: g.Span, epoch: g.Epoch, warmAt: warmAt})
}

// removeGrants removes the span from all grants up to the epoch.
func (o *Ownership) removeGrants(span keyspace.Span, epoch uint64) {
	var kept []grant
	for _, held := range o.grants {
		if held.epoch > epoch {
			kept = append(kept, held)
			continue
		}
		for _, part := range held.SplitAround(span) {
			if !span.Covers(part) {
				kept = append(kept, grant{Span: part, epoch: held.epoch, warmAt: held.warmAt})
			}
		}
	}
	o.grants = kept
}

// Revoke removes the spans from grants up to the given epochs, and rejects such grants from
// now on.
func (o *Ownership) Revoke(list []control.Revocation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range list {
		o.removeGrants(r.Span, r.Epoch)
		o.addRevocation(revocation{Span: r.Span, epoch: r.Epoch})
	}
}

// addRevocation adds a revocation and drops those that it makes redundant.
func (o *Ownership) addRevocation(rev revocation) {
	kept := o.revocations[:0]
	for _, old := range o.revocations {
		if rev.Covers(old.Span) && old.epoch <= rev.epoch {
			continue
		}
		kept = append(kept, old)
	}
	o.revocations = append(kept, rev)
}

// Check reports whether the upstream may execute a request at h under the epoch now, and
// whether the range is warm.
func (o *Ownership) Check(h keyspace.Hash, epoch uint64) (owned, warm bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if now >= o.lease {
		return false, false
	}
	for _, g := range o.grants {
		if g.Contains(h) {
			return g.epoch == epoch, now >= g.warmAt
		}
	}
	return false, false
}

// Status returns the boot ID, clock and leaving state for the response to a control message.
func (o *Ownership) Status() control.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return control.Status{Boot: o.boot, ClockNanos: int64(o.clock()), Leaving: o.leaving}
}

// announceLeave announces a planned stop.
func (o *Ownership) announceLeave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// hasNoGrants reports whether the upstream has no grants.
func (o *Ownership) hasNoGrants() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.grants) == 0
}

// Holds reports whether the upstream would execute requests at h now, under some epoch.
func (o *Ownership) Holds(h keyspace.Hash) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.clock() >= o.lease {
		return false
	}
	for _, g := range o.grants {
		if g.Contains(h) {
			return true
		}
	}
	return false
}
