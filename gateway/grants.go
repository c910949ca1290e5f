package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// startMoves begins the moves of the table that are not under way.
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

// move takes keys from their owner and gives them to the next one.
func (k *keyAssigner) move(ctx context.Context, s spans.Span) {
	began := k.now()
	token, free := "", true
	if s.Next != s.Owner {
		// Else the owner has started again: nobody holds the keys.
		token, free = k.takeBack(ctx, s)
	}
	if !free || !k.elector.mayAct() {
		return
	}
	taken := k.now()
	next := k.instance(s.Next)
	if next == nil || next.Leaving || k.view.evacuated(next.Domain) {
		k.settle(s, k.perhaps(s), 0, false)
		return
	}
	cold := token == "" && s.Fence > 0
	verdict, err := k.give(ctx, s, next, token)
	switch {
	case err == nil && verdict == platform.Granted:
		k.clearFailure(s.Next)
		k.settle(s, s.Next, next.Incarnation(), cold)
		k.log.Info("keys granted", "first", s.First, "last", s.Last, "upstream", s.Next, "fence", s.NextFence,
			"from", s.Owner, "warm", token != "", "release_ms", taken.Sub(began).Milliseconds(), "took_ms", k.now().Sub(began).Milliseconds())
	case err == nil && verdict == platform.Fenced:
		k.log.Warn("keys refused, a higher fence was seen", "first", s.First, "upstream", s.Next, "fence", s.NextFence)
		k.raise(fenceIncrement)
		k.settle(s, "", 0, false)
	case errors.Is(err, errNoRight):
		k.log.Info("move left to the next leader", "first", s.First, "upstream", s.Next, "fence", s.NextFence)
	case err == nil, errors.Is(err, pool.ErrNotSent):
		k.log.Warn("keys not granted", "first", s.First, "upstream", s.Next, "error", err)
		k.settle(s, k.perhaps(s), 0, false)
	default:
		// The grant may arrive yet: the upstream counts as the owner until
		// its hold would have ended.
		k.log.Warn("grant without an answer", "first", s.First, "upstream", s.Next, "error", err)
		k.settle(s, s.Next, next.Incarnation(), cold)
	}
}

// perhaps returns the next owner of a move whose grant was not sent here, if it
// may have been sent by the leader before: it then counts as the owner.
func (k *keyAssigner) perhaps(s spans.Span) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inheritedMoves[s.NextFence] {
		return s.Next
	}
	return ""
}

// takeBack releases keys from their owner, or waits until its hold has ended.
// It reports whether nobody holds them any more.
func (k *keyAssigner) takeBack(ctx context.Context, s spans.Span) (token string, free bool) {
	if s.Owner == "" {
		return "", true
	}
	for ctx.Err() == nil {
		owner := k.instance(s.Owner)
		if limit := k.releaseLimit(s); owner != nil && limit > 0 {
			call, cancel := context.WithTimeout(ctx, limit)
			verdict, token, err := k.owners.Release(call, owner.ID, owner.Address, s.Keys, s.NextFence)
			cancel()
			if err == nil && verdict == platform.Granted {
				return token, true
			}
			if err != nil {
				k.recordFailure(s.Owner)
			}
			if err == nil && verdict == platform.Elsewhere {
				k.markTerminated(owner)
				return "", true
			}
		}
		if k.holdEnded(s) {
			k.log.Info("hold of a lost owner has ended", "upstream", s.Owner, "first", s.First, "last", s.Last)
			return "", true
		}
		if !k.elector.mayAct() {
			return "", false
		}
		pause(ctx, controlRetryInterval)
	}
	return "", false
}

// releaseLimit bounds one call for a release.
func (k *keyAssigner) releaseLimit(s spans.Span) time.Duration {
	ends, known := k.holdEnds(s)
	if !known {
		return releaseTimeout
	}
	return ownership.ReleaseTimeout(releaseTimeout, ends.Sub(k.now()), k.failingFor(s.Owner) > 0)
}

func (k *keyAssigner) holdEnded(s spans.Span) bool {
	ends, known := k.holdEnds(s)
	return known && k.now().After(ends)
}

// holdEnds returns until when the owner of the span may hold its keys, by grants of this
// leader or of former ones. known is false while a former leader's are not known.
func (k *keyAssigner) holdEnds(s spans.Span) (ends time.Time, known bool) {
	k.mu.Lock()
	own, sole := k.holdDeadlines[ownerGrant(s)], k.onlyGranter
	k.mu.Unlock()
	if sole {
		return own, true
	}
	former, known := k.elector.latestFormerHold()
	return laterOf(own, former), known
}

// give grants the keys of a move to their next owner. The same call may be made
// again: it renews what an earlier one granted. It is given up when calls to the
// upstream have failed for so long that an owner would be given up.
func (k *keyAssigner) give(ctx context.Context, s spans.Span, next *instances.Instance, token string) (platform.Verdict, error) {
	arrived := false
	for {
		verdict, err := k.grant(ctx, s.Keys, next, s.NextFence, token)
		if err == nil {
			return verdict, nil
		}
		if errors.Is(err, errNoRight) {
			return 0, err
		}
		arrived = arrived || !errors.Is(err, pool.ErrNotSent)
		k.recordFailure(next.ID)
		if ctx.Err() != nil || !k.elector.mayAct() || k.failingFor(next.ID) >= ownership.SilentOwnerTimeout {
			if arrived {
				err = errPerhapsGranted
			}
			return 0, err
		}
		pause(ctx, controlRetryInterval)
	}
}

// errPerhapsGranted: no try was answered, and one may have arrived.
var errPerhapsGranted = errors.New("no try was answered, and one may have arrived")

// grant makes one call and notes until when its keys may be held. The right to
// lead is checked last, right before the call is sent.
func (k *keyAssigner) grant(ctx context.Context, keys spans.Keys, to *instances.Instance, fence uint64, token string) (platform.Verdict, error) {
	giveBack, ok := k.turns.take(ctx)
	if !ok {
		return 0, errNoTurn
	}
	defer giveBack()
	hold := k.hold()
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	// Asked again after the connection was opened: that may have taken longer than the right.
	verdict, err := k.owners.Grant(call, to.ID, to.Address, keys, fence, hold, token, k.elector.checkMayAct)
	if err == nil && verdict == platform.Granted || err != nil && !errors.Is(err, pool.ErrNotSent) {
		until := k.now().Add(holdWithMargin(hold))
		k.mu.Lock()
		id := grantID{first: keys.First, fence: fence}
		k.holdDeadlines[id] = laterOf(k.holdDeadlines[id], until)
		if err == nil {
			k.grantRenewedAt[keys.First], k.lastGranted[to.ID] = k.now(), k.now()
		}
		k.mu.Unlock()
	}
	return verdict, err
}

var (
	errNoRight = errors.New("the right to lead has run out")
	errNoTurn  = fmt.Errorf("%w: the lead has ended", pool.ErrNotSent)
)

// hold is how long grants last: longer while this leader acts by promises, so
// that owners serve on if it is lost before the store returns.
func (k *keyAssigner) hold() time.Duration {
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

// settle ends a move: the keys have the owner, the start of it that is named, or none.
// cold says that they came to it without a handover.
func (k *keyAssigner) settle(s spans.Span, owner string, granted instances.Incarnation, cold bool) {
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

// coldTime is how long keys that came without a handover are taken to be slow at
// their new owner.
const coldTime = 5 * time.Second

// warmUp takes the mark off keys that have been at their owner for long enough. Those
// marked by a leader before count from the beginning of this lead.
func (k *keyAssigner) warmUp() {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for i := range k.table.Spans {
		s := &k.table.Spans[i]
		if s.Cold && k.now().Sub(laterOf(k.tookOverAt, k.coldSince[s.First])) >= coldTime {
			s.Cold, changed = false, true
		}
	}
	if changed {
		k.unsaved = true
		k.publish()
	}
}

// raise lifts the fence counter.
func (k *keyAssigner) raise(by uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.LastFence += by
}

// startRenewals renews the grants that are due, one call after the other for
// each owner.
func (k *keyAssigner) startRenewals(ctx context.Context) {
	now := k.now()
	long := k.elector.actsByPromises()
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[string][]spans.Span)
	for _, s := range k.table.Spans {
		_, failing := k.failing[s.Owner]
		if s.Owner == "" || s.Moving() || k.callsInFlight[s.Owner] || failing && !k.controlHealthLocked(s.Owner).MayRenew() {
			continue
		}
		late := now.Sub(k.grantRenewedAt[s.First]) >= renewInterval
		// By promises each grant is made longer at once.
		stretch := long && k.holdDeadlines[ownerGrant(s)].Sub(now) < k.maxHold-renewInterval
		if late || stretch {
			due[s.Owner] = append(due[s.Owner], s)
		}
	}
	for id, list := range due {
		k.callsInFlight[id] = true
		k.tasks.Go(func() {
			k.renew(ctx, id, list)
			k.mu.Lock()
			delete(k.callsInFlight, id)
			k.mu.Unlock()
		})
	}
}

// renew renews the grants of one owner. It ends with the first call that fails: one
// without an answer may have arrived and hold its keys longer. What fails is tried with
// calls that change nothing until one is answered. An owner that answers requests meanwhile
// is not lost: its grants are renewed all at once, as each call that gets no answer takes a
// quarter of a second of the four for which they hold.
func (k *keyAssigner) renew(ctx context.Context, id string, list []spans.Span) {
	owner := k.instance(id)
	if owner == nil {
		k.recordFailure(id)
		return
	}
	if !k.controlHealth(id).Failing() {
		for _, s := range list {
			if !k.renewOne(ctx, owner, s) {
				return
			}
		}
		return
	}
	var calls sync.WaitGroup
	for _, s := range list {
		calls.Go(func() { k.renewOne(ctx, owner, s) })
	}
	calls.Wait()
}

// renewOne renews one grant and reports whether the owner's others may be renewed after it.
func (k *keyAssigner) renewOne(ctx context.Context, owner *instances.Instance, s spans.Span) bool {
	if !k.stillOwns(s) || owner.Incarnation().Other(s.Incarnation) {
		// It has other keys by now, or has started again and holds none.
		return true
	}
	verdict, err := k.grant(ctx, s.Keys, owner, s.Fence, "")
	switch {
	case errors.Is(err, errNoRight) || ctx.Err() != nil:
		return false
	case err != nil:
		k.recordFailure(owner.ID)
		return false
	case verdict == platform.Elsewhere:
		k.markTerminated(owner)
		return false
	case verdict == platform.Fenced:
		k.log.Warn("renewal refused, a higher fence was seen", "first", s.First, "upstream", owner.ID, "fence", s.Fence)
		k.lose(s)
	default:
		k.clearFailure(owner.ID)
	}
	return true
}

// startTrials calls upstreams to which calls fail with what changes nothing: a grant
// without an answer would count as one that holds, and keep the keys of a lost owner
// away from others for longer.
func (k *keyAssigner) startTrials(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.failing) == 0 {
		return
	}
	for id, f := range k.failing {
		one := k.instance(id)
		if one == nil {
			delete(k.failing, id)
			continue
		}
		if f.probeAnswered && !k.ownsKeys(id) {
			// No grant is due that would show that it takes them, so nothing else would end this,
			// and it would never be given keys again.
			k.clearFailureLocked(id)
			continue
		}
		if k.callsInFlight[id] || one.Leaving || f.probeAnswered || k.now().Sub(f.lastFailed) < probeInterval {
			continue
		}
		k.callsInFlight[id] = true
		keys := k.foreignKey(id)
		k.tasks.Go(func() {
			k.trial(ctx, one, keys)
			k.mu.Lock()
			delete(k.callsInFlight, id)
			k.mu.Unlock()
		})
	}
}

// foreignKey returns a key that the upstream neither has nor gets. The lock is held.
func (k *keyAssigner) foreignKey(id string) spans.Keys {
	for _, s := range k.table.Spans {
		if s.Owner != id && s.Next != id {
			return spans.Keys{First: s.First, Last: s.First}
		}
	}
	return spans.Keys{}
}

// trialFence makes a release of a key that the upstream does not hold concern nothing:
// all fences in use are higher.
const trialFence = 1

// trial makes a call that changes nothing.
func (k *keyAssigner) trial(ctx context.Context, to *instances.Instance, keys spans.Keys) {
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if _, _, err := k.owners.Release(call, to.ID, to.Address, keys, trialFence); err != nil {
		k.recordFailure(to.ID)
		return
	}
	k.recordProbeAnswer(to.ID)
}

// stillOwns reports whether the span is as it was and does not move.
func (k *keyAssigner) stillOwns(s spans.Span) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Find(s.First) == s
}

// lose notes that the owner does not hold the keys of the span any more.
func (k *keyAssigner) lose(s spans.Span) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := k.table.At(s.First)
	if k.table.Spans[i] == s {
		k.table.Spans[i].Owner = ""
		k.table.LastFence += fenceIncrement
		k.unsaved = true
		k.publish()
	}
}
