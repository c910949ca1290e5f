package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/currency"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/transport/pool"
)

const (
	// watchWait is how long one watch waits for changes. It is kept short because changes must be
	// in force within two seconds even in two cases: a watch during a compaction receives nothing
	// and only the next one returns the compaction error, and a path may become silent.
	watchWait = 1200 * time.Millisecond
	// minWatchInterval is the pause after a watch that ends at once without changes, which happens
	// when the path on which it was to wait fails.
	minWatchInterval = 100 * time.Millisecond
	// backlogPage is the number of changes in one answer from which on there are probably more, and
	// maxBacklog bounds those that are read before they are applied.
	backlogPage = 200
	maxBacklog  = 20_000
	// minWatchWait is the wait of a watch that is to bring only what there is.
	minWatchWait = time.Millisecond
	// configurationBatchDelay and instancesBatchDelay are how long changes are collected before the
	// next watch. Upstreams start and stop by the dozen, and one that leaves takes two seconds or
	// more to do so.
	configurationBatchDelay = 100 * time.Millisecond
	instancesBatchDelay     = 250 * time.Millisecond
	// evacuationsBatchDelay is short because evacuations are rare and each must be in force
	// everywhere within a second.
	evacuationsBatchDelay = 20 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// maxConfirmationInterval is the longest time between two answers to watches of the upstreams on a
	// path that carries changes at once.
	maxConfirmationInterval = instancesBatchDelay + watchWait + fallbackDelay
	// settleInterval is the time between checks of upstreams whose entries are missing.
	settleInterval = 100 * time.Millisecond
)

// watcher keeps the view up to date from the platform's store. It runs in the leader and in a
// gateway that has no contact with a leader.
type watcher struct {
	store *platform.Store
	view  *view
	evac  *evacuations
	now   func() time.Time
	log   *slog.Logger
	// drained returns the upstreams that operators are draining.
	drained func() map[string]bool
	// announcedLeaving returns the upstreams that have told a gateway that they are leaving.
	announcedLeaving func() map[string]bool
	// leavingShown are the upstreams that were draining or had announced that they are leaving in
	// the last view.
	leavingShown map[string]bool
	// leading reports whether this gateway leads; reportedRevision returns the highest revision of the
	// upstreams at the gateways that report to it.
	leading          func() bool
	reportedRevision func() uint64

	mu      sync.Mutex
	tracker *instances.Tracker
	// published is the version of the upstreams that this gateway's own lists and watches last gave.
	published uint64
	// listedFor is the highest revision at another gateway for which the upstreams were listed again.
	listedFor uint64
	// badRevision is the revision of the last configuration that could not be decoded; badEntries
	// are those of upstream entries, by name.
	badRevision uint64
	badEntries  map[string]uint64
	meters      *meters
	// compacted is closed when one watch learns that history was compacted, which affects the other
	// watches as well.
	compacted chan struct{}
	// ages records when the store last answered for each kind.
	ages *watchAges
	// currency tracks until when the view of the upstreams is known to have been complete.
	currency *currency.Tracker
	// allowedSilence returns how long a watch may be silent after its wait before others are asked.
	allowedSilence func() time.Duration
}

func newWatcher(store *platform.Store, v *view, evac *evacuations, now func() time.Time, log *slog.Logger, m *meters) *watcher {
	return &watcher{
		leavingShown: make(map[string]bool), leading: func() bool { return false }, reportedRevision: func() uint64 { return 0 }, store: store, view: v, evac: evac, now: now, log: log, meters: m,
		ages: newWatchAges(now, log), currency: &currency.Tracker{}, allowedSilence: func() time.Duration { return watchSilenceLimit }, badEntries: make(map[string]uint64), compacted: make(chan struct{}), announcedLeaving: func() map[string]bool { return nil },
		drained: func() map[string]bool { return make(map[string]bool) },
	}
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	w.mu.Lock()
	w.tracker, w.published = instances.NewTracker(w.view.inst.Load(), w.now()), 0
	w.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() {
		known := w.view.configuration().revision
		w.follow(ctx, platform.ConfigKind, known, configurationBatchDelay, w.configurationListed, w.configurationChanged)
	})
	listed := make(chan struct{})
	var once sync.Once
	onEvacuationList := func(objects []platform.Object, at uint64) {
		w.evac.applyList(objects, at)
		once.Do(func() { close(listed) })
	}
	all.Go(func() {
		w.follow(ctx, platform.EvacuationsKind, 0, evacuationsBatchDelay, onEvacuationList, w.evac.applyChanges)
	})
	onUpstreamList := func(objects []platform.Object, at uint64) {
		// Evacuations must be known before any upstream is: no upstream of an evacuated failure
		// domain may be used.
		select {
		case <-listed:
			w.instancesListed(objects, at)
		case <-ctx.Done():
		}
	}
	all.Go(func() {
		w.follow(ctx, platform.InstancesKind, 0, instancesBatchDelay, onUpstreamList, w.instancesChanged)
	})
	all.Go(func() { w.settle(ctx) })
	all.Wait()
}

// follow watches a kind from a revision up to which the view is complete. It lists the kind first
// if that revision is zero, which means none, and again when the history is gone or too large to
// transfer.
func (w *watcher) follow(ctx context.Context, kind string, revision uint64, batchDelay time.Duration, onList func([]platform.Object, uint64), onChanges func([]platform.Object, uint64)) {
	w.ages.begin(kind)
	defer w.ages.end(kind)
	backoff := initialBackoff
	known, answered, continuous := revision > 0, false, false
	for ctx.Err() == nil {
		var err error
		started := w.now()
		if kind == platform.InstancesKind && w.listDue() {
			known = false
		}
		if !known {
			var objects []platform.Object
			freshness := w.listFreshness(kind)
			if objects, revision, err = w.store.List(ctx, kind, freshness); err == nil {
				known = true
				w.ages.recordAnswer(kind)
				onList(objects, completeAt(freshness, revision))
				w.recordApplied(kind, started)
			}
		} else {
			var changes []platform.Object
			var next uint64
			if changes, next, err = w.watchBacklog(ctx, kind, revision); err == nil {
				w.ages.recordAnswer(kind)
				w.recordWatched(kind, started, continuous)
			}
			if err == nil && len(changes) == 0 && w.now().Sub(started) < minWatchInterval {
				pause(ctx, minWatchInterval)
			}
			if len(changes) > 0 {
				revision = nextRevision(revision, changes, next)
				onChanges(changes, revision)
			}
			if err == nil {
				w.recordApplied(kind, started)
			}
			if len(changes) > 0 {
				pause(ctx, batchDelay)
			}
		}
		continuous = err == nil
		switch {
		case err == nil:
			backoff = initialBackoff
			answered = true
		case errors.Is(err, platform.ErrCompacted):
			w.log.Info("store history compacted, listing again", "kind", kind, "revision", revision)
			known = false
			if answered {
				// If nothing was answered before, the watch started from a revision that was
				// already too old, and the other watches have not necessarily missed changes.
				w.cancelWatches()
			}
		case known && answerTooLarge(err):
			w.log.Info("too many changes for one answer, listing again", "kind", kind, "revision", revision)
			known = false
		default:
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// recordWatched records an answer to a watch before its changes are applied. continuous is set if the call
// before it was answered as well. Changes in an answer that took longer than the path on which the watch
// waited is given, or came after a failed call, may have been made long before.
func (w *watcher) recordWatched(kind string, started time.Time, continuous bool) {
	now := w.now()
	switch {
	case kind != platform.InstancesKind:
	case continuous && now.Sub(started) <= watchWait+w.allowedSilence():
		w.currency.Extend(now)
	default:
		w.currency.Lapse(now)
	}
}

// recordApplied records that the answer to a call which was started at the given time has been applied.
func (w *watcher) recordApplied(kind string, started time.Time) {
	w.ages.recordApplied(kind, started)
	if kind == platform.InstancesKind {
		w.currency.Confirm(w.now(), started)
	}
}

// listFreshness returns how current a list must be. The first list of upstreams may be stale: the watch
// that follows brings what has changed since. Against a view that is already known, a stale list would
// make newer upstreams look removed.
func (w *watcher) listFreshness(kind string) platform.Freshness {
	if kind == platform.InstancesKind && w.view.inst.Load() == nil {
		return platform.MayBeStale
	}
	return platform.Newest
}

// completeAt returns the revision at which a list was complete, or zero if it may be stale: a watch goes on
// from its revision, but the view must not look newer than those of other gateways.
func completeAt(freshness platform.Freshness, revision uint64) uint64 {
	if freshness == platform.MayBeStale {
		return 0
	}
	return revision
}

// answerTooLarge reports whether a call failed because of the size of its response, which would be
// as large the next time.
func answerTooLarge(err error) bool {
	return errors.Is(err, errCallTooLong) || errors.Is(err, pool.ErrTooLarge)
}

// watch waits for changes, or until another watch learns of a compaction.
func (w *watcher) watch(ctx context.Context, kind string, after uint64) ([]platform.Object, uint64, error) {
	w.mu.Lock()
	compacted := w.compacted
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-compacted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return w.store.Watch(ctx, kind, after, watchWait)
}

// watchBacklog waits for changes, and reads on at once while each answer brings so many that there are
// probably more: thousands of upstreams that start together would otherwise become known one answer at a
// time, each followed by a pause.
func (w *watcher) watchBacklog(ctx context.Context, kind string, after uint64) ([]platform.Object, uint64, error) {
	changes, next, err := w.watch(ctx, kind, after)
	page := changes
	for err == nil && len(page) >= backlogPage && len(changes) < maxBacklog {
		after = nextRevision(after, page, next)
		var further uint64
		page, further, err = w.store.Watch(ctx, kind, after, minWatchWait)
		if err != nil {
			// What has been read is applied; the next watch continues from there.
			w.log.Info("watch of a backlog ended early", "kind", kind, "changes", len(changes), "error", err)
			return changes, next, nil
		}
		changes, next = append(changes, page...), further
	}
	return changes, next, err
}

// cancelWatches ends the watches in progress.
func (w *watcher) cancelWatches() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.compacted)
	w.compacted = make(chan struct{})
}

// nextRevision returns the revision to watch from after changes were received. It is that of the
// last change and not the one that the store reports: a watch that misses changes while they are
// made reports a revision beyond them. If the store has dropped that history, the next watch fails
// with a compaction error and the kind is listed again.
func nextRevision(revision uint64, changes []platform.Object, named uint64) uint64 {
	last := uint64(0)
	for _, o := range changes {
		last = max(last, o.Revision)
	}
	if last > revision {
		return last
	}
	// A removal may carry the revision of the object's last change.
	return max(revision, named)
}

// pause sleeps for a duration, or until ctx ends if that is sooner.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *watcher) configurationListed(objects []platform.Object, _ uint64) {
	for _, o := range objects {
		w.applyConfiguration(o)
	}
}

// configurationChanged applies the newest of several configurations that is valid; older ones are
// not decoded.
func (w *watcher) configurationChanged(changes []platform.Object, _ uint64) {
	known := w.view.configuration().revision
	for _, o := range slices.Backward(changes) {
		if o.Removed || o.Name != platform.ConfigName {
			continue
		}
		if o.Revision <= known || w.applyConfiguration(o) {
			return
		}
	}
}

// applyConfiguration puts a configuration in force, and reports whether it is newer than the
// previous one.
func (w *watcher) applyConfiguration(o platform.Object) bool {
	if o.Name != platform.ConfigName {
		return false
	}
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		if w.badRevision != o.Revision {
			w.badRevision = o.Revision
			w.log.Error("invalid configuration ignored, the previous one stays in force", "revision", o.Revision, "error", err)
		}
		return false
	}
	if !w.view.setConfiguration(o.Revision, o.Spec, c) {
		return false
	}
	w.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "from", "store")
	return true
}
