package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
	"github.com/rockcroft/rockcroft/state/spans"
)

// Size is how large a deployment is.
type Size struct{ Gateways, Upstreams, Steps int }

const (
	// readyWait bounds the start of all gateways, healWait the time until every key
	// is served after all faults have ended: grants of ten seconds, the lease and a
	// stop lie within it. They end a run that hangs; no promise is that long.
	readyWait = time.Minute
	healWait  = time.Minute
	// keyStride is the distance between the keys that are asked for at the end.
	keyStride = 3121
)

// Run plays a plan against gateways that the script starts, and returns what was seen.
func Run(ctx context.Context, dir string, size Size, plan Plan, progress io.Writer) (*Report, error) {
	s, err := newSite(dir, size)
	if err != nil {
		return nil, err
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	w := newWatcher(s)
	if !until(readyWait, func() bool { return w.allReady(ctx) }) {
		return nil, fmt.Errorf("the gateways were not ready within %s; their logs are in %s", readyWait, dir)
	}
	w.began = time.Now()
	callers, stop := w.startCallers(ctx)
	events, err := w.play(plan, progress)
	s.heal()
	if !until(healWait, func() bool { return w.allServed(ctx) }) {
		w.violate("not every key was served within %s after the last fault", healWait)
	}
	if !until(healWait, func() bool { return w.allConfigured(ctx) }) {
		w.violate("configuration %d was not in force everywhere within %s after the last fault", s.configured(), healWait)
	}
	stop()
	callers.Wait()
	w.checkRefused()
	for _, u := range s.ever {
		for _, v := range w.asks.broken(u) {
			w.violate("%s", v)
		}
	}
	for _, v := range s.harms.tooMany() {
		w.violate("%s", v)
	}
	err = errors.Join(append(s.restartErrs, err)...)
	return w.report(plan, size, events), err
}

// until waits for a condition, at most for the limit.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPause) {
		if condition() {
			return true
		}
	}
	return false
}

func (w *watcher) startCallers(ctx context.Context) (*sync.WaitGroup, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() { w.call(ctx, n) })
	}
	all.Go(func() { w.watchVersions(ctx) })
	return &all, stop
}

// play carries the steps out, which overlap, and waits for the last one's end.
func (w *watcher) play(plan Plan, progress io.Writer) ([]Event, error) {
	var events []Event
	var errs []error
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, step := range plan.Steps {
		time.Sleep(step.After)
		at := time.Since(w.began)
		events = append(events, Event{At: at, What: step.String()})
		if _, err := fmt.Fprintf(progress, "%6.1f s  %2d/%d  %s\n", at.Seconds(), i+1, len(plan.Steps), step); err != nil {
			return events, err
		}
		all.Go(func() {
			err := w.site.apply(step)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	all.Wait()
	return events, errors.Join(errs...)
}

// heal ends all faults.
func (s *site) heal() {
	s.store.SetAllModes(metastore.Healthy)
	for _, g := range s.gateways {
		g.relay.SetFault(relay.None)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.relay.SetFault(relay.None)
		u.SetMode(instance.Healthy)
	}
}

func (w *watcher) allReady(ctx context.Context) bool {
	for _, g := range w.site.gateways {
		if !g.isReady(ctx) {
			return false
		}
	}
	return w.allServed(ctx)
}

// allServed reports whether keys all over the space and requests without one are
// served.
func (w *watcher) allServed(ctx context.Context) bool {
	for i := 0; i*keyStride <= spans.MaxKey; i++ {
		g := pick(w.site.gateways, i)
		if w.ask(ctx, g, false, i*keyStride) != served || w.ask(ctx, g, true, 0) != served {
			return false
		}
	}
	return true
}

// allConfigured reports whether the newest configuration is in force at all gateways.
func (w *watcher) allConfigured(ctx context.Context) bool {
	for _, g := range w.site.gateways {
		if version, ok := w.versionOf(ctx, g); !ok || version != w.site.configured() {
			return false
		}
	}
	return true
}
