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
	sequence      uint64
	// lastView is the view that was returned last; changed are the upstreams that may differ from it.
	lastView *View
	changed  map[string]bool
}

type absence struct {
	since    time.Time
	graceEnd time.Time
}

// NewTracker returns a tracker that starts from the given view, which may be nil. Trackers in
// different processes must get different salts, so that their versions differ.
func NewTracker(v *View, now time.Time, salt uint64) *Tracker {
	t := &Tracker{sequence: salt, lastView: &View{}, changed: make(map[string]bool), known: make(map[string]Instance), unregistered: make(map[string]absence)}
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

// List replaces all entries by the given list. The revision of the view becomes that of the newest
// entry and not that of the store at the time of listing: a process that watches the same entries
// does not see the store's other changes, and its view must not look older.
func (t *Tracker) List(now time.Time, list []Instance) {
	for _, instance := range list {
		t.revision = max(t.revision, instance.Revision)
	}
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		t.put(instance)
	}
	for id := range t.known {
		if !listed[id] {
			t.remove(now, id)
		}
	}
}

// Put records one entry that was added or changed.
func (t *Tracker) Put(instance Instance) { t.put(instance) }

// put records an entry. An entry of an earlier start than the known one was delayed and is ignored.
func (t *Tracker) put(instance Instance) {
	if instance.StartedMs < t.known[instance.ID].StartedMs {
		return
	}
	t.known[instance.ID] = instance
	t.changed[instance.ID] = true
	delete(t.unregistered, instance.ID)
}

// Remove records that the entry of an upstream was removed.
func (t *Tracker) Remove(now time.Time, id string) { t.remove(now, id) }

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

// View returns the current view and a version that differs from the versions of earlier views of
// the same revision.
func (t *Tracker) View() (*View, uint64) {
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
	t.sequence++
	t.lastView = t.lastView.Apply(t.revision, changed, removed)
	return t.lastView, t.revision<<sequenceBits | t.sequence%(1<<sequenceBits)
}

// sequenceBits is the number of low bits of a version that distinguish views of the same revision.
const sequenceBits = 16
