package gateway

import (
	"log/slog"

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
	log    *slog.Logger
	meters *meters
}

// take takes over what is newer, and logs which failure domains have changed. from tells in
// the log who said it.
func (e *evacuations) take(marks []evacuation.Mark, from string) {
	before := e.view.evac.Load()
	if before.Covers(marks) {
		return
	}
	changed, dropped := e.view.takeEvacuations(marks)
	if dropped > 0 {
		e.meters.add(evacuationsUnsound, dropped)
	}
	if !changed {
		return
	}
	now := e.view.evac.Load()
	for _, m := range now.Marks() {
		switch active := !m.Ended; {
		case active && !before.Active(m.Domain):
			e.log.Info("failure domain evacuated", "domain", m.Domain, "revision", m.Revision, "from", from)
		case !active && before.Active(m.Domain):
			e.log.Info("evacuation ended", "domain", m.Domain, "revision", m.Revision, "from", from)
		}
	}
}

// told takes over what another gateway tells.
func (e *evacuations) told(list []*syncpb.Evacuation) { e.take(evacuationMarks(list), "gateway") }

// listed takes over all entries of the store, as of a revision.
func (e *evacuations) listed(objects []platform.Object, at uint64) {
	e.take(e.view.evac.Load().Listed(decodeEvacuations(objects), at), "store")
}

// changed takes over entries of the store that have changed.
func (e *evacuations) changed(objects []platform.Object, _ uint64) {
	e.take(decodeEvacuations(objects), "store")
}

func decodeEvacuations(objects []platform.Object) []evacuation.Mark {
	out := make([]evacuation.Mark, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.DecodeEvacuation(o))
	}
	return out
}
