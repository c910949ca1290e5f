package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// Kind and name of the leader's lease in the store.
const (
	leaseKind = leadership.StoreKind
	leaseName = leadership.StoreName
)

const (
	// rankDelay keeps gateways from trying to acquire the lease at the same moment: each waits
	// this much longer than the gateway ranked before it.
	rankDelay = 120 * time.Millisecond
	// leaseCheckInterval is the time between checks of the lease's state.
	leaseCheckInterval = 50 * time.Millisecond
	// cutOffDelay is how much longer a gateway that reaches no upstream leaves a lease that may be taken to
	// others.
	cutOffDelay = 2 * time.Second
	// leaseReadInterval is the time between reads of the lease by a gateway that tries to
	// acquire it.
	leaseReadInterval = 500 * time.Millisecond
	// renewalGrace is how late a renewal of the lease must be before the leader asks the voters
	// for promises. Enough of its right to act is left then to collect them.
	renewalGrace = 400 * time.Millisecond
)

// leaderElector acquires, renews and releases the leader's lease in this process.
type leaderElector struct {
	store       *platform.Store
	calls       *storeCaller
	cluster     *cluster
	follower    *follower
	watcher     *watcher
	assignments *assignmentSupervisor
	now         func() time.Time
	log         *slog.Logger
	meters      *meters
	// initialRank is this gateway's rank while no members are known.
	initialRank int
	// startedAt is when the process began to look for a leader.
	startedAt time.Time
	promises  *promises
	maxHold   time.Duration
	// cutOff reports whether this gateway reaches no upstream.
	cutOff func() bool
	// handedOverAt is when this process last gave the lease up because of that.
	handedOverAt time.Time

	mu    sync.Mutex
	right leadership.Right
	// promisedRight is the right to act that voter promises give without the store.
	promisedRight leadership.Right
	// voterLists are the lists of voters that may be in force: normally one, two while a
	// renewal that changed the list has not been answered, none after leadership has ended.
	voterLists [][]string
	writes     leadership.Writes
	claim      leadership.LeaseObservation
	lease      leadership.Lease
	revision   uint64
	// formerHoldDeadline is until when upstreams may hold keys by grants of a former leader;
	// formerHoldKnown is set once that is known.
	formerHoldDeadline time.Time
	formerHoldKnown    bool
	// formerHolds is what the lease states of such holds, and of those by grants that this leader
	// made by promises: a later list of voters does not know of these promises.
	formerHolds leadership.FormerHolds
	// formerActedByPromises is set when that time results from promises to the former leader.
	formerActedByPromises bool
	renewedAt             time.Time

	// resigning is set when this process stops; it does not acquire the lease after that.
	resigning atomic.Bool
	// leaseWriteMu is held during each write of the lease.
	leaseWriteMu sync.Mutex
}

// mayAct reports whether this process leads and its right to act has not expired.
func (l *leaderElector) mayAct() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right.Valid(l.now()) || l.promisedRight.Valid(l.now())
}

// checkMayAct returns errLeadershipExpired when this process may no longer act as leader.
func (l *leaderElector) checkMayAct() error {
	if !l.mayAct() {
		return errLeadershipExpired
	}
	return nil
}

// actsByPromises reports whether this leader acts by voter promises. Its grants may then last
// longer, because a successor asks the voters about them.
func (l *leaderElector) actsByPromises() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.promisedRight.Valid(l.now())
}

// run acquires the lease when that is due and renews it. It also watches the store while this
// gateway leads or has no recent state from a leader.
func (l *leaderElector) run(ctx context.Context) {
	var stopWatch context.CancelFunc
	var watch sync.WaitGroup
	l.startedAt = l.now()
	lastClaim := time.Time{}
	if l.readsFirst() {
		// The time that a lease must be unchanged counts from the first read.
		watch.Go(func() { l.observe(ctx) })
	}
	for ctx.Err() == nil {
		lost, refused, resigned := l.follower.leaderSilence()
		wantWatch := l.cluster.isLeading() || l.follower.needsStore(l.watcher.ages.lastHeardAny())
		switch {
		case wantWatch && stopWatch == nil:
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			l.log.Info("watching the store", "leading", l.cluster.isLeading(), "leader_heard_ms_ago", lost.Milliseconds())
			watch.Go(func() { l.watcher.run(watchCtx) })
		case !wantWatch && stopWatch != nil:
			stopWatch()
			stopWatch = nil
			watch.Wait()
			l.log.Info("no longer watching the store", "leader_heard_ms_ago", lost.Milliseconds())
		}
		if l.cluster.isLeading() {
			// During a stop, resign renews the lease, within the time that the stop has left.
			switch {
			case l.resigning.Load():
			case l.handOverDue():
				l.handOver(ctx)
			default:
				l.renewIfDue(ctx)
			}
		} else if l.acquireDue(lost, refused || resigned) && l.leaseReadDue(lastClaim, refused) {
			lastClaim = l.now()
			l.tryAcquire(ctx, refused)
		}
		pause(ctx, leaseCheckInterval)
	}
	if stopWatch != nil {
		stopWatch()
	}
	watch.Wait()
}

// readsFirst reports whether this gateway reads the lease as soon as it has started: the seeds do, which
// the others ask for the leader.
func (l *leaderElector) readsFirst() bool { return l.follower.isSeed || len(l.follower.seeds) == 0 }

// leaseReadDue reports whether the lease should be read again: after leaseReadInterval, and at the moment
// from which it may be taken over.
func (l *leaderElector) leaseReadDue(last time.Time, refused bool) bool {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.claim.EarliestTakeOver(refused)
	at = at.Add(l.startDelay())
	return now.Sub(last) > leaseReadInterval || ok && last.Before(at) && !now.Before(at)
}

// startDelay is how much longer this gateway waits for the lease of a silent holder while it knows no other
// gateways: the seeds come first, as the others ask them for the leader.
func (l *leaderElector) startDelay() time.Duration {
	if l.readsFirst() || l.cluster.gatewayCount() > 1 {
		return 0
	}
	return rankDelay
}

// observe reads the lease and takes note of its holder.
func (l *leaderElector) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	if err != nil {
		return
	}
	var lease leadership.Lease
	if err := platform.Decode(object, &lease); err != nil {
		return
	}
	l.mu.Lock()
	l.claim.Observe(l.now(), object.Revision)
	l.mu.Unlock()
	if !lease.Released {
		l.cluster.setLeader(leaderMessage(lease, object.Revision))
	}
}

// runExtensions asks the voters for promises while the renewal of the lease is overdue, until
// ctx ends.
func (l *leaderElector) runExtensions(ctx context.Context) {
	for ctx.Err() == nil {
		if l.cluster.isLeading() && l.renewalOverdue() {
			l.extend(ctx)
			pause(ctx, leadership.RenewInterval)
			continue
		}
		pause(ctx, leaseCheckInterval)
	}
}

// acquireDue reports whether this gateway should try to acquire the lease. ended reports that
// the leader's process or its role appears to have ended.
func (l *leaderElector) acquireDue(lost time.Duration, ended bool) bool {
	if l.resigning.Load() {
		return false
	}
	leader := l.cluster.knownLeader()
	switch {
	case leader == nil:
		// The lease may belong to the previous process at this address.
		return l.follower.startedAlone() || lost > leaderSilenceTimeout
	case leader.Member.Address == l.cluster.self.Address && leader.Member.Incarnation != l.cluster.self.Incarnation:
		return true
	}
	wait := leaderSilenceTimeout
	if ended {
		wait = 0
	}
	return lost > wait+time.Duration(l.cluster.rank())*rankDelay
}

// tryAcquire reads the lease and acquires it if that is allowed.
func (l *leaderElector) tryAcquire(ctx context.Context, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		if l.now().Sub(l.startedAt) > time.Duration(l.initialRank)*2*rankDelay {
			l.acquire(ctx, leadership.Lease{}, 0, time.Time{})
		}
		return
	case err != nil:
		return
	}
	var lease leadership.Lease
	if err := platform.Decode(object, &lease); err != nil {
		l.log.Error("leader lease could not be decoded", "error", err)
		return
	}
	now := l.now()
	l.mu.Lock()
	l.claim.Observe(now, object.Revision)
	may := l.claim.CanTakeOver(now.Add(-l.startDelay()), lease, l.cluster.self.Address, refused)
	if l.cutOff() {
		may = l.claim.CanTakeOver(now.Add(-cutOffDelay), lease, l.cluster.self.Address, refused) && l.claim.UnchangedFor(now) >= cutOffDelay
	}
	holdsEnd := l.claim.HoldsEnd(now, lease, l.cluster.self.Address, normalHold)
	l.mu.Unlock()
	if may {
		l.acquire(ctx, lease, object.Revision, holdsEnd)
		return
	}
	l.cluster.setLeader(leaderMessage(lease, object.Revision))
}

// normalHold is how long an upstream may hold keys after a grant of a leader that does not act by
// promises.
var normalHold = ownership.HoldWithMargin(holdDuration)

// acquire writes the lease in this gateway's name and begins to lead. holdsEnd is when upstreams have ceased
// to hold keys by grants of former leaders, unless these acted by promises.
func (l *leaderElector) acquire(ctx context.Context, former leadership.Lease, revision uint64, holdsEnd time.Time) {
	l.leaseWriteMu.Lock()
	defer l.leaseWriteMu.Unlock()
	if l.resigning.Load() {
		return
	}
	self := l.cluster.self
	newLease := leadership.Lease{
		Node: self.Node, Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation,
		Term: former.Term + 1, Voters: l.initialVoters(former), Gateways: max(former.Gateways, l.cluster.gatewayCount()),
		MajorityPeriodMs: majorityPeriodAfter(former),
	}
	var holds leadership.FormerHolds
	holds.Extend(holdsEnd)
	sent := l.now()
	newLease.FormerHoldsMs = holds.Milliseconds(sent, normalHold)
	l.mu.Lock()
	newLease.Renewals = l.writes.Begin(sent)
	l.mu.Unlock()
	var object platform.Object
	var err error
	if revision == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, newLease)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, revision, newLease)
	}
	if err != nil && !l.isOwnWrite(object, newLease) {
		l.log.Info("lease could not be acquired", "term", newLease.Term, "error", err)
		l.followHolder(object)
		return
	}
	l.mu.Lock()
	l.adoptWrite(newLease, object.Revision)
	l.promisedRight.Revoke()
	l.formerHoldKnown, l.formerHolds = false, holds
	l.mu.Unlock()
	l.log.Info("leading", "term", newLease.Term, "former", former.Node, "former_term", former.Term, "released", former.Released,
		"former_holds_ms", max(holdsEnd.Sub(l.now()), 0).Milliseconds())
	l.cluster.expectGateways(former.Gateways)
	l.cluster.setLeader(leaderMessage(newLease, object.Revision))
	l.cluster.setLeading(true)
	l.assignments.start(newLease.Term, func(ctx context.Context) { l.inquire(ctx, former, holdsEnd, l.maxHold) })
}

// majorityPeriodAfter returns Lease.MajorityPeriodMs for the successor of a lease, as long as its holder may act.
func majorityPeriodAfter(former leadership.Lease) int64 {
	own := leadership.MajorityPeriod.Milliseconds()
	if former.Term > 0 && former.MajorityPeriodMs == 0 {
		return 0
	}
	return max(own, former.MajorityPeriodMs)
}

// followHolder takes note of the holder of a lease that a refused write returned. An earlier attempt of
// this process is acquired again when the lease is read next.
func (l *leaderElector) followHolder(o platform.Object) {
	var stored leadership.Lease
	if len(o.Spec) == 0 || platform.Decode(o, &stored) != nil || stored.Incarnation == l.cluster.self.Incarnation {
		return
	}
	l.cluster.setLeader(leaderMessage(stored, o.Revision))
}

// isOwnWrite reports whether the object that a refused write returned is the one that was to
// be written: that write succeeded and its response was lost.
func (l *leaderElector) isOwnWrite(o platform.Object, newLease leadership.Lease) bool {
	var stored leadership.Lease
	if len(o.Spec) == 0 || platform.Decode(o, &stored) != nil {
		return false
	}
	return stored.Same(newLease)
}

// renewIfDue renews the lease when that is due, and stops leading when another holder has it.
func (l *leaderElector) renewIfDue(ctx context.Context) {
	l.leaseWriteMu.Lock()
	defer l.leaseWriteMu.Unlock()
	if !l.cluster.isLeading() {
		return
	}
	now := l.now()
	next, revision, due := l.beginRenewal(now)
	if !due {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout+relayTimeout)
	object, err := l.store.Replace(call, leaseKind, leaseName, revision, next)
	cancel()
	switch {
	case err == nil || l.isOwnWrite(object, next):
		l.mu.Lock()
		l.adoptWrite(next, object.Revision)
		l.promisedRight.Revoke()
		l.mu.Unlock()
		l.cluster.setLeader(leaderMessage(next, object.Revision))
	case errors.Is(err, platform.ErrConflict):
		l.handleConflict(object)
	case ctx.Err() == nil:
		l.log.Warn("lease not renewed", "error", err, "right_left_ms", l.rightLeft().Milliseconds())
	}
	l.cluster.expire()
}

// beginRenewal returns the lease that a renewal which is sent now writes over the given revision. If it
// changes the voters, both lists may be in force from now on.
func (l *leaderElector) beginRenewal(now time.Time) (next leadership.Lease, revision uint64, due bool) {
	gateways, mayChange := l.cluster.gatewayCount(), l.votersMayChange()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.renewedAt) < leadership.RenewInterval {
		return leadership.Lease{}, 0, false
	}
	next = l.lease
	next.Renewals = l.writes.Begin(now)
	next.Gateways = gateways
	next.FormerHoldsMs = l.formerHolds.Milliseconds(now, normalHold)
	if l.formerHoldKnown {
		next.MajorityPeriodMs = leadership.MajorityPeriod.Milliseconds()
	}
	if voters := l.chooseVoters(next.Voters); mayChange && !slices.Equal(voters, next.Voters) {
		next.Voters = voters
		l.voterLists = append(l.voterLists, voters)
	}
	return next, l.revision, true
}

// renewalOverdue reports whether the lease was not renewed when it was due.
func (l *leaderElector) renewalOverdue() bool {
	return l.rightLeft() < leadership.LeaseDuration-leadership.RenewInterval-renewalGrace
}

func (l *leaderElector) rightLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right.Remaining(l.now())
}

// handleConflict handles a lease that differs from the last one this leader knew. It adopts a
// delayed renewal of its own; another holder ends its leadership.
func (l *leaderElector) handleConflict(o platform.Object) {
	var stored leadership.Lease
	if err := platform.Decode(o, &stored); err != nil {
		l.log.Error("leader lease could not be decoded", "error", err)
		return
	}
	l.mu.Lock()
	if stored.Incarnation == l.lease.Incarnation && stored.Term == l.lease.Term {
		l.adoptWrite(stored, o.Revision)
		l.mu.Unlock()
		return
	}
	l.revokeRights()
	l.mu.Unlock()
	l.log.Info("no longer leading", "leader", stored.Node, "term", stored.Term)
	l.stepDown()
	l.cluster.setLeader(leaderMessage(stored, o.Revision))
}

// adoptWrite takes note of a write of this leader that is stored. The caller holds l.mu.
func (l *leaderElector) adoptWrite(stored leadership.Lease, revision uint64) {
	l.lease, l.revision = stored, revision
	l.voterLists = [][]string{stored.Voters}
	if sent, ok := l.writes.Accepted(stored.Renewals); ok {
		l.right.Extend(sent)
		l.renewedAt = sent
	}
}

// revokeRights ends the right to act. The caller holds l.mu.
func (l *leaderElector) revokeRights() {
	l.right.Revoke()
	l.promisedRight.Revoke()
	l.voterLists = nil
}

func (l *leaderElector) stepDown() {
	l.cluster.setLeading(false)
	l.assignments.stop()
}

func leaderMessage(l leadership.Lease, revision uint64) *syncpb.Leader {
	return &syncpb.Leader{
		Member: &syncpb.Member{Node: l.Node, Address: l.Address, Domain: l.Domain, Incarnation: l.Incarnation},
		Term:   l.Term, Revision: revision,
	}
}
