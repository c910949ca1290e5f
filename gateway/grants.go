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
	return callslots.New(maxGrantCalls, grantTimeout, now)
}

// grant grants keys to an upstream. A refusal that may belong to an earlier call is checked by a second call. A
// copy of a success is not told from it: what it hides shows at the next renewal, and nothing is granted to another
// upstream before then.
func (k *keyAssigner) grant(ctx context.Context, keys spans.KeyRange, to *instances.Instance, fence uint64, token string, check func() error) (platform.GrantResult, error) {
	result, err := k.callGrant(ctx, k.owners, keys, to, fence, token, check)
	if !errors.Is(err, platform.ErrUnidentified) {
		return result, err
	}
	again, errAgain := k.callGrant(ctx, k.owners.OnNewConnections(), keys, to, fence, token, check)
	if errors.Is(errAgain, pool.ErrNotSent) {
		return result, err
	}
	return again, errAgain
}

// callGrant makes one grant call. Right before it is sent, the right to lead is checked, check is called if
// it is not nil, and the grant is recorded. The call is not sent while another upstream may hold one of
// the keys.
func (k *keyAssigner) callGrant(ctx context.Context, owners *platform.Owners, keys spans.KeyRange, to *instances.Instance, fence uint64, token string, check func() error) (platform.GrantResult, error) {
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
	result, err := owners.Grant(timeout, to.ID, to.Address, keys, fence, hold, token, beforeSend)
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
