package instances

import "time"

const (
	// lapseGrace is how long after the store's return entries that are missing
	// are waited for: those that lapsed while it was away are back by then.
	reconnectGrace = 2 * time.Second
	// keepGone is how long an upstream whose entry is gone is kept as leaving,
	// so that it can still hand its keys over.
	removedRetention = 15 * time.Second
)

// Tracker follows the entries of upstreams in the store. It is not safe for
// concurrent use.
type Tracker struct {
	revision uint64
	known    map[string]Instance
	// missing are upstreams without an entry: since when, and until when the
	// entry may come back.
	unregistered map[string]absence
	// returned is when the store was last reached again after an outage.
	reconnectedAt time.Time
	sequence      uint64
	// last is the view returned last.
	lastView *View
}

type absence struct {
	since    time.Time
	graceEnd time.Time
}

// NewTracker returns a tracker that knows what the view shows. Trackers of
// different processes are given different salts, so that their versions differ.
func NewTracker(v *View, now time.Time, salt uint64) *Tracker {
	t := &Tracker{sequence: salt, lastView: &View{}, known: make(map[string]Instance), unregistered: make(map[string]absence)}
	if v == nil {
		return t
	}
	t.revision = v.Revision
	for _, one := range v.All() {
		t.known[one.ID] = one
		if one.Leaving {
			t.unregistered[one.ID] = absence{since: now, graceEnd: now}
		}
	}
	return t
}

// Returned notes that the store is reached again after an outage.
func (t *Tracker) StoreReconnected(now time.Time) { t.reconnectedAt = now }

// List takes over the whole list of entries. The view is as new as its newest entry and
// not as the store when it listed: a process that has watched the same entries has not
// heard of the store's other changes, and its view must not look older.
func (t *Tracker) List(now time.Time, list []Instance) {
	for _, one := range list {
		t.revision = max(t.revision, one.Revision)
	}
	listed := make(map[string]bool, len(list))
	for _, one := range list {
		listed[one.ID] = true
		t.put(one)
	}
	for id := range t.known {
		if !listed[id] {
			t.remove(now, id)
		}
	}
}

// Put takes over one entry that was added or changed.
func (t *Tracker) Put(one Instance) { t.put(one) }

// put takes over an entry. One of an earlier start than the known one came late.
func (t *Tracker) put(one Instance) {
	if one.StartedMs < t.known[one.ID].StartedMs {
		return
	}
	t.known[one.ID] = one
	delete(t.unregistered, one.ID)
}

// Remove notes that the entry of an upstream has gone.
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

// Advance notes the revision up to which changes are known.
func (t *Tracker) AdvanceRevision(revision uint64) { t.revision = max(t.revision, revision) }

// Settle turns missing upstreams into leaving ones when their time is over,
// forgets those that are long gone, and reports whether anything changed.
func (t *Tracker) ExpireAbsent(now time.Time) bool {
	changed := false
	for id, m := range t.unregistered {
		one := t.known[id]
		switch {
		case now.Sub(m.since) > removedRetention:
			delete(t.known, id)
			delete(t.unregistered, id)
			changed = true
		case !one.Leaving && !now.Before(m.graceEnd):
			one.Leaving = true
			t.known[id] = one
			changed = true
		}
	}
	return changed
}

// View returns the present view and a version that differs from former ones of
// the same revision.
func (t *Tracker) View() (*View, uint64) {
	list := make([]Instance, 0, len(t.known))
	for _, one := range t.known {
		list = append(list, one)
	}
	t.sequence++
	t.lastView = t.lastView.next(t.revision, list)
	return t.lastView, t.revision<<sequenceBits | t.sequence%(1<<sequenceBits)
}

// versionBits are the bits of a version that tell views of one revision apart.
const sequenceBits = 16
