package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// This file tracks how long ago the store last answered a list or a watch, by kind of object. Other
// calls may succeed while a watch is silent.

// watchSilenceThreshold is how long a watch may receive nothing before that is logged. It is longer
// than a watch that ends without changes and shorter than the time within which changes must be in
// force.
const watchSilenceThreshold = 1500 * time.Millisecond

// watchAges records when the store last answered a list or a watch. It is safe for concurrent use.
type watchAges struct {
	now func() time.Time
	log *slog.Logger

	mu         sync.Mutex
	lastAnswer map[string]time.Time
	// confirmedAt holds, for each kind, when the list or watch was started whose answer was applied
	// last: everything that had changed by then is in the view.
	confirmedAt map[string]time.Time
	// watched holds since when this gateway has watched each kind; kinds that it does not watch are
	// absent.
	watched map[string]time.Time
	silent  map[string]bool
}

func newWatchAges(now func() time.Time, log *slog.Logger) *watchAges {
	return &watchAges{now: now, log: log, lastAnswer: make(map[string]time.Time), confirmedAt: make(map[string]time.Time), watched: make(map[string]time.Time), silent: make(map[string]bool)}
}

// begin and end record when watching a kind starts and ends.
func (a *watchAges) begin(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watched[kind] = a.now()
}

func (a *watchAges) end(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.watched, kind)
	delete(a.silent, kind)
}

// recordAnswer records a response of the store to a list or a watch.
func (a *watchAges) recordAnswer(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent[kind] {
		a.log.Info("watch resumed", "kind", kind, "heard_ms_ago", a.now().Sub(a.silentSince(kind)).Milliseconds())
		delete(a.silent, kind)
	}
	a.lastAnswer[kind] = a.now()
}

// recordApplied records that the answer to a list or a watch which was started at the given time has
// been applied.
func (a *watchAges) recordApplied(kind string, started time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmedAt[kind] = laterOf(a.confirmedAt[kind], started)
}

// confirmed returns until when the view of a kind is known to be complete, or zero.
func (a *watchAges) confirmed(kind string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmedAt[kind]
}

// silentSince returns the time since which nothing has been received for a watched kind. The caller
// holds the lock.
func (a *watchAges) silentSince(kind string) time.Time {
	return laterOf(a.lastAnswer[kind], a.watched[kind])
}

// check logs the kinds whose watches have become silent.
func (a *watchAges) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for kind := range a.watched {
		age := a.now().Sub(a.silentSince(kind))
		if age < watchSilenceThreshold || a.silent[kind] {
			continue
		}
		a.silent[kind] = true
		a.log.Warn("watch silent", "kind", kind, "heard_ms_ago", age.Milliseconds())
	}
}

// lastHeard returns when the store last answered for a kind, or zero if it never did.
func (a *watchAges) lastHeard(kind string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAnswer[kind]
}

// lastHeardAny returns when the store last answered for any kind.
func (a *watchAges) lastHeardAny() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last time.Time
	for _, at := range a.lastAnswer {
		last = laterOf(last, at)
	}
	return last
}

// agesByKind returns how long ago the store last answered, by kind.
func (a *watchAges) agesByKind() map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]time.Duration, len(a.lastAnswer))
	for kind, at := range a.lastAnswer {
		out[kind] = a.now().Sub(at)
	}
	return out
}

// state returns the state reported to operators, sorted by kind.
func (a *watchAges) state() []*placementpb.WatchState {
	ages := a.agesByKind()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*placementpb.WatchState
	for _, kind := range slices.Sorted(maps.Keys(ages)) {
		_, watched := a.watched[kind]
		out = append(out, &placementpb.WatchState{
			Kind: kind, HeardMs: uint64(ages[kind].Milliseconds()), Watched: watched, Silent: a.silent[kind],
		})
	}
	return out
}

// configurationFreshness returns until when this gateway's own lists and watches show the configuration
// in force to have been the newest.
func (w *watcher) configurationFreshness() freshness {
	return freshness{heardAt: w.ages.lastHeard(platform.ConfigKind), confirmedAt: w.ages.confirmed(platform.ConfigKind)}
}

// Watches implements placementpb.Placement. It reports what the asked gateway has received from the
// store itself.
func (p *placements) Watches(context.Context, *placementpb.WatchesRequest) (*placementpb.WatchesState, error) {
	return &placementpb.WatchesState{Watches: p.watches.state()}, nil
}
