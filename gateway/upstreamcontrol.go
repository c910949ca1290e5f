package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file notes what calls to upstreams show of them, and which of their starts that is
// about.

// start is one start of an upstream: it may come back under its ID, at another address.
type upstreamStart struct {
	address     string
	incarnation instances.Incarnation
}

func startOfUpstream(one *instances.Instance) upstreamStart {
	return upstreamStart{address: one.Address, incarnation: one.Incarnation()}
}

// failure is a time in which the calls to an upstream fail.
type controlFailure struct {
	since, lastFailed time.Time
	// reached says that the last call was a trial and was answered.
	probeAnswered bool
}

// isDead reports whether this start of the upstream is known to have ended.
func (k *keyAssigner) hasTerminated(one *instances.Instance) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.terminated[one.ID]
	return ok && at == startOfUpstream(one)
}

// ended notes that an upstream has ended, as it was when it was called.
func (k *keyAssigner) markTerminated(one *instances.Instance) {
	k.log.Info("owner has ended, its address is another's", "upstream", one.ID, "address", one.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.terminated[one.ID] = startOfUpstream(one)
}

// noteStart forgets what calls to an earlier start of the upstream have shown.
func (k *keyAssigner) recordStart(one *instances.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := startOfUpstream(one)
	if before, ok := k.lastStarts[one.ID]; ok && before != now {
		k.log.Info("upstream has started again", "upstream", one.ID, "address", one.Address)
		delete(k.failing, one.ID)
		delete(k.lastGranted, one.ID)
		delete(k.terminated, one.ID)
		k.workTimes.forget(k.service, one.ID)
	}
	k.lastStarts[one.ID] = now
}

// forgetStarts drops upstreams that are not known any more.
func (k *keyAssigner) forgetRemovedUpstreams(v *instances.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gone := func(id string, _ upstreamStart) bool { return v.Get(id) == nil }
	maps.DeleteFunc(k.lastStarts, gone)
	maps.DeleteFunc(k.terminated, gone)
	maps.DeleteFunc(k.lastGranted, func(id string, _ time.Time) bool { return v.Get(id) == nil })
}

// control returns what control calls and requests have shown of an upstream.
func (k *keyAssigner) controlHealth(id string) ownership.ControlHealth {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.controlHealthLocked(id)
}

// controlLocked is control with the lock held.
func (k *keyAssigner) controlHealthLocked(id string) ownership.ControlHealth {
	f := k.failing[id]
	return ownership.ControlHealth{
		FailingSince: f.since, LastFailed: f.lastFailed, ProbeAnswered: f.probeAnswered, LastGranted: k.lastGranted[id], LastAnswered: k.workTimes.answeredAt(id),
	}
}

// unreliable reports whether control calls get no answers at upstreams that answer requests.
func (k *keyAssigner) controlUnreliable(owners []ownership.Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]ownership.ControlHealth, 0, len(owners))
	for _, o := range owners {
		all = append(all, k.controlHealthLocked(o.ID))
	}
	return ownership.ControlUnreliable(k.now(), all)
}

// failingFor returns how long the calls to an upstream fail.
func (k *keyAssigner) failingFor(id string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.failing[id]
	if !ok {
		return 0
	}
	return max(k.now().Sub(f.since), time.Millisecond)
}

// fails notes that a call to an upstream failed, works that one succeeded.
func (k *keyAssigner) recordFailure(id string) {
	k.meters.inc(k.meters.service(ownersUnanswered, k.service))
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.failing[id]
	if !ok {
		f.since = k.now()
		k.log.Warn("calls to an upstream fail", "upstream", id)
	}
	f.lastFailed, f.probeAnswered = k.now(), false
	k.failing[id] = f
}

// reaches notes that a trial call to an upstream was answered. One with keys counts as
// failing until a grant is answered too: some take no grants, but all else.
func (k *keyAssigner) recordProbeAnswer(id string) {
	k.mu.Lock()
	f, ok := k.failing[id]
	owns := k.ownsKeys(id)
	if ok && owns {
		f.probeAnswered = true
		k.failing[id] = f
	}
	k.mu.Unlock()
	if !owns {
		k.clearFailure(id)
	}
}

// owns reports whether the upstream owns keys. The lock is held.
func (k *keyAssigner) ownsKeys(id string) bool {
	return slices.ContainsFunc(k.table.Spans, func(s spans.Span) bool { return s.Owner == id })
}

func (k *keyAssigner) clearFailure(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clearFailureLocked(id)
}

// worksLocked is works with the lock held.
func (k *keyAssigner) clearFailureLocked(id string) {
	if f, ok := k.failing[id]; ok {
		delete(k.failing, id)
		k.log.Info("calls to an upstream succeed again", "upstream", id, "after_ms", k.now().Sub(f.since).Milliseconds())
	}
}
