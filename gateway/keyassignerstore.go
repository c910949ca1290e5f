package gateway

import (
	"context"
	"errors"
	"maps"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file writes plans and completed moves to the store.

// plan adds the moves that are due to the assignment. They are stored before they begin, so
// that every granted fence is reserved in the store.
func (k *keyAssigner) plan(ctx context.Context) {
	owners, load := k.candidates(), k.rates()
	pins, unreliable := k.placements.pins(k.service), k.controlUnreliable(owners)
	k.mu.Lock()
	limits := ownership.Limits(k.table, owners, load)
	balance := k.now().Sub(k.rebalancedAt) >= rebalanceInterval
	if balance {
		k.rebalancedAt = k.now()
	}
	next := ownership.MakePlan(ownership.PlanInput{
		BalanceDue: balance, Table: k.table, Owners: owners, Load: load, RecentlyMoved: k.recentlyMoved(), Pins: pins,
		ControlUnreliable: unreliable, Refused: k.refusedSpans(),
	})
	k.mu.Unlock()
	k.hotKeys.set(k.service, limits)
	if next == nil {
		k.logStuck(owners, load)
		return
	}
	k.commit(ctx, next)
}

// recentlyMoved returns the first keys of the spans that have moved recently. The caller
// holds k.mu.
func (k *keyAssigner) recentlyMoved() map[uint16]bool {
	out := make(map[uint16]bool)
	for first, at := range k.movedAt {
		if k.now().Sub(at) < moveCooldown {
			out[first] = true
		}
	}
	return out
}

// refusedSpans returns the first keys of the spans whose owner has refused their grant. The caller holds k.mu.
func (k *keyAssigner) refusedSpans() map[uint16]bool {
	maps.DeleteFunc(k.refused, func(first uint16, _ uint64) bool { return !k.isRefused(k.table.Find(first)) })
	out := make(map[uint16]bool, len(k.refused))
	for first := range k.refused {
		out[first] = true
	}
	return out
}

// commit stores a table with new moves and adopts it once it is stored.
func (k *keyAssigner) commit(ctx context.Context, next *spans.Table) {
	if err := next.Validate(); err != nil {
		k.log.Error("invalid plan dropped", "error", err)
		return
	}
	k.mu.Lock()
	revision := k.revision
	k.stampLocked(next)
	before := k.table
	k.mu.Unlock()
	got, err := k.save(ctx, next, revision)
	if err != nil {
		k.handleSaveError(ctx, err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = got
	k.inheritSplitTimes(before, next)
	// The store does not have the results of moves that ended during the write.
	k.unsaved = ownership.CopyEndedMoves(next, k.table)
	k.table = next
	k.savedAt = k.now()
	k.publish()
}

// inheritSplitTimes copies the recorded times of a span, and whether its grant was refused, to the parts it
// was split into. The caller holds k.mu.
func (k *keyAssigner) inheritSplitTimes(before, next *spans.Table) {
	for _, s := range next.Spans {
		from := before.Find(s.First)
		if from.First == s.First {
			continue
		}
		k.grantRenewedAt[s.First] = k.grantRenewedAt[from.First]
		k.coldSince[s.First] = k.coldSince[from.First]
		if k.isRefused(from) {
			k.refused[s.First] = from.Fence
		}
	}
}

// handleSaveError handles a write that was not acknowledged.
func (k *keyAssigner) handleSaveError(ctx context.Context, err error) {
	if !errors.Is(err, platform.ErrConflict) {
		k.log.Warn("assignment could not be saved", "error", err)
		return
	}
	table, revision, err := k.load(ctx, k.service)
	if err != nil || table == nil {
		k.log.Warn("assignment could not be loaded after a write conflict", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if table.Version>>termShift > k.term {
		k.log.Warn("assignment was taken over by a newer leader", "writer", table.Writer)
		k.superseded = true
		return
	}
	// A delayed write of this leader took effect. None of its moves has begun.
	k.log.Warn("assignment was changed by a delayed write of this leader", "writer", table.Writer, "revision", revision)
	k.revision = revision
	k.table.LastFence = max(k.table.LastFence, table.LastFence)
}

// saveEndedMoves stores completed moves in batches.
func (k *keyAssigner) saveEndedMoves(ctx context.Context) {
	k.mu.Lock()
	due := k.unsaved && k.now().Sub(k.savedAt) > saveInterval
	next := k.table.Clone()
	revision := k.revision
	k.mu.Unlock()
	if !due {
		return
	}
	got, err := k.save(ctx, next, revision)
	if err != nil {
		k.handleSaveError(ctx, err)
		pause(ctx, initialBackoff)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.savedAt = got, k.now()
	k.unsaved = k.table.Version != next.Version
}
