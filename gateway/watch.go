package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/transport/pool"
)

const (
	// watchWait is how long one watch waits for changes. Around a compaction a
	// watch hears nothing and only the next one is told so, and a path may fall
	// silent: changes are to be in force within two seconds all the same.
	watchWait = 1200 * time.Millisecond
	// leastWatch keeps watches apart that end at once without changes, as the way failed on which
	// they were to wait.
	leastWatch = 100 * time.Millisecond
	// joinConfiguration and joinInstances are how long changes are collected before
	// the next watch. Upstreams come and go by the dozen; the time of one that leaves
	// is two seconds and more.
	joinConfiguration = 100 * time.Millisecond
	joinInstances     = 250 * time.Millisecond
	// joinEvacuations is short: evacuations are rare, and each is to be in force everywhere
	// within a second.
	joinEvacuations = 20 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// settleInterval is the time between looks at upstreams that are missing.
	settleInterval = 100 * time.Millisecond
)

// watcher keeps the view up to date from the platform's store, while it is
// wanted: in the leader, and in a gateway that hears from no leader.
type watcher struct {
	store *platform.Store
	view  *view
	evac  *evacuations
	now   func() time.Time
	log   *slog.Logger
	// draining reports whether an operator wants an upstream to be left alone.
	draining func(upstream string) bool
	// toldLeaving returns the upstreams that have told a gateway that they leave.
	toldLeaving func() map[string]bool
	// drained are the upstreams for which either was so in the last view.
	drained map[string]bool
	// salt tells versions of this process's view from those of others.
	salt uint64

	mu      sync.Mutex
	tracker *instances.Tracker
	// badVersion is the revision of a configuration that cannot be read.
	badVersion uint64
	badEntries map[string]uint64
	meters     *meters
	// compacted is closed when one watch learns that history is gone, which
	// concerns the others as well.
	compacted chan struct{}
	// ages tells how old what the store said last is.
	ages *watchAges
}

func newWatcher(store *platform.Store, v *view, evac *evacuations, now func() time.Time, log *slog.Logger, m *meters, salt uint64) *watcher {
	return &watcher{
		drained: make(map[string]bool), salt: salt, store: store, view: v, evac: evac, now: now, log: log, meters: m,
		ages: newWatchAges(now, log), badEntries: make(map[string]uint64), compacted: make(chan struct{}), toldLeaving: func() map[string]bool { return nil },
	}
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	w.mu.Lock()
	w.tracker = instances.NewTracker(w.view.inst.Load(), w.now(), w.salt)
	w.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() {
		known := w.view.configuration().revision
		w.follow(ctx, platform.ConfigKind, known, joinConfiguration, w.listConfiguration, w.configurationEvents)
	})
	listed := make(chan struct{})
	var once sync.Once
	list := func(objects []platform.Object, at uint64) {
		w.evac.listed(objects, at)
		once.Do(func() { close(listed) })
	}
	all.Go(func() { w.follow(ctx, platform.EvacuationsKind, 0, joinEvacuations, list, w.evac.changed) })
	all.Go(func() {
		// No upstream is known before it is known which failure domains are evacuated.
		select {
		case <-listed:
		case <-ctx.Done():
			return
		}
		w.follow(ctx, platform.InstancesKind, 0, joinInstances, w.listInstances, w.instanceEvents)
	})
	all.Go(func() { w.settle(ctx) })
	all.Wait()
}

// follow watches a kind from a revision of which the view has everything. It lists the
// kind first if there is none, which is zero, and again when the history is gone or too
// much of it would have to be told.
func (w *watcher) follow(ctx context.Context, kind string, revision uint64, join time.Duration, list func([]platform.Object, uint64), events func([]platform.Object, uint64)) {
	w.ages.begin(kind)
	defer w.ages.end(kind)
	backoff := firstBackoff
	known, heard := revision > 0, false
	for ctx.Err() == nil {
		var err error
		if !known {
			var objects []platform.Object
			if objects, revision, err = w.store.List(ctx, kind); err == nil {
				known = true
				w.ages.note(kind)
				list(objects, revision)
			}
		} else {
			var changes []platform.Object
			var next uint64
			began := w.now()
			if changes, next, err = w.watch(ctx, kind, revision); err == nil {
				w.ages.note(kind)
			}
			if err == nil && len(changes) == 0 && w.now().Sub(began) < leastWatch {
				pause(ctx, leastWatch)
			}
			if len(changes) > 0 {
				revision = advance(revision, changes, next)
				events(changes, revision)
				pause(ctx, join)
			}
		}
		switch {
		case err == nil:
			backoff = firstBackoff
			heard = true
		case errors.Is(err, platform.ErrCompacted):
			w.log.Info("store history compacted, listing again", "kind", kind, "revision", revision)
			known = false
			if heard {
				// Else the revision that this watch began with was old, and tells nothing of
				// a compaction while the others watched.
				w.wake()
			}
		case known && tooMuch(err):
			w.log.Info("too many changes for one answer, listing again", "kind", kind, "revision", revision)
			known = false
		default:
			pause(ctx, backoff)
			backoff = min(2*backoff, longestBackoff)
		}
	}
}

// tooMuch reports whether a call failed for the size of its answer, which would be as
// large the next time.
func tooMuch(err error) bool {
	return errors.Is(err, errTooLong) || errors.Is(err, pool.ErrTooLarge)
}

// watch waits for changes, until another watch learns of a compaction.
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

// wake ends the watches under way.
func (w *watcher) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.compacted)
	w.compacted = make(chan struct{})
}

// advance returns the revision to watch from after changes were received. It
// is that of the last change and not the one the store names: a watch that hears
// nothing while changes are made names a revision beyond them. When the store
// has dropped that history it says so, and the kind is listed anew.
func advance(revision uint64, changes []platform.Object, named uint64) uint64 {
	last := uint64(0)
	for _, o := range changes {
		last = max(last, o.Revision)
	}
	if last > revision {
		return last
	}
	// A removal may bear the revision of the object's last change.
	return max(revision, named)
}

// pause sleeps until ctx ends at the latest.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *watcher) listConfiguration(objects []platform.Object, _ uint64) {
	for _, o := range objects {
		w.takeConfiguration(o)
	}
}

// configurationEvents takes the newest configuration of several that can be taken; those
// before it are not decoded.
func (w *watcher) configurationEvents(changes []platform.Object, _ uint64) {
	known := w.view.configuration().revision
	for _, o := range slices.Backward(changes) {
		if o.Removed || o.Name != platform.ConfigName {
			continue
		}
		if o.Revision <= known || w.takeConfiguration(o) {
			return
		}
	}
}

// takeConfiguration puts a configuration in force, and reports whether it is newer than
// the one that was.
func (w *watcher) takeConfiguration(o platform.Object) bool {
	if o.Name != platform.ConfigName {
		return false
	}
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		if w.badVersion != o.Revision {
			w.badVersion = o.Revision
			w.log.Error("configuration cannot be read, the last one stays in force", "revision", o.Revision, "error", err)
		}
		return false
	}
	if !w.view.setConfiguration(o.Revision, o.Spec, c) {
		return false
	}
	w.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "from", "store")
	return true
}

func (w *watcher) listInstances(objects []platform.Object, _ uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]instances.Instance, 0, len(objects))
	for _, o := range objects {
		if one, ok := w.decode(o); ok {
			list = append(list, one)
		}
	}
	w.tracker.List(w.now(), list)
	w.tracker.ExpireAbsent(w.now())
	w.publish()
}

func (w *watcher) instanceEvents(changes []platform.Object, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range changes {
		if o.Removed {
			w.log.Info("upstream entry gone", "upstream", o.Name)
			w.tracker.Remove(w.now(), o.Name)
			continue
		}
		one, ok := w.decode(o)
		if !ok {
			w.tracker.Remove(w.now(), o.Name)
			continue
		}
		w.log.Info("upstream entry", "upstream", one.ID, "service", one.Service, "address", one.Address, "leaving", one.Leaving, "born_ms", one.StartedMs)
		w.tracker.Put(one)
	}
	w.tracker.AdvanceRevision(revision)
	w.tracker.ExpireAbsent(w.now())
	w.publish()
}

// publish gives the tracker's view to this process. Upstreams that an operator
// drains, and those that say with their answers that they leave, are shown as leaving, as those
// whose entries say so. The lock is held.
func (w *watcher) publish() {
	v, version := w.tracker.View()
	told := w.toldLeaving()
	var drained []instances.Instance
	for _, one := range v.All() {
		if !one.Leaving && (told[one.ID] || w.draining(one.ID)) {
			one.Leaving = true
			drained = append(drained, one)
		}
	}
	if len(drained) > 0 {
		v = v.Apply(v.Revision, drained, nil)
	}
	w.view.setInstances(version, v)
}

// leaversChanged reports whether operators drain other upstreams than in the last view, or others
// have told that they leave. The lock is held.
func (w *watcher) leaversChanged() bool {
	changed := false
	v := w.view.inst.Load()
	if v == nil {
		return false
	}
	told := w.toldLeaving()
	for _, one := range v.All() {
		if now := told[one.ID] || w.draining(one.ID); now != w.drained[one.ID] {
			w.drained[one.ID] = now
			changed = true
		}
	}
	return changed
}

// decode reads one entry. One that is not sound names no upstream: it counts as gone
// until it is sound, and is counted and logged once.
func (w *watcher) decode(o platform.Object) (instances.Instance, bool) {
	one, err := platform.DecodeInstance(o)
	if err == nil && !instances.PlausibleStart(one.StartedMs, w.now()) {
		err = errStartInFuture
	}
	if err == nil {
		return one, true
	}
	if w.badEntries[o.Name] != o.Revision {
		w.badEntries[o.Name] = o.Revision
		w.meters.inc(fill(upstreamsUnsound, invalidEntry))
		w.log.Error("upstream entry is not sound, it names none", "upstream", o.Name, "error", err)
	}
	return instances.Instance{}, false
}

// settle turns upstreams whose entries stay away into leaving ones.
func (w *watcher) settle(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, settleInterval)
		w.ages.check()
		w.mu.Lock()
		if settled, drained := w.tracker.ExpireAbsent(w.now()), w.leaversChanged(); settled || drained {
			w.publish()
		}
		w.mu.Unlock()
	}
}

// returned tells the watcher that the store was away and is back.
func (w *watcher) returned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tracker != nil {
		w.tracker.StoreReconnected(w.now())
	}
}
