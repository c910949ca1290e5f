package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file brings plans and ended moves into the store.

// plan makes the moves that are due part of the assignment, in the store
// first: no grant carries a fence that is not reserved there.
func (k *keeper) plan(ctx context.Context) {
	owners, load := k.candidates(), k.rates()
	pins, unreliable := k.placements.pins(k.service), k.unreliable(owners)
	k.mu.Lock()
	limits := ownership.Limits(k.table, owners, load)
	balance := k.now().Sub(k.balanced) >= balanceInterval
	if balance {
		k.balanced = k.now()
	}
	next := ownership.MakePlan(ownership.PlanInput{
		BalanceDue: balance, Table: k.table, Owners: owners, Load: load, RecentlyMoved: k.resting(), Pins: pins,
		ControlUnreliable: unreliable,
	})
	k.mu.Unlock()
	k.hotKeys.set(k.service, limits)
	if next == nil {
		k.logStuck(owners, load)
		return
	}
	k.commit(ctx, next)
}

// resting returns the first keys of spans that have moved lately. The lock is
// held.
func (k *keeper) resting() map[uint16]bool {
	out := make(map[uint16]bool)
	for first, at := range k.settled {
		if k.now().Sub(at) < restTime {
			out[first] = true
		}
	}
	return out
}

// commit writes a table with new moves and adopts it when it is stored.
func (k *keeper) commit(ctx context.Context, next *spans.Table) {
	if err := next.Validate(); err != nil {
		k.log.Error("plan dropped", "error", err)
		return
	}
	k.mu.Lock()
	revision := k.revision
	k.stampLocked(next)
	before := k.table
	k.mu.Unlock()
	got, err := k.save(ctx, next, revision)
	if err != nil {
		k.saveFailed(ctx, err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = got
	k.inheritHolds(before, next)
	k.forgetHolds()
	k.table, k.unsaved = k.merge(next)
	k.savedAt = k.now()
	k.publish()
}

// merge brings the moves that ended while the table was being written into it, and
// reports whether there were any: the store does not have them. The lock is held.
func (k *keeper) merge(next *spans.Table) (merged *spans.Table, changed bool) {
	for i := range next.Spans {
		s := &next.Spans[i]
		now := k.table.Find(s.First)
		s.Cold = now.Cold
		ended := s.Moving() && !now.Moving() && now.Fence == s.NextFence
		if ended && (now.Owner == s.Next || now.Owner == "") {
			s.Owner, s.Fence, s.Incarnation = now.Owner, now.Fence, now.Incarnation
			s.Next, s.NextFence = "", 0
			changed = true
		}
	}
	next.LastFence = max(next.LastFence, k.table.LastFence)
	return next, changed
}

// inheritHolds gives spans that were split what was known of the whole. The
// lock is held.
func (k *keeper) inheritHolds(before, next *spans.Table) {
	for _, s := range next.Spans {
		from := before.Find(s.First)
		if from.First == s.First {
			continue
		}
		k.holds[owned(s)] = k.holds[owned(from)]
		k.renewed[s.First] = k.renewed[from.First]
		k.coldAt[s.First] = k.coldAt[from.First]
	}
}

// forgetHolds drops those that have ended. The lock is held.
func (k *keeper) forgetHolds() {
	now := k.now()
	maps.DeleteFunc(k.holds, func(_ grantID, until time.Time) bool { return now.After(until) })
}

// saveFailed handles a write that was not acknowledged.
func (k *keeper) saveFailed(ctx context.Context, err error) {
	if !errors.Is(err, platform.ErrConflict) {
		k.log.Warn("owners not saved", "error", err)
		return
	}
	table, revision, err := k.load(ctx, k.service)
	if err != nil || table == nil {
		k.log.Warn("owners not loaded after a conflict", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if table.Version>>termShift > k.term {
		k.log.Warn("owners are kept by a later leader", "writer", table.Writer)
		k.deposed = true
		return
	}
	// A write of this leader took effect late. None of its moves was begun.
	k.log.Warn("owners were changed by a late write", "writer", table.Writer, "revision", revision)
	k.revision = revision
	k.table.LastFence = max(k.table.LastFence, table.LastFence)
}

// saveDone writes moves that have ended to the store, together.
func (k *keeper) saveDone(ctx context.Context) {
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
		k.saveFailed(ctx, err)
		pause(ctx, firstBackoff)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.savedAt = got, k.now()
	k.unsaved = k.table.Version != next.Version
}
