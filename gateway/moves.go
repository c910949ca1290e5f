package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file carries out moves of keys: it takes them from their owner and grants them to the next one.

// startMoves starts every move in the table that is not already in progress.
func (k *keyAssigner) startMoves(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.table.Spans {
		if !s.Moving() || k.activeMoves[s.NextFence] {
			continue
		}
		k.activeMoves[s.NextFence] = true
		k.tasks.Go(func() {
			k.move(ctx, s)
			k.mu.Lock()
			delete(k.activeMoves, s.NextFence)
			k.mu.Unlock()
		})
	}
}

// move releases the keys of a span from their owner and grants them to the next one.
func (k *keyAssigner) move(ctx context.Context, s spans.Span) {
	began := k.now()
	token, free := k.takeKeys(ctx, s)
	if !free || !k.elector.mayAct() {
		return
	}
	taken := k.now()
	next := k.instance(s.Next)
	if next == nil || next.Leaving || k.view.evacuated(next.Domain) {
		k.finishWithoutGrant(s)
		return
	}
	cold := token == "" && s.Fence > 0
	result, err := k.grantWithRetries(ctx, s, next, token)
	switch {
	case err == nil && result == platform.Granted:
		k.clearFailure(s.Next)
		k.finishMove(s, s.Next, next.Incarnation(), cold)
		k.log.Info("keys granted", "first", s.First, "last", s.Last, "upstream", s.Next, "fence", s.NextFence,
			"from", s.Owner, "warm", token != "", "release_ms", taken.Sub(began).Milliseconds(), "took_ms", k.now().Sub(began).Milliseconds())
	case err == nil && result == platform.Fenced:
		k.log.Warn("grant refused: the upstream has seen a higher fence", "first", s.First, "upstream", s.Next, "fence", s.NextFence)
		k.finishMove(s, s.Next, k.possibleStart(s, next), cold)
		k.recordRefusal(s.First, s.NextFence)
	case errors.As(err, new(*ownership.HeldError)):
		// The move is carried out again from its release on.
		k.log.Warn("keys not granted", "first", s.First, "upstream", s.Next, "error", err)
	case errors.Is(err, errLeadershipExpired):
		k.log.Info("move left to the next leader", "first", s.First, "upstream", s.Next, "fence", s.NextFence,
			"possibly_granted", errors.Is(err, errPossiblyGranted))
	case err == nil:
		k.markTerminated(next)
		k.finishWithoutGrant(s)
	case errors.Is(err, pool.ErrNotSent):
		k.log.Warn("keys not granted", "first", s.First, "upstream", s.Next, "error", err)
		k.finishWithoutGrant(s)
	default:
		// The grant may still arrive, so the upstream counts as the owner until the hold that the
		// grant would have started has expired.
		k.log.Warn("grant not answered", "first", s.First, "upstream", s.Next, "error", err)
		k.finishMove(s, s.Next, k.possibleStart(s, next), cold)
	}
}

// possibleStart returns the start of the next owner of a move that may hold the keys after a grant to the
// listed one that was not accepted.
func (k *keyAssigner) possibleStart(s spans.Span, listed *instances.Instance) instances.Incarnation {
	if k.mayHoldAsBefore(s) {
		return s.Incarnation
	}
	return listed.Incarnation()
}

// finishWithoutGrant ends a move whose grant was not sent or was answered by another instance. The keys then
// belong to the upstream that may hold them by an earlier grant, if any.
func (k *keyAssigner) finishWithoutGrant(s spans.Span) {
	if k.mayHoldAsBefore(s) {
		k.finishMove(s, s.Owner, s.Incarnation, s.Cold)
		return
	}
	k.finishMove(s, k.possibleOwner(s), 0, false)
}

// mayHoldAsBefore reports whether the owner of keys that are granted to it again may hold them by the grant
// of a former leader. It is planned so if the listed start of the owner is not the one that was granted the
// keys: either the owner has restarted, or the list of a new leader is older than the grant.
func (k *keyAssigner) mayHoldAsBefore(s spans.Span) bool {
	if s.Owner != s.Next {
		return false
	}
	k.mu.Lock()
	sole := k.onlyGranter
	k.mu.Unlock()
	return !sole && !k.elector.formerHoldsEnded()
}

// possibleOwner returns the next owner of a move whose grant did not succeed, if it may hold one of the
// keys by a grant of a former leader or by an earlier attempt of this one: it then counts as the owner.
// Otherwise it returns "".
func (k *keyAssigner) possibleOwner(s spans.Span) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inheritedMoves[s.NextFence] || k.holds.Until(k.now(), s.KeyRange, s.Next).After(k.now()) {
		return s.Next
	}
	return ""
}

// takeKeys takes the keys of a move from every upstream but the next owner: from the owner, unless
// it is the same one after a restart or a refusal, and from others that may have been granted them.
// free reports whether none of them holds the keys any more. token is the owner's handover.
func (k *keyAssigner) takeKeys(ctx context.Context, s spans.Span) (token string, free bool) {
	if s.Owner != "" && s.Owner != s.Next {
		if token, free = k.releaseFrom(ctx, s, s.Owner); !free {
			return "", false
		}
	}
	if !k.awaitUnknownHolders(ctx, s) {
		return "", false
	}
	for {
		other := k.otherHolder(s)
		if other == "" {
			return token, true
		}
		k.log.Warn("an upstream that is not the owner may hold keys", "upstream", other, "first", s.First, "owner", s.Owner, "next", s.Next)
		if _, free := k.releaseFrom(ctx, s, other); !free {
			return "", false
		}
	}
}

// otherHolder returns an upstream other than the next owner of a move that may hold one of its keys by
// the grants of this leader; "" if there is none.
func (k *keyAssigner) otherHolder(s spans.Span) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	other, _ := k.holds.Other(k.now(), s.KeyRange, s.Next)
	return other
}

// releaseFrom releases keys from an upstream, or waits until its hold has expired. free reports whether
// the upstream holds the keys no more.
func (k *keyAssigner) releaseFrom(ctx context.Context, s spans.Span, holder string) (token string, free bool) {
	for ctx.Err() == nil {
		owner := k.instance(holder)
		if limit := k.releaseCallTimeout(s.KeyRange, holder); owner != nil && limit > 0 {
			call, cancel := context.WithTimeout(ctx, limit)
			result, token, err := k.owners.Release(call, owner.ID, owner.Address, s.KeyRange, s.NextFence)
			cancel()
			switch {
			case err != nil:
				k.recordFailure(holder)
			case result == platform.Granted:
				k.recordRelease(s, holder)
				return token, true
			case result == platform.WrongUpstream:
				k.markTerminated(owner)
				if k.isLastHolder(s, owner) && !k.heldByOwnGrants(s.KeyRange, holder) {
					k.logWrongUpstream(s, owner)
					return "", true
				}
			}
		}
		if k.holdExpired(s.KeyRange, holder) {
			k.logExpiredHold(s, holder, owner != nil)
			return "", true
		}
		if !k.elector.mayAct() {
			return "", false
		}
		pause(ctx, k.releaseRetryDelay(s.KeyRange, holder))
	}
	return "", false
}

// heldByOwnGrants reports whether the upstream may hold one of the keys by a grant of this leader.
func (k *keyAssigner) heldByOwnGrants(keys spans.KeyRange, holder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds.Until(k.now(), keys, holder).After(k.now())
}

// isLastHolder reports whether an upstream as it is listed, which has terminated, was the last one of its ID
// that may hold the keys. The span's owner was granted them in the incarnation in the span. If the list has
// another one, it may be older than the grant, which then still counts until it expires. Other holders were
// granted the keys by this leader, whose list never goes back.
func (k *keyAssigner) isLastHolder(s spans.Span, listed *instances.Instance) bool {
	return listed.ID != s.Owner || listed.Incarnation() == s.Incarnation
}

// recordRelease records that the upstream has released the keys of a move.
func (k *keyAssigner) recordRelease(s spans.Span, upstream string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holds.Release(s.KeyRange, upstream, s.NextFence)
}

// releaseRetryDelay returns the time to the next release call, or to the end of the hold if that is
// sooner.
func (k *keyAssigner) releaseRetryDelay(keys spans.KeyRange, holder string) time.Duration {
	ends, known := k.holdExpiry(keys, holder)
	if left := ends.Sub(k.now()); known && left > 0 {
		return min(controlRetryInterval, left+time.Millisecond)
	}
	return controlRetryInterval
}

// releaseCallTimeout returns the timeout of one release call.
func (k *keyAssigner) releaseCallTimeout(keys spans.KeyRange, holder string) time.Duration {
	ends, known := k.holdExpiry(keys, holder)
	if !known {
		return releaseTimeout
	}
	return ownership.ReleaseTimeout(releaseTimeout, ends.Sub(k.now()), k.failingFor(holder) > 0)
}

func (k *keyAssigner) holdExpired(keys spans.KeyRange, holder string) bool {
	ends, known := k.holdExpiry(keys, holder)
	return known && k.now().After(ends)
}

// holdExpiry returns until when the upstream may hold one of the keys by grants of this leader or of
// former ones. known is false while the grants of former leaders are not known.
func (k *keyAssigner) holdExpiry(keys spans.KeyRange, holder string) (ends time.Time, known bool) {
	k.mu.Lock()
	own, sole := k.holds.Until(k.now(), keys, holder), k.onlyGranter
	k.mu.Unlock()
	if sole {
		return own, true
	}
	former, known := k.elector.latestFormerHold()
	return laterOf(own, former), known
}

// grantWithRetries grants the keys of a move to their next owner and repeats the call until it is
// answered. Repeating is safe: a later call renews what an earlier one granted. It gives up once
// calls to the upstream have failed for ownership.SilentOwnerTimeout, after which an owner would
// lose its keys too.
func (k *keyAssigner) grantWithRetries(ctx context.Context, s spans.Span, next *instances.Instance, token string) (platform.GrantResult, error) {
	arrived := false
	for {
		result, err := k.grant(ctx, s.KeyRange, next, s.NextFence, token, nil)
		if err == nil {
			return result, nil
		}
		if errors.As(err, new(*ownership.HeldError)) {
			return 0, err
		}
		if errors.Is(err, errLeadershipExpired) {
			if arrived {
				err = errors.Join(err, errPossiblyGranted)
			}
			return 0, err
		}
		arrived = arrived || !errors.Is(err, pool.ErrNotSent)
		k.recordFailure(next.ID)
		if ctx.Err() != nil || !k.elector.mayAct() || k.failingFor(next.ID) >= ownership.SilentOwnerTimeout {
			if arrived {
				err = errPossiblyGranted
			}
			return 0, err
		}
		pause(ctx, controlRetryInterval)
	}
}

// errPossiblyGranted reports that no call was answered although one may have arrived.
var errPossiblyGranted = errors.New("no call was answered, but one may have arrived")

// finishMove ends a move. The keys then belong to owner, in the incarnation they were granted to,
// or to no upstream if owner is "". cold is set if they came to the owner without a handover.
func (k *keyAssigner) finishMove(s spans.Span, owner string, granted instances.Incarnation, cold bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.table.Spans {
		t := &k.table.Spans[i]
		if t.NextFence == s.NextFence && t.First == s.First {
			t.Owner, t.Fence, t.Incarnation, t.Cold = owner, s.NextFence, granted, cold
			t.Next, t.NextFence = "", 0
		}
	}
	k.movedAt[s.First] = k.now()
	k.coldSince[s.First] = k.now()
	k.unsaved = true
	k.publish()
}

// awaitUnknownHolders waits, if the grant of the span was refused, until no upstream holds its keys by a grant of a
// former leader, which this one may not know of. It reports whether that is so.
func (k *keyAssigner) awaitUnknownHolders(ctx context.Context, s spans.Span) bool {
	for {
		k.mu.Lock()
		certain := k.onlyGranter || !k.isRefused(s)
		k.mu.Unlock()
		if certain || k.elector.formerHoldsEnded() {
			return true
		}
		if ctx.Err() != nil || !k.elector.mayAct() {
			return false
		}
		pause(ctx, controlRetryInterval)
	}
}

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
