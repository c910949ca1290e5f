package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/callslots"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// maxGrantCalls is the number of call slots for grants. A leader renews each span once a second,
// and all spans at once after a start. If a leader with little CPU starts more than a thousand calls
// together, they take longer than the timeout of each: all fail, are retried together and fail again.
const maxGrantCalls = 32

// newGrantSlots returns the call slots for grants.
func newGrantSlots(now func() time.Time) *callslots.Slots {
	return callslots.New(maxGrantCalls, grantTimeout/2, now)
}

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

// grant makes one grant call. Right before it is sent, the right to lead is checked, check is called if
// it is not nil, and the grant is recorded. The call is not sent while another upstream may hold one of
// the keys.
func (k *keyAssigner) grant(ctx context.Context, keys spans.KeyRange, to *instances.Instance, fence uint64, token string, check func() error) (platform.GrantResult, error) {
	endCall, ok := k.grantSlots.Acquire(ctx, k.grantDue(keys.First))
	if !ok {
		return 0, errNoCallSlot
	}
	hold := k.grantDuration()
	timeout, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	var call *ownership.GrantCall
	// Opening the connection may have outlasted the right to lead, or the promises that a long grant needs.
	beforeSend := func() (err error) {
		if err := k.elector.checkMayAct(); err != nil {
			return err
		}
		if hold > k.grantDuration() {
			return errPromisesLapsed
		}
		call, err = k.beginGrant(keys, ownership.Process{ID: to.ID, Address: to.Address}, fence, hold, check)
		return err
	}
	result, err := k.owners.Grant(timeout, to.ID, to.Address, keys, fence, hold, token, beforeSend)
	endCall(err == nil)
	if call != nil {
		k.endGrant(call, keys, to.ID, result, err)
		k.logOutdatedGrant(keys, to.ID, fence, err)
	}
	return result, err
}

// beginGrant records a grant that is about to be sent, unless check fails, which is called under the lock.
func (k *keyAssigner) beginGrant(keys spans.KeyRange, to ownership.Process, fence uint64, hold time.Duration, check func() error) (*ownership.GrantCall, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return k.holds.Begin(k.now(), keys, to, fence, hold)
}

// endGrant records the result of a grant.
func (k *keyAssigner) endGrant(call *ownership.GrantCall, keys spans.KeyRange, to string, result platform.GrantResult, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	arrived := err == nil && result == platform.Granted || err != nil && !errors.Is(err, pool.ErrNotSent)
	k.holds.End(now, call, arrived)
	if err == nil && result == platform.Granted {
		k.grantRenewedAt[keys.First], k.lastGranted[to] = now, now
		k.recordFirstGrant(keys.First)
	}
}

// grantDue returns by when the grant of the span with that first key should begin.
func (k *keyAssigner) grantDue(first uint16) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if now.Sub(k.grantRenewedAt[first]) < holdDuration {
		return ownership.RenewalDue(now)
	}
	return k.demand.GrantDue(now, first)
}

// measureDemand measures the demand for the spans, by which their grants are ordered.
func (k *keyAssigner) measureDemand() {
	load := k.rates()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.demand = ownership.NewSpanDemand(k.table, load)
}

var (
	errLeadershipExpired = errors.New("the right to lead has expired")
	errNoCallSlot        = fmt.Errorf("%w: leadership has ended", pool.ErrNotSent)
	errPromisesLapsed    = errors.New("the promises for a grant of this duration have lapsed")
	errSpanChanged       = errors.New("the span was split or has begun to move")
)

// grantDuration returns how long a grant lasts. Grants last longer while this leader acts by
// promises of the voters instead of the store, so that owners continue to serve if the leader is
// lost before the store returns.
func (k *keyAssigner) grantDuration() time.Duration {
	if k.elector.actsByPromises() {
		return k.maxHold
	}
	return min(holdDuration, k.maxHold)
}

func (k *keyAssigner) instance(id string) *instances.Instance {
	v := k.view.inst.Load()
	if v == nil {
		return nil
	}
	return v.Get(id)
}

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

// coldDuration is how long keys that came without a handover are assumed to be slow at their new
// owner.
const coldDuration = 5 * time.Second

// clearColdMarks removes the cold mark from keys that have been at their owner for coldDuration.
// For keys marked by a former leader the time counts from when this leader took over.
func (k *keyAssigner) clearColdMarks() {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for i := range k.table.Spans {
		s := &k.table.Spans[i]
		if s.Cold && k.now().Sub(laterOf(k.tookOverAt, k.coldSince[s.First])) >= coldDuration {
			s.Cold, changed = false, true
		}
	}
	if changed {
		k.unsaved = true
		k.publish()
	}
}

// startRenewals starts the renewals that are due. Each owner has at most one run of renewals at a
// time.
func (k *keyAssigner) startRenewals(ctx context.Context) {
	now := k.now()
	long := k.elector.actsByPromises()
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[string][]spans.Span)
	for _, s := range k.table.Spans {
		_, failing := k.failing[s.Owner]
		if s.Owner == "" || s.Moving() || k.isRefused(s) || k.callsInFlight[s.Owner] || failing && !k.controlHealthLocked(s.Owner).MayRenew() {
			continue
		}
		late := now.Sub(k.grantRenewedAt[s.First]) >= renewInterval
		// A leader that acts by promises extends every grant at once.
		if late || long && k.holds.Until(now, s.KeyRange, s.Owner).Sub(now) < k.maxHold-renewInterval {
			due[s.Owner] = append(due[s.Owner], s)
		}
	}
	for id, list := range due {
		k.callsInFlight[id] = true
		k.demand.Sort(list)
		k.tasks.Go(func() {
			k.renewGrants(ctx, id, list)
			k.mu.Lock()
			delete(k.callsInFlight, id)
			k.mu.Unlock()
		})
	}
}

// renewGrants renews the grants of one owner. It stops at the first call that fails, because a call
// without a response may have arrived and extended the hold on its keys. An owner whose calls fail
// is probed with calls that change nothing until one of them is answered. If it answers requests
// meanwhile, it is not lost, and its grants are renewed concurrently: each call without a response
// takes 250 ms of the 4 s for which the grants hold.
func (k *keyAssigner) renewGrants(ctx context.Context, id string, list []spans.Span) {
	owner := k.instance(id)
	if owner == nil {
		k.recordFailure(id)
		return
	}
	if !k.controlHealth(id).Failing() {
		for i, s := range list {
			if i == 1 && k.neverGranted(list[i:]) {
				// The first call was answered. At the start of a leader callers may wait for all keys.
				list = list[i:]
				break
			}
			if !k.renewGrant(ctx, owner, s) {
				return
			}
			if i == len(list)-1 {
				return
			}
		}
	}
	var calls sync.WaitGroup
	for _, s := range list {
		calls.Go(func() { k.renewGrant(ctx, owner, s) })
	}
	calls.Wait()
}

// neverGranted reports whether this leader has granted none of the spans yet.
func (k *keyAssigner) neverGranted(list []spans.Span) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !slices.ContainsFunc(list, func(s spans.Span) bool { return !k.grantRenewedAt[s.First].IsZero() })
}

// recordFirstGrant records a grant of the span with that first key. The caller holds k.mu.
func (k *keyAssigner) recordFirstGrant(first uint16) {
	if k.firstGrants == nil || !k.firstGrants.Granted(k.now(), first) {
		return
	}
	k.log.Info("all keys granted", "spans", k.firstGrants.Total(), "first_ms", k.firstGrants.First().Milliseconds(),
		"all_ms", k.firstGrants.All().Milliseconds(), "since_start_ms", k.now().Sub(k.elector.startedAt).Milliseconds())
}

// renewGrant renews one grant and reports whether the owner's other grants may be renewed after
// it.
func (k *keyAssigner) renewGrant(ctx context.Context, owner *instances.Instance, s spans.Span) bool {
	if !k.spanUnchanged(s) || s.GrantedToOtherStart(owner.Incarnation()) {
		// The owner has other keys by now, or may have restarted and holds none.
		return true
	}
	// The span may change while the call waits for a slot.
	result, err := k.grant(ctx, s.KeyRange, owner, s.Fence, "", func() error {
		if k.table.Find(s.First) != s {
			return errSpanChanged
		}
		return nil
	})
	switch {
	case errors.Is(err, errLeadershipExpired) || ctx.Err() != nil:
		return false
	case errors.Is(err, errSpanChanged), errors.Is(err, errPromisesLapsed), errors.As(err, new(*ownership.HeldError)):
		// Not sent, for no fault of the owner.
		return true
	case err != nil:
		k.recordFailure(owner.ID)
		return false
	case result == platform.WrongUpstream:
		k.markTerminated(owner)
		return false
	case result == platform.Fenced:
		k.log.Warn("renewal refused: the upstream has seen a higher fence", "first", s.First, "upstream", owner.ID, "fence", s.Fence)
		// The span may have been split since, and a part released by a higher fence.
		if k.spanUnchanged(s) {
			k.recordRefusal(s.First, s.Fence)
		}
	default:
		k.clearFailure(owner.ID)
	}
	return true
}

// startProbes probes upstreams whose calls fail, by a call that changes nothing. A grant without a
// response would have to count as held and would keep the keys of a lost owner from others for
// longer.
func (k *keyAssigner) startProbes(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.failing) == 0 {
		return
	}
	for id, f := range k.failing {
		inst := k.instance(id)
		if inst == nil {
			delete(k.failing, id)
			continue
		}
		if f.probeAnswered && !k.ownsKeys(id) {
			// Nothing else would end the failure: without keys the upstream has no grant to renew
			// that would show that it accepts grants, and while it counts as failing it is given no
			// keys.
			k.clearFailureLocked(id)
			continue
		}
		if k.callsInFlight[id] || inst.Leaving || f.probeAnswered || k.now().Sub(f.lastFailed) < probeInterval {
			continue
		}
		k.callsInFlight[id] = true
		keys := k.unrelatedKey(id)
		k.tasks.Go(func() {
			k.probe(ctx, inst, keys)
			k.mu.Lock()
			delete(k.callsInFlight, id)
			k.mu.Unlock()
		})
	}
}

// unrelatedKey returns a key that the upstream neither owns nor is about to be granted. The lock
// is held.
func (k *keyAssigner) unrelatedKey(id string) spans.KeyRange {
	for _, s := range k.table.Spans {
		if s.Owner != id && s.Next != id {
			return spans.KeyRange{First: s.First, Last: s.First}
		}
	}
	return spans.KeyRange{}
}

// probeFence is the fence of probes. All fences in use are higher, so releasing a key that the
// upstream does not hold by this fence has no effect.
const probeFence = 1

// probe sends a release that changes nothing, to learn whether the upstream answers.
func (k *keyAssigner) probe(ctx context.Context, to *instances.Instance, keys spans.KeyRange) {
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if _, _, err := k.owners.Release(call, to.ID, to.Address, keys, probeFence); err != nil {
		k.recordFailure(to.ID)
		return
	}
	k.recordProbeAnswer(to.ID)
}

// spanUnchanged reports whether the span is still in the table as given.
func (k *keyAssigner) spanUnchanged(s spans.Span) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Find(s.First) == s
}

// recordRefusal records that the owner of a span refuses grants by the fence, as it has seen a higher one on
// one of the keys, and raises the last assigned fence. The owner may hold the other keys, and an upstream that
// is not known those with the higher fence, so the table continues to name the owner.
func (k *keyAssigner) recordRefusal(first uint16, fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused[first] = fence
	k.table.LastFence += fenceIncrement
}

// isRefused reports whether the owner of the span has refused its grant. The caller holds k.mu.
func (k *keyAssigner) isRefused(s spans.Span) bool {
	fence, ok := k.refused[s.First]
	return ok && fence == s.Fence
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
