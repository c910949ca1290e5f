package gateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
)

// This file distributes evacuations of failure domains from the store to all gateways. A gateway
// keeps the newest mark of each domain, whoever sent it, so the path and the order in which marks
// arrive do not matter.

// evacuations applies the evacuation marks that this gateway receives. It is safe for concurrent
// use.
type evacuations struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu sync.Mutex
	// since holds when this gateway learned that a failure domain is evacuated.
	since map[string]time.Time
}

func newEvacuations(v *view, now func() time.Time, log *slog.Logger, m *meters) *evacuations {
	return &evacuations{view: v, now: now, log: log, meters: m, since: make(map[string]time.Time)}
}

// apply applies the marks that are newer than the known ones, and logs which failure domains have
// changed. from names the source in the log.
func (e *evacuations) apply(marks []evacuation.Record, from string) {
	before := e.view.evac.Load()
	if before.Covers(marks) {
		return
	}
	changed, dropped := e.view.mergeEvacuations(marks)
	if dropped > 0 {
		e.meters.add(evacuationsInvalid, dropped)
	}
	if !changed {
		return
	}
	e.recordChanges(before, e.view.evac.Load(), from)
}

// recordChanges records and logs which failure domains have changed.
func (e *evacuations) recordChanges(before, now *evacuation.Set, from string) {
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

// applyFromPeer applies marks that another gateway sent.
func (e *evacuations) applyFromPeer(list []*syncpb.Evacuation) {
	e.apply(evacuationMarks(list), "gateway")
}

// applyList applies a list of all entries in the store, as of a revision.
func (e *evacuations) applyList(objects []platform.Object, at uint64) {
	e.apply(e.view.evac.Load().RecordsOfList(decodeEvacuations(objects), at), "store")
}

// applyChanges applies entries of the store that have changed.
func (e *evacuations) applyChanges(objects []platform.Object, _ uint64) {
	e.apply(decodeEvacuations(objects), "store")
}

func decodeEvacuations(objects []platform.Object) []evacuation.Record {
	out := make([]evacuation.Record, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.DecodeEvacuation(o))
	}
	return out
}
