package upstream

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// maxLease bounds how far a renewal may reach into the future.
const maxLease = 10 * time.Second

// grant is a span held at an epoch.
type grant struct {
	keyspace.Span
	epoch  uint64
	warmAt time.Duration
}

// floor is a span in which grants up to an epoch are refused.
type floor struct {
	keyspace.Span
	epoch uint64
}

// owner keeps the grants and the lease. Times are readings of its own
// monotonic clock.
type owner struct {
	clock  func() time.Duration
	warmUp time.Duration

	mu       sync.Mutex
	boot     string
	boots    int
	lease    time.Duration
	grants   []grant
	floors   []floor
	prepared map[keyspace.Span]time.Duration
	leaving  bool
}

func newOwner(clock func() time.Duration, bootBase string, warmUp time.Duration) *owner {
	o := &owner{clock: clock, warmUp: warmUp, boot: bootBase, prepared: make(map[keyspace.Span]time.Duration)}
	return o
}

// reset drops everything and takes a new boot id, so that late control
// messages for the former one have no effect.
func (o *owner) reset() {
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
	o.floors = nil
	clear(o.prepared)
}

// renew extends the lease and reports whether it was meant for this boot.
func (o *owner) renew(r control.Renewal) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Boot != o.boot {
		return false
	}
	until := min(time.Duration(r.UntilNanos), o.clock()+maxLease)
	o.lease = max(o.lease, until)
	return true
}

func (o *owner) grantAll(g control.Grants) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.Boot != o.boot {
		return false
	}
	for _, one := range g.Grants {
		if one.Prepare {
			if _, ok := o.prepared[one.Span]; !ok {
				o.prepared[one.Span] = o.clock() + o.warmUp
			}
			continue
		}
		o.grantOne(one)
	}
	return true
}

func (o *owner) grantOne(g control.Grant) {
	for _, f := range o.floors {
		if f.Overlaps(g.Span) && g.Epoch <= f.epoch {
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
	o.carve(g.Span, g.Epoch)
	o.grants = append(o.grants, grant{Span: g.Span, epoch: g.Epoch, warmAt: warmAt})
}

// carve removes grants up to epoch from the span.
func (o *owner) carve(span keyspace.Span, epoch uint64) {
	var kept []grant
	for _, held := range o.grants {
		if held.epoch > epoch {
			kept = append(kept, held)
			continue
		}
		for _, part := range held.Cut(span) {
			if !span.Covers(part) {
				kept = append(kept, grant{Span: part, epoch: held.epoch, warmAt: held.warmAt})
			}
		}
	}
	o.grants = kept
}

func (o *owner) revokeAll(list []control.Revocation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range list {
		o.carve(r.Span, r.Epoch)
		o.addFloor(floor{Span: r.Span, epoch: r.Epoch})
	}
}

// addFloor replaces floors that the new one covers.
func (o *owner) addFloor(f floor) {
	kept := o.floors[:0]
	for _, old := range o.floors {
		if f.Covers(old.Span) && old.epoch <= f.epoch {
			continue
		}
		kept = append(kept, old)
	}
	o.floors = append(kept, f)
}

// check reports whether the upstream may run a request at h under epoch now,
// and whether the range is warm.
func (o *owner) check(h keyspace.Hash, epoch uint64) (owned, warm bool) {
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

func (o *owner) status() control.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return control.Status{Boot: o.boot, ClockNanos: int64(o.clock()), Leaving: o.leaving}
}

func (o *owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// empty reports whether nothing is granted.
func (o *owner) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.grants) == 0
}
