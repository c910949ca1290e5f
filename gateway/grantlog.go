package gateway

import (
	"errors"

	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file logs what an investigation of two owners of one key needs: on which evidence keys were
// taken from an owner that released none, and which grants ended after the assignment had changed.

// logExpiredHold logs that keys are taken from an upstream without its release. listed reports whether
// the upstream is in the list of upstreams.
func (k *keyAssigner) logExpiredHold(s spans.Span, holder string, listed bool) {
	k.meters.inc(k.meters.service(ownersExpiredHolds, k.service))
	k.mu.Lock()
	now := k.now()
	own, sole := k.holds.Until(now, s.KeyRange, holder), k.onlyGranter
	renewed := k.grantRenewedAt[s.First]
	k.mu.Unlock()
	former, _ := k.elector.latestFormerHold()
	k.log.Info("hold of a lost owner has expired", "upstream", holder, "first", s.First, "last", s.Last, "fence", s.Fence,
		"next", s.Next, "next_fence", s.NextFence, "listed", listed, "granted_here", !own.IsZero(), "own_ended_ms", now.Sub(own).Milliseconds(),
		"sole", sole, "former_ended_ms", now.Sub(former).Milliseconds(), "renewed_ms_ago", now.Sub(renewed).Milliseconds())
}

// logWrongUpstream logs that another instance runs at the address of an upstream.
func (k *keyAssigner) logWrongUpstream(s spans.Span, at *instances.Instance) {
	k.log.Info("another instance runs at the address of an owner", "upstream", at.ID, "first", s.First,
		"granted_start", s.Incarnation, "listed_start", at.Incarnation())
}

// logOutdatedGrant logs a grant whose span was split or began to move while the call waited or was in
// flight. err is the result of the call.
func (k *keyAssigner) logOutdatedGrant(keys spans.KeyRange, upstream string, fence uint64, err error) {
	if errors.Is(err, pool.ErrNotSent) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return
	}
	at := k.table.Find(keys.First)
	if at.KeyRange == keys && (at.NextFence == fence || at.Fence == fence && !at.Moving()) {
		return
	}
	k.meters.inc(k.meters.service(ownersOutdatedGrants, k.service))
	k.log.Info("grant ended after its span had changed", "first", keys.First, "last", keys.Last, "upstream", upstream, "fence", fence,
		"answered", err == nil, "span_last", at.Last, "owner", at.Owner, "span_fence", at.Fence, "next", at.Next, "next_fence", at.NextFence)
}
