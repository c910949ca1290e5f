package gateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
)

// This file brings evacuations of failure domains from the store to all gateways. Whoever
// tells what, a gateway keeps the newest of each domain; so it makes no difference by which
// way and in which order it hears.

// evacuations takes over what is told of evacuations, for concurrent use.
type evacuations struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu sync.Mutex
	// since is when this gateway heard that a failure domain is evacuated.
	since map[string]time.Time
}

func newEvacuations(v *view, now func() time.Time, log *slog.Logger, m *meters) *evacuations {
	return &evacuations{view: v, now: now, log: log, meters: m, since: make(map[string]time.Time)}
}

// take takes over what is newer, and logs which failure domains have changed. from tells in
// the log who said it.
func (e *evacuations) take(marks []evacuation.Record, from string) {
	before := e.view.evac.Load()
	if before.Covers(marks) {
		return
	}
	changed, dropped := e.view.mergeEvacuations(marks)
	if dropped > 0 {
		e.meters.add(evacuationsUnsound, dropped)
	}
	if !changed {
		return
	}
	e.note(before, e.view.evac.Load(), from)
}

// note notes and logs which failure domains have changed.
func (e *evacuations) note(before, now *evacuation.Set, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range now.Records() {
		switch active := !m.Ended; {
		case active && !before.Active(m.Domain):
			e.since[m.Domain] = e.now()
			e.log.Info("failure domain evacuated", "domain", m.Domain, "revision", m.Revision, "from", from)
		case !active && before.Active(m.Domain):
			delete(e.since, m.Domain)
			e.log.Info("evacuation ended", "domain", m.Domain, "revision", m.Revision, "from", from)
		}
	}
}

// knownFor returns how long this gateway has known that the failure domain is evacuated.
func (e *evacuations) knownFor(domain string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.since[domain]
	if !ok {
		return 0
	}
	return e.now().Sub(since)
}

// told takes over what another gateway tells.
func (e *evacuations) told(list []*syncpb.Evacuation) { e.take(evacuationMarks(list), "gateway") }

// listed takes over all entries of the store, as of a revision.
func (e *evacuations) listed(objects []platform.Object, at uint64) {
	e.take(e.view.evac.Load().RecordsOfList(decodeEvacuations(objects), at), "store")
}

// changed takes over entries of the store that have changed.
func (e *evacuations) changed(objects []platform.Object, _ uint64) {
	e.take(decodeEvacuations(objects), "store")
}

func decodeEvacuations(objects []platform.Object) []evacuation.Record {
	out := make([]evacuation.Record, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.DecodeEvacuation(o))
	}
	return out
}
