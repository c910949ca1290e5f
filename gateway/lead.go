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
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// Where the leader's lease lies in the store.
const (
	leaseKind = "rockcroft-leases"
	leaseName = "leader"
)

const (
	// rankPause keeps gateways from reaching for the lease at the same moment:
	// each waits this much longer than the one before it.
	rankPause = 120 * time.Millisecond
	// leadInterval is the time between looks at the lease's state.
	leadInterval = 50 * time.Millisecond
	// claimInterval is the time between readings of the lease by a gateway that
	// would take it.
	claimInterval = 500 * time.Millisecond
	// lateRenewal is how late a renewal of the lease must be for this leader to
	// ask for promises: enough of its right is left to do so.
	lateRenewal = 400 * time.Millisecond
)

// leading runs the part of this process in leadership.
type leading struct {
	store    *platform.Store
	calls    *storeCaller
	cluster  *cluster
	follower *follower
	watcher  *watcher
	steward  *steward
	now      func() time.Time
	log      *slog.Logger
	// firstRank is this gateway's place while no members are known.
	firstRank int
	// started is when the process began to look for a leader.
	started  time.Time
	promises *promises
	longest  time.Duration

	mu    sync.Mutex
	right leadership.Right
	// extended is the right by promises, without the store.
	extended leadership.Right
	// voterLists are the lists of voters that may be in force: one, or two
	// while a renewal that changed the list has no answer.
	voterLists [][]string
	claim      leadership.LeaseObservation
	lease      leadership.Lease
	revision   uint64
	// formerHolds is until when upstreams may hold keys by grants of a former
	// leader, once that is known.
	formerHolds time.Time
	formerKnown bool
	// formerByPromises says that this is so by promises to the former leader.
	formerByPromises bool
	renewedAt        time.Time

	// resigned is set when this process stops: it takes no lease any more.
	resigned atomic.Bool
	// writing is held over each write of the lease.
	writing sync.Mutex
}

// mayAct reports whether this process leads and its right has not run out.
func (l *leading) mayAct() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right.Valid(l.now()) || l.extended.Valid(l.now())
}

// stillMayAct returns an error when this process may not act any more.
func (l *leading) stillMayAct() error {
	if !l.mayAct() {
		return errLeadershipExpired
	}
	return nil
}

// byPromises reports whether this leader acts by promises: then its grants may
// last longer, as its successor will ask for these.
func (l *leading) byPromises() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extended.Valid(l.now())
}

// run takes the lease when it is due, keeps it, and watches the store while
// this gateway leads or hears from no leader.
func (l *leading) run(ctx context.Context) {
	var stopWatch context.CancelFunc
	var watch sync.WaitGroup
	l.started = l.now()
	lastClaim := time.Time{}
	for ctx.Err() == nil {
		lost, refused, resigned := l.follower.lostFor()
		wantWatch := l.cluster.isLeading() || l.follower.needsStore(l.watcher.ages.lastHeardAny())
		switch {
		case wantWatch && stopWatch == nil:
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			watch.Go(func() { l.watcher.run(watchCtx) })
		case !wantWatch && stopWatch != nil:
			stopWatch()
			stopWatch = nil
			watch.Wait()
		}
		if l.cluster.isLeading() {
			// In a stop it is renewed by the stop, within the time that this has.
			if !l.resigned.Load() {
				l.keep(ctx)
			}
		} else if l.due(lost, refused || resigned) && l.now().Sub(lastClaim) > claimInterval {
			lastClaim = l.now()
			l.reach(ctx, refused)
		}
		pause(ctx, leadInterval)
	}
	if stopWatch != nil {
		stopWatch()
	}
	watch.Wait()
}

// runExtensions asks for promises while the lease is not renewed, until ctx ends.
func (l *leading) runExtensions(ctx context.Context) {
	for ctx.Err() == nil {
		if l.cluster.isLeading() && l.doubtful() {
			l.extend(ctx)
			pause(ctx, leadership.RenewInterval)
			continue
		}
		pause(ctx, leadInterval)
	}
}

// due reports whether this gateway should look whether it can lead.
// ended says that the leader's process or role seems to have ended.
func (l *leading) due(lost time.Duration, ended bool) bool {
	if l.resigned.Load() {
		return false
	}
	if l.cluster.knownLeader() == nil {
		// The lease may be that of the process before this one.
		return l.follower.alone() || lost > orphanAfter
	}
	wait := orphanAfter
	if ended {
		wait = 0
	}
	return lost > wait+time.Duration(l.cluster.rank())*rankPause
}

// reach reads the lease and takes it if it may.
func (l *leading) reach(ctx context.Context, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		if l.now().Sub(l.started) > time.Duration(l.firstRank)*2*rankPause {
			l.take(ctx, leadership.Lease{}, 0, l.now())
		}
		return
	case err != nil:
		return
	}
	var lease leadership.Lease
	if err := platform.Decode(object, &lease); err != nil {
		l.log.Error("the leader's lease cannot be read", "error", err)
		return
	}
	now := l.now()
	l.mu.Lock()
	l.claim.Observe(now, object.Revision)
	may := l.claim.CanTakeOver(now, lease, l.cluster.self.Address, refused)
	ends := l.claim.HolderExpiry()
	l.mu.Unlock()
	if lease.Released || lease.Address == l.cluster.self.Address {
		ends = now
	}
	if may {
		l.take(ctx, lease, object.Revision, ends)
		return
	}
	l.cluster.setLeader(leaderMessage(lease, object.Revision))
}

// take writes the lease in this gateway's name.
func (l *leading) take(ctx context.Context, former leadership.Lease, revision uint64, ends time.Time) {
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.resigned.Load() {
		return
	}
	self := l.cluster.self
	mine := leadership.Lease{
		Node: self.Node, Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation,
		Term: former.Term + 1, Voters: l.firstVoters(former), Gateways: max(former.Gateways, l.cluster.gatewayCount()),
	}
	sent := l.now()
	var object platform.Object
	var err error
	if revision == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, mine)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, revision, mine)
	}
	if err != nil && !l.isMine(object, mine) {
		l.log.Info("lease not taken", "term", mine.Term, "error", err)
		return
	}
	l.mu.Lock()
	l.lease, l.revision = mine, object.Revision
	l.right.Extend(sent)
	l.extended.Revoke()
	l.voterLists = [][]string{mine.Voters}
	l.renewedAt = sent
	l.formerKnown = false
	l.mu.Unlock()
	l.log.Info("leading", "term", mine.Term, "former", former.Node, "released", former.Released)
	l.cluster.expectGateways(former.Gateways)
	l.cluster.setLeader(leaderMessage(mine, object.Revision))
	l.cluster.setLeading(true)
	l.steward.start(mine.Term, func(ctx context.Context) { l.inquire(ctx, former, ends, l.longest) })
}

// isMine reports whether the object that a refused write returned is what was
// to be written: its answer was lost.
func (l *leading) isMine(o platform.Object, mine leadership.Lease) bool {
	var there leadership.Lease
	if len(o.Spec) == 0 || platform.Decode(o, &there) != nil {
		return false
	}
	return there.Same(mine)
}

// keep renews the lease when it is due, and stops leading when it is lost.
func (l *leading) keep(ctx context.Context) {
	l.writing.Lock()
	defer l.writing.Unlock()
	if !l.cluster.isLeading() {
		return
	}
	now := l.now()
	l.mu.Lock()
	due := now.Sub(l.renewedAt) >= leadership.RenewInterval
	next := l.lease
	revision := l.revision
	l.mu.Unlock()
	if !due {
		return
	}
	next.Renewals++
	next.Gateways = l.cluster.gatewayCount()
	if voters := l.voters(next.Voters); l.votersMayChange() && !slices.Equal(voters, next.Voters) {
		next.Voters = voters
		l.mu.Lock()
		l.voterLists = append(l.voterLists, voters)
		l.mu.Unlock()
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout+relayTimeout)
	object, err := l.store.Replace(call, leaseKind, leaseName, revision, next)
	cancel()
	switch {
	case err == nil || l.isMine(object, next):
		l.mu.Lock()
		l.lease, l.revision = next, object.Revision
		l.voterLists = [][]string{next.Voters}
		l.right.Extend(now)
		l.extended.Revoke()
		l.renewedAt = now
		l.mu.Unlock()
		l.cluster.setLeader(leaderMessage(next, object.Revision))
	case errors.Is(err, platform.ErrConflict):
		l.conflict(object)
	case ctx.Err() == nil:
		l.log.Warn("lease not renewed", "error", err, "right_left_ms", l.rightLeft().Milliseconds())
	}
	l.cluster.expire()
}

// doubtful reports whether the lease was not renewed when it was due.
func (l *leading) doubtful() bool {
	return l.rightLeft() < leadership.LeaseDuration-leadership.RenewInterval-lateRenewal
}

func (l *leading) rightLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right.Remaining(l.now())
}

// conflict handles a lease that is not as this leader left it. An own renewal
// that took effect late is taken over; another holder ends the role.
func (l *leading) conflict(o platform.Object) {
	var there leadership.Lease
	if err := platform.Decode(o, &there); err != nil {
		l.log.Error("the leader's lease cannot be read", "error", err)
		return
	}
	l.mu.Lock()
	if there.Incarnation == l.lease.Incarnation && there.Term == l.lease.Term {
		l.lease, l.revision = there, o.Revision
		l.voterLists = [][]string{there.Voters}
		l.mu.Unlock()
		return
	}
	l.right.Revoke()
	l.extended.Revoke()
	l.mu.Unlock()
	l.log.Info("no longer leading", "leader", there.Node, "term", there.Term)
	l.stop()
	l.cluster.setLeader(leaderMessage(there, o.Revision))
}

func (l *leading) stop() {
	l.cluster.setLeading(false)
	l.steward.stop()
}

func leaderMessage(l leadership.Lease, revision uint64) *syncpb.Leader {
	return &syncpb.Leader{
		Member: &syncpb.Member{Node: l.Node, Address: l.Address, Domain: l.Domain, Incarnation: l.Incarnation},
		Term:   l.Term, Revision: revision,
	}
}
