package instances

import "time"

const (
	// reconnectGrace is how long after the store is reachable again missing entries are still
	// considered registered. Upstreams whose entries expired during the outage have registered
	// again by then.
	reconnectGrace = 2 * time.Second
	// removedRetention is how long an upstream whose entry was removed is kept as leaving, so that
	// it can still hand over its keys.
	removedRetention = 15 * time.Second
)

// Tracker tracks the entries of upstreams in the store. It is not safe for concurrent use.
type Tracker struct {
	revision uint64
	known    map[string]Instance
	// unregistered holds the known upstreams that have no entry.
	unregistered map[string]absence
	// reconnectedAt is when the store was last reachable again after an outage.
	reconnectedAt time.Time
	// lastView is the view that was returned last; changed are the upstreams that may differ from it.
	lastView *View
	changed  map[string]bool
}

type absence struct {
	since    time.Time
	graceEnd time.Time
}

// NewTracker returns a tracker that starts from the given view, which may be nil.
func NewTracker(v *View, now time.Time) *Tracker {
	t := &Tracker{lastView: &View{}, changed: make(map[string]bool), known: make(map[string]Instance), unregistered: make(map[string]absence)}
	if v == nil {
		return t
	}
	t.revision = v.Revision
	for instance := range v.All() {
		t.known[instance.ID] = *instance
		t.changed[instance.ID] = true
		if instance.Leaving {
			t.unregistered[instance.ID] = absence{since: now, graceEnd: now}
		}
	}
	return t
}

// StoreReconnected records that the store is reachable again after an outage.
func (t *Tracker) StoreReconnected(now time.Time) { t.reconnectedAt = now }

// List replaces all entries that are not newer than the given revision by a list that was complete at that
// revision. The view then has at least that revision: no entry tells that another one has been removed.
func (t *Tracker) List(now time.Time, list []Instance, revision uint64) {
	t.AdvanceRevision(revision)
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		t.put(instance)
	}
	for id, known := range t.known {
		if !listed[id] && known.Revision <= revision {
			t.remove(now, id)
		}
	}
}

// Put records one entry that was added or changed.
func (t *Tracker) Put(instance Instance) { t.put(instance) }

// put records an entry. An entry of an earlier start than the known one was delayed and is ignored, and so
// is an older entry, which a watch from the first page of a list can bring.
func (t *Tracker) put(instance Instance) {
	if known := t.known[instance.ID]; instance.StartedMs < known.StartedMs || instance.Revision < known.Revision {
		return
	}
	t.known[instance.ID] = instance
	t.changed[instance.ID] = true
	delete(t.unregistered, instance.ID)
}

// Remove records that the entry of an upstream was removed. revision is that of the removal or of the entry's
// last change; a newer entry of the upstream stays.
func (t *Tracker) Remove(now time.Time, id string, revision uint64) {
	if t.known[id].Revision <= revision {
		t.remove(now, id)
	}
}

func (t *Tracker) remove(now time.Time, id string) {
	if _, ok := t.known[id]; !ok {
		return
	}
	if _, ok := t.unregistered[id]; ok {
		return
	}
	t.unregistered[id] = absence{since: now, graceEnd: latest(now, t.reconnectedAt.Add(reconnectGrace))}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Revision returns the revision up to which changes are known.
func (t *Tracker) Revision() uint64 { return t.revision }

// AdvanceRevision records the revision up to which changes are known.
func (t *Tracker) AdvanceRevision(revision uint64) { t.revision = max(t.revision, revision) }

// ExpireAbsent marks unregistered upstreams as leaving once their grace period is over, forgets
// those whose retention has passed, and reports whether anything changed.
func (t *Tracker) ExpireAbsent(now time.Time) bool {
	changed := false
	for id, a := range t.unregistered {
		instance := t.known[id]
		switch {
		case now.Sub(a.since) > removedRetention:
			delete(t.known, id)
			delete(t.unregistered, id)
			t.changed[id] = true
			changed = true
		case !instance.Leaving && !now.Before(a.graceEnd):
			instance.Leaving = true
			t.known[id] = instance
			t.changed[id] = true
			changed = true
		}
	}
	return changed
}

// View returns the current view.
func (t *Tracker) View() *View {
	var changed []Instance
	var removed []string
	for id := range t.changed {
		if instance, known := t.known[id]; known {
			changed = append(changed, instance)
		} else {
			removed = append(removed, id)
		}
	}
	clear(t.changed)
	t.lastView = t.lastView.Apply(t.revision, changed, removed)
	return t.lastView
}
