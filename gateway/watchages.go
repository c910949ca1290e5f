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

// This file tells how old what the store said last is, by kind of objects. That the store can be
// reached by other calls tells nothing of a watch.

// watchSilent is how long a watch hears nothing before that is logged: longer than one that ends
// without changes, and shorter than the time within which changes are to be in force.
const watchSilent = 1500 * time.Millisecond

// watchAges keeps when the store last answered a list or a watch, for concurrent use.
type watchAges struct {
	now func() time.Time
	log *slog.Logger

	mu    sync.Mutex
	heard map[string]time.Time
	// watched is since when this gateway watches a kind; those that it does not are not listed.
	watched map[string]time.Time
	silent  map[string]bool
}

func newWatchAges(now func() time.Time, log *slog.Logger) *watchAges {
	return &watchAges{now: now, log: log, heard: make(map[string]time.Time), watched: make(map[string]time.Time), silent: make(map[string]bool)}
}

// begin and end note from when until when a kind is watched.
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

// note notes an answer of the store to a list or a watch.
func (a *watchAges) note(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent[kind] {
		a.log.Info("watch hears again", "kind", kind, "heard_ms_ago", a.now().Sub(a.since(kind)).Milliseconds())
		delete(a.silent, kind)
	}
	a.heard[kind] = a.now()
}

// since returns from when on nothing was heard of a kind that is watched. The lock is held.
func (a *watchAges) since(kind string) time.Time { return laterOf(a.heard[kind], a.watched[kind]) }

// check logs the kinds whose watches have come to hear nothing.
func (a *watchAges) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for kind := range a.watched {
		age := a.now().Sub(a.since(kind))
		if age < watchSilent || a.silent[kind] {
			continue
		}
		a.silent[kind] = true
		a.log.Warn("watch hears nothing", "kind", kind, "heard_ms_ago", age.Milliseconds())
	}
}

// of returns when the store last answered for a kind, zero if it never did.
func (a *watchAges) of(kind string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heard[kind]
}

// last returns when the store last answered for any kind.
func (a *watchAges) last() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last time.Time
	for _, at := range a.heard {
		last = laterOf(last, at)
	}
	return last
}

// all returns how long ago the store last answered, by kind.
func (a *watchAges) all() map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]time.Duration, len(a.heard))
	for kind, at := range a.heard {
		out[kind] = a.now().Sub(at)
	}
	return out
}

// state returns what operators are shown, in the order of kinds.
func (a *watchAges) state() []*placementpb.WatchState {
	ages := a.all()
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

// configurationHeard returns when the store last answered a list or a watch of the
// configuration.
func (w *watcher) configurationHeard() time.Time { return w.ages.of(platform.ConfigKind) }

// Watches implements placementpb.Placement: what the gateway that is asked has heard itself.
func (p *placements) Watches(context.Context, *placementpb.WatchesRequest) (*placementpb.WatchesState, error) {
	return &placementpb.WatchesState{Watches: p.watches.state()}, nil
}
