package gateway

import (
	"context"
	"log/slog"
	"maps"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file turns the entries of upstreams, as listed and watched, into the view of the upstreams.

// instancesListed applies a list of all entries as of a revision, which is zero if the list may be stale.
func (w *watcher) instancesListed(objects []platform.Object, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]instances.Instance, 0, len(objects))
	for _, o := range objects {
		if inst, ok := w.decode(o); ok {
			list = append(list, inst)
		}
	}
	if revision == 0 {
		revision = newestRevision(list)
	}
	w.tracker.List(w.now(), list, revision)
	w.tracker.ExpireAbsent(w.now())
	w.publish()
}

// newestRevision returns the highest revision of the instances.
func newestRevision(list []instances.Instance) uint64 {
	newest := uint64(0)
	for i := range list {
		newest = max(newest, list[i].Revision)
	}
	return newest
}

// instancesChanged applies changed and removed entries. The revision is the one up to which they are complete.
func (w *watcher) instancesChanged(changes []platform.Object, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range changes {
		if o.Removed {
			w.log.Info("upstream entry removed", "upstream", o.Name)
			w.tracker.Remove(w.now(), o.Name, o.Revision)
			continue
		}
		inst, ok := w.decode(o)
		if !ok {
			w.tracker.Remove(w.now(), o.Name, o.Revision)
			continue
		}
		w.log.Info("upstream entry changed", "upstream", inst.ID, "service", inst.Service, "address", inst.Address, "leaving", inst.Leaving, "born_ms", inst.StartedMs)
		w.tracker.Put(inst)
	}
	w.tracker.AdvanceRevision(revision)
	w.tracker.ExpireAbsent(w.now())
	w.publish()
}

// publish passes the tracker's view to the rest of this process. Upstreams that an operator drains,
// and those that announce in their responses that they are leaving, are marked as leaving, like
// those whose entries contain that mark. The caller holds the lock.
func (w *watcher) publish() {
	v := w.tracker.View()
	var leaving []instances.Instance
	for id := range w.markedLeaving() {
		if inst := v.Get(id); inst != nil && !inst.Leaving {
			marked := *inst
			marked.Leaving = true
			leaving = append(leaving, marked)
		}
	}
	if len(leaving) > 0 {
		v = v.Apply(v.Revision, leaving, nil)
	}
	former := w.view.inst.Load()
	w.published = v.Version()
	if w.view.setInstances(w.published, v) {
		now := w.now()
		logLeaving(w.log, former, v, "from", "store", "confirmed_ms_ago", min(now.Sub(w.ages.confirmed(platform.InstancesKind)), maxReportedAge).Milliseconds(),
			"earliest_ms_ago", now.Sub(w.currency.EarliestChange(now)).Milliseconds())
	}
}

// maxLeavingLogged bounds the upstreams that one line names.
const maxLeavingLogged = 10

// logLeaving logs the upstreams that are leaving in the next view and were not in the former one.
func logLeaving(log *slog.Logger, former, next *instances.View, attrs ...any) {
	leaving := instances.NewlyLeaving(former, next)
	if len(leaving) == 0 {
		return
	}
	var ids []string
	var revision uint64
	for _, inst := range leaving {
		revision = max(revision, inst.Revision)
		if len(ids) < maxLeavingLogged {
			ids = append(ids, inst.ID)
		}
	}
	log.Info("upstreams are leaving", append([]any{"upstreams", ids, "count", len(leaving), "revision", revision}, attrs...)...)
}

// markedLeaving returns the upstreams that operators drain or that have announced that they are
// leaving.
func (w *watcher) markedLeaving() map[string]bool {
	marked := w.drained()
	maps.Copy(marked, w.announcedLeaving())
	return marked
}

// leavingChanged reports whether the listed upstreams among those that are marked as leaving differ
// from those of its last call. The caller holds the lock.
func (w *watcher) leavingChanged() bool {
	v := w.view.inst.Load()
	if v == nil {
		return false
	}
	marked := w.markedLeaving()
	maps.DeleteFunc(marked, func(id string, _ bool) bool { return v.Get(id) == nil })
	changed := !maps.Equal(marked, w.leavingShown)
	w.leavingShown = marked
	return changed
}

// decode decodes one entry. An invalid entry describes no upstream: the upstream counts as removed
// until its entry is valid, and the invalid revision is counted and logged once.
func (w *watcher) decode(o platform.Object) (instances.Instance, bool) {
	inst, err := platform.DecodeInstance(o)
	if err == nil && !instances.PlausibleStart(inst.StartedMs, w.now()) {
		err = errStartInFuture
	}
	if err == nil {
		return inst, true
	}
	if w.badEntries[o.Name] != o.Revision {
		w.badEntries[o.Name] = o.Revision
		w.meters.inc(fillPattern(upstreamsInvalid, sourceEntry))
		w.log.Error("invalid upstream entry ignored", "upstream", o.Name, "error", err)
	}
	return instances.Instance{}, false
}

// listDue reports whether the upstreams must be listed again, because this gateway leads and another one has
// upstreams of a later revision: it listed them itself while it had no contact with a leader. It accepts no
// older ones from this gateway, also if only an operator or a response has marked an upstream since.
func (w *watcher) listDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := max(w.adoptRevision(), w.reportedRevision())
	if !w.leading() || newest <= max(w.tracker.Revision(), w.listedFor) {
		return false
	}
	w.listedFor = newest
	w.log.Info("listing upstreams again, other gateways have later ones", "revision", w.tracker.Revision(), "their_revision", newest)
	return true
}

// adoptRevision returns the revision of the view in force. If the view is the one that was published last,
// other gateways may have confirmed it up to a later revision, which the tracker then has too. The caller
// holds the lock.
func (w *watcher) adoptRevision() uint64 {
	revision, version := w.view.upstreamsVersion()
	if version == w.published {
		w.tracker.AdvanceRevision(revision)
	}
	return revision
}

// settle marks upstreams whose entries stay missing as leaving.
func (w *watcher) settle(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, settleInterval)
		w.ages.check()
		w.mu.Lock()
		if settled, leaving := w.tracker.ExpireAbsent(w.now()), w.leavingChanged(); settled || leaving {
			w.publish()
		}
		w.mu.Unlock()
	}
}

// storeRecovered informs the watcher that the store is reachable again after an outage.
func (w *watcher) storeRecovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tracker != nil {
		w.tracker.StoreReconnected(w.now())
	}
}
