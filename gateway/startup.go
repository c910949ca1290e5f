package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/routing"
)

// This file serves callers while this gateway has just started. When all gateways start at once, callers
// have no other gateway to go to: their requests wait for the configuration, the upstreams and the owners
// of keys instead of being refused.

// startup holds the requests that arrive before this gateway knows enough to send them.
type startup struct {
	view *view
	now  func() time.Time
	// startedAt is when this process started.
	startedAt time.Time
	// storeUnavailable reports whether the store has not answered for a while. What is still missing
	// then will not arrive in time for any request.
	storeUnavailable func() bool
	log              *slog.Logger
	meters           *meters
}

// logReady waits until this gateway is ready for the first time, and logs when each part of its view was
// known, in milliseconds since its start.
func (s *startup) logReady(ctx context.Context, ready func() bool) {
	var configuration, upstreams int64
	for {
		changed := s.view.nextChange()
		since := max(s.now().Sub(s.startedAt).Milliseconds(), 1)
		if configuration == 0 && s.view.table.Load() != nil {
			configuration = since
		}
		if upstreams == 0 && s.view.inst.Load() != nil {
			upstreams = since
		}
		if ready() {
			s.meters.gauge(startReady, since)
			s.log.Info("ready", "configuration_ms", configuration, "upstreams_ms", upstreams, "ready_ms", since,
				"waited", s.meters.counter(startWaited).Count(), "refused", s.meters.counter(startRefused).Count())
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// error returns the error for a request that cannot be sent because something is not known yet.
func (s *startup) error(kind answer.Kind, missing string) error {
	s.meters.inc(startRefused)
	err := answer.New(kind, "this gateway has no %s yet", missing)
	err.RetryAfter = patience.RetryAfterStart(s.now().Sub(s.startedAt))
	return err
}

// awaitKnown waits until a condition on the view holds. It returns false if that is not so at the given
// time or is not to be expected.
func (s *startup) awaitKnown(ctx context.Context, until time.Time, known func() bool) (bool, error) {
	var timer *time.Timer
	for {
		changed := s.view.nextChange()
		switch {
		case known():
			return true, nil
		case s.storeUnavailable():
			return false, nil
		case timer == nil:
			s.meters.inc(startWaited)
			timer = time.NewTimer(until.Sub(s.now()))
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
			return known(), nil
		case <-ctx.Done():
			return false, context.Cause(ctx)
		}
	}
}

// awaitConfiguration waits for the configuration. remaining is the time that the caller will wait for the
// response.
func (s *startup) awaitConfiguration(ctx context.Context, arrived time.Time, remaining time.Duration) (*routing.Table, error) {
	if table := s.view.table.Load(); table != nil {
		return table, nil
	}
	until := arrived.Add(patience.MaxConfigurationWait(remaining))
	known, err := s.awaitKnown(ctx, until, func() bool { return s.view.table.Load() != nil })
	switch {
	case err != nil:
		return nil, answer.Wrap(answer.Cancelled, err)
	case !known:
		return nil, s.error(answer.NoRight, "configuration")
	}
	return s.view.table.Load(), nil
}

// awaitUpstreams waits for the first list of the upstreams.
func (s *startup) awaitUpstreams(ctx context.Context, q *request) error {
	if s.view.inst.Load() != nil {
		return nil
	}
	known, err := s.awaitKnown(ctx, q.moveWaitEnd(), func() bool { return s.view.inst.Load() != nil })
	if err != nil || known {
		return err
	}
	return s.error(answer.NoOwner, "list of upstreams")
}

// awaitOwners waits for the first table of the owners of a service's keys.
func (s *startup) awaitOwners(ctx context.Context, q *request) error {
	if s.view.spansOf(q.service.Name) != nil {
		return nil
	}
	known, err := s.awaitKnown(ctx, q.moveWaitEnd(), func() bool { return s.view.spansOf(q.service.Name) != nil })
	if err != nil || known {
		return err
	}
	return s.error(answer.NoOwner, "owners of the service's keys")
}

// callerServer serves callers. Its limits are those of the configuration; before the first configuration
// it serves with default limits and closes each connection after one response.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	log      *slog.Logger

	mu      sync.Mutex
	servers []*http.Server
	stopped bool
}

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// earlyListener is the listener of the server that serves before the first configuration. The listener that
// it accepts from stays open when this one is closed.
type earlyListener struct{ deadlineListener }

// errListenerReleased is returned by an earlyListener after its end.
var errListenerReleased = errors.New("another server accepts from the listener")

// Accept implements net.Listener. The error that an ended deadline causes would count as temporary.
func (l earlyListener) Accept() (net.Conn, error) {
	conn, err := l.deadlineListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errListenerReleased
	}
	return conn, err
}

// Close ends the Accept in progress and all later ones.
func (l earlyListener) Close() error { return l.SetDeadline(time.Unix(0, 1)) }

// add adds a server with the given limits, or returns nil if the callerServer has been stopped.
func (c *callerServer) add(limits routing.Limits) *http.Server {
	s := &http.Server{
		Handler: c.handler, ConnContext: limitSocketBuffers, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeader, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	c.servers = append(c.servers, s)
	return s
}

// serve serves until a server fails or is stopped. It waits for the configuration by nextChange.
func (c *callerServer) serve(ctx context.Context, v *view) error {
	listener, ok := c.listener.(deadlineListener)
	if v.table.Load() == nil && ok {
		if err := c.serveEarly(ctx, v, listener); err != nil {
			return err
		}
	}
	limits := routing.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if t := v.table.Load(); t != nil {
		limits = t.Limits
	}
	s := c.add(limits)
	if s == nil {
		return http.ErrServerClosed
	}
	return s.Serve(c.listener)
}

// serveEarly serves with default limits until there is a configuration. The requests that it has begun to
// serve go on after that.
func (c *callerServer) serveEarly(ctx context.Context, v *view, listener deadlineListener) error {
	s := c.add(routing.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	if s == nil {
		return http.ErrServerClosed
	}
	s.SetKeepAlivesEnabled(false)
	ended := make(chan error, 1)
	early := earlyListener{listener}
	go func() { ended <- s.Serve(early) }()
	for {
		changed := v.nextChange()
		if v.table.Load() != nil {
			break
		}
		select {
		case <-changed:
		case err := <-ended:
			return err
		case <-ctx.Done():
			return http.ErrServerClosed
		}
	}
	// Shutdown would close connections whose first request arrives now.
	if err := early.Close(); err != nil {
		return err
	}
	if err := <-ended; !errors.Is(err, errListenerReleased) {
		return err
	}
	return listener.SetDeadline(time.Time{})
}

// stop prevents further servers and returns the present ones.
func (c *callerServer) stop() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.servers
}

// shutdown stops to accept connections and waits until all requests have ended or ctx has.
func (c *callerServer) shutdown(ctx context.Context) error {
	servers := c.stop()
	defer func() { _ = c.listener.Close() }()
	var failures []error
	for _, s := range servers {
		failures = append(failures, s.Shutdown(ctx))
	}
	return errors.Join(failures...)
}

// close ends all connections at once.
func (c *callerServer) close() {
	for _, s := range c.stop() {
		_ = s.Close()
	}
	_ = c.listener.Close()
}
