package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file records the results of control calls to upstreams, separately for each start of
// an upstream.

// upstreamStart identifies one start of an upstream, which may restart under the same ID at
// another address.
type upstreamStart struct {
	address     string
	incarnation instances.Incarnation
}

func startOfUpstream(inst *instances.Instance) upstreamStart {
	return upstreamStart{address: inst.Address, incarnation: inst.Incarnation()}
}

// controlFailure describes a period in which the control calls to an upstream fail.
type controlFailure struct {
	since, lastFailed time.Time
	// probeAnswered is set when the last call was a probe and was answered.
	probeAnswered bool
}

// hasTerminated reports whether this start of the upstream is known to have ended.
func (k *keyAssigner) hasTerminated(inst *instances.Instance) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.terminated[inst.ID]
	return ok && at == startOfUpstream(inst)
}

// markTerminated records that the start of the upstream that was called has ended.
func (k *keyAssigner) markTerminated(inst *instances.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at := startOfUpstream(inst); k.terminated[inst.ID] != at {
		k.log.Info("owner has terminated, its address now belongs to another instance", "upstream", inst.ID, "address", inst.Address)
		k.terminated[inst.ID] = at
	}
	k.holds.Terminated(ownership.Process{ID: inst.ID, Address: inst.Address})
}

// recordStart records the current start of the upstream. After a restart it discards what
// control calls to the earlier start have shown.
func (k *keyAssigner) recordStart(inst *instances.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := startOfUpstream(inst)
	if before, ok := k.lastStarts[inst.ID]; ok && before != now {
		k.log.Info("upstream restarted", "upstream", inst.ID, "address", inst.Address)
		delete(k.failing, inst.ID)
		delete(k.lastGranted, inst.ID)
		delete(k.terminated, inst.ID)
		k.workTimes.forget(k.service, inst.ID)
		// A call to the same address may have reached the present start.
		if now.incarnation.DiffersFrom(before.incarnation) && now.address != before.address {
			k.holds.Terminated(ownership.Process{ID: inst.ID, Address: before.address})
		}
	}
	k.lastStarts[inst.ID] = now
}

// forgetRemovedUpstreams drops the state of upstreams that are no longer registered.
func (k *keyAssigner) forgetRemovedUpstreams(v *instances.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gone := func(id string, _ upstreamStart) bool { return v.Get(id) == nil }
	maps.DeleteFunc(k.lastStarts, gone)
	maps.DeleteFunc(k.terminated, gone)
	maps.DeleteFunc(k.lastGranted, func(id string, _ time.Time) bool { return v.Get(id) == nil })
}

// controlHealth returns what control calls and requests have shown of an upstream.
func (k *keyAssigner) controlHealth(id string) ownership.ControlHealth {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.controlHealthLocked(id)
}

// controlHealthLocked is controlHealth for callers that hold k.mu.
func (k *keyAssigner) controlHealthLocked(id string) ownership.ControlHealth {
	f := k.failing[id]
	return ownership.ControlHealth{
		FailingSince: f.since, LastFailed: f.lastFailed, ProbeAnswered: f.probeAnswered, LastGranted: k.lastGranted[id], LastAnswered: k.workTimes.lastAnsweredAt(id),
	}
}

// controlUnreliable reports whether control calls get no answer from upstreams that do answer
// requests.
func (k *keyAssigner) controlUnreliable(owners []ownership.Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]ownership.ControlHealth, 0, len(owners))
	for _, o := range owners {
		all = append(all, k.controlHealthLocked(o.ID))
	}
	return ownership.ControlUnreliable(k.now(), all)
}

// failingFor returns how long the control calls to an upstream have been failing; zero if
// they succeed.
func (k *keyAssigner) failingFor(id string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.failing[id]
	if !ok {
		return 0
	}
	return max(k.now().Sub(f.since), time.Millisecond)
}

// recordFailure records that a control call to an upstream failed; clearFailure records that
// one succeeded.
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
	if k.firstGrants != nil {
		k.firstGrants.Failed(id)
	}
}

// recordProbeAnswer records that an upstream answered a probe. An upstream that owns keys
// still counts as failing until it answers a grant: some answer everything but grants.
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

// ownsKeys reports whether the upstream owns keys. The caller holds k.mu.
func (k *keyAssigner) ownsKeys(id string) bool {
	return slices.ContainsFunc(k.table.Spans, func(s spans.Span) bool { return s.Owner == id })
}

func (k *keyAssigner) clearFailure(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clearFailureLocked(id)
}

// clearFailureLocked is clearFailure for callers that hold k.mu.
func (k *keyAssigner) clearFailureLocked(id string) {
	if f, ok := k.failing[id]; ok {
		delete(k.failing, id)
		k.log.Info("calls to an upstream succeed again", "upstream", id, "after_ms", k.now().Sub(f.since).Milliseconds())
	}
}
