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

// Size is the size of a deployment and the number of random steps of its plan. Its field
// names are part of the report's JSON.
type Size struct{ Gateways, Upstreams, Steps int }

const (
	// readyTimeout limits the start of all gateways. recoveryTimeout limits the time until
	// every key is served after all faults have ended; it is longer than grants of ten
	// seconds, the lease and a graceful stop together. Both only end a run that hangs:
	// gateways guarantee shorter times.
	readyTimeout    = time.Minute
	recoveryTimeout = time.Minute
	// keyStride is the distance between the keys that are requested at the start and at
	// the end of a run.
	keyStride = 3121
)

// Run injects the faults of a plan into a deployment whose gateways the script starts, and
// returns the report.
func Run(ctx context.Context, dir string, size Size, plan Plan, progress io.Writer) (*Report, error) {
	d, err := newDeployment(dir, size)
	if err != nil {
		return nil, err
	}
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	m := newMonitor(d)
	if !waitFor(readyTimeout, func() bool { return m.allReady(ctx) }) {
		return nil, fmt.Errorf("the gateways were not ready within %s; their logs are in %s", readyTimeout, dir)
	}
	m.startedAt = time.Now()
	callers, stop := m.startCallers(ctx)
	events, err := m.runSteps(plan, progress)
	d.endFaults()
	if !waitFor(recoveryTimeout, func() bool { return m.allServed(ctx) }) {
		m.addViolation("not every key was served within %s after the last fault", recoveryTimeout)
	}
	if !waitFor(recoveryTimeout, func() bool { return m.allConfigured(ctx) }) {
		m.addViolation("configuration %d was not in force everywhere within %s after the last fault", d.configurationVersion(), recoveryTimeout)
	}
	stop()
	callers.Wait()
	for _, v := range m.promises.broken(d.oracle) {
		m.addViolation("%s", v)
	}
	for _, u := range d.allUpstreams {
		for _, v := range m.requests.violations(u, &d.storeFaults) {
			m.addViolation("%s", v)
		}
	}
	for _, c := range d.cuts {
		for _, v := range c.violations(m.requests, &d.storeFaults) {
			m.addViolation("%s", v)
		}
	}
	for _, v := range d.harmfulRequests.undetected() {
		m.addViolation("%s", v)
	}
	err = errors.Join(append(d.restartErrs, err)...)
	return m.report(plan, size, events), err
}

// waitFor waits until a condition holds and reports whether it did so before the timeout.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// startCallers starts the callers and the check of configuration versions. The returned
// function stops them.
func (m *monitor) startCallers(ctx context.Context) (*sync.WaitGroup, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for n := range callerCount {
		all.Go(func() { m.runCaller(ctx, n, statusRequest, statusRequest, payRequest) })
	}
	for n := range bookerCount {
		all.Go(func() { m.runCaller(ctx, callerCount+n, bookRequest) })
	}
	all.Go(func() { m.runUploader(ctx) })
	all.Go(func() { m.checkVersions(ctx) })
	all.Go(func() { m.checkMemory(ctx) })
	return &all, stop
}

// runSteps starts the steps at their times, which may overlap, and waits until all have
// ended.
func (m *monitor) runSteps(plan Plan, progress io.Writer) ([]Event, error) {
	var events []Event
	var errs []error
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, step := range plan.Steps {
		time.Sleep(step.Delay)
		at := time.Since(m.startedAt)
		events = append(events, Event{At: at, Description: step.String()})
		if _, err := fmt.Fprintf(progress, "%6.1f s  %2d/%d  %s\n", at.Seconds(), i+1, len(plan.Steps), step); err != nil {
			return events, err
		}
		all.Go(func() {
			err := m.deployment.apply(step)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	all.Wait()
	return events, errors.Join(errs...)
}

// endFaults ends all faults of the store, the relays and the upstreams.
func (d *deployment) endFaults() {
	d.store.SetAllModes(metastore.Healthy)
	for _, g := range d.gateways {
		g.relay.SetFault(relay.None)
	}
	d.changeResponseFaults(func(f *instance.ResponseFaults) { *f = instance.ResponseFaults{} })
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		u.relay.SetFault(relay.None)
		u.SetMode(instance.Healthy)
	}
}

// allReady reports whether all gateways are ready and serve requests.
func (m *monitor) allReady(ctx context.Context) bool {
	for _, g := range m.deployment.gateways {
		if !g.isReady(ctx) {
			return false
		}
	}
	return m.allServed(ctx)
}

// allServed reports whether requests for keys across the whole key space, and requests
// without a key, are served.
func (m *monitor) allServed(ctx context.Context) bool {
	for i := 0; i*keyStride <= spans.MaxKey; i++ {
		g := pick(m.deployment.gateways, i)
		if m.sendRequest(ctx, g, statusRequest, i*keyStride) != served || m.sendRequest(ctx, g, payRequest, 0) != served {
			return false
		}
	}
	return true
}

// allConfigured reports whether the newest configuration is in force at all gateways.
func (m *monitor) allConfigured(ctx context.Context) bool {
	for _, g := range m.deployment.gateways {
		if version, ok := m.gatewayVersion(ctx, g); !ok || version != m.deployment.configurationVersion() {
			return false
		}
	}
	return true
}
