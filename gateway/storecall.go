package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/transport/pool"
)

const (
	// storeTimeout bounds a call to the store that does not wait for changes.
	// The store answers in milliseconds, and in some hundred when it is slow.
	storeTimeout = 700 * time.Millisecond
	// relayTimeout bounds the same call by way of another gateway.
	relayTimeout = 900 * time.Millisecond
	// directPause is how long calls go by way of other gateways first after a
	// direct one failed.
	directPause = 1500 * time.Millisecond
	// mostRelays bounds the gateways that are asked for one call.
	mostRelays = 2
	// awayAfter is how long every call must have failed for the store to
	// count as away.
	awayAfter = 900 * time.Millisecond
)

// storeCaller carries calls to the platform's store: directly, or by way of
// other gateways when the store does not serve this machine.
type storeCaller struct {
	conns   *pool.Pool
	address string
	// relays returns gateways to ask, the best first.
	relays func(most int) []syncpb.Peer
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu          sync.Mutex
	directUntil time.Time
	lastOK      time.Time
	failingFrom time.Time
	// onReturn is called when the store is reached again after an outage.
	onReturn func()
}

var errNoWay = errors.New("the store is reached neither directly nor by way of other gateways")

// Call implements platform.Transport.
func (s *storeCaller) Call(ctx context.Context, c platform.Call) (int, []byte, error) {
	avoid := s.avoidsDirect()
	if !avoid {
		if status, body, err := s.direct(ctx, c); served(status, err) {
			s.succeeded()
			return status, body, nil
		} else if ctx.Err() != nil {
			return 0, nil, context.Cause(ctx)
		}
		s.directFailed()
	}
	for _, peer := range s.relays(mostRelays) {
		if status, body, err := s.relay(ctx, peer, c); served(status, err) {
			s.succeeded()
			return status, body, nil
		} else if ctx.Err() != nil {
			return 0, nil, context.Cause(ctx)
		}
	}
	if avoid {
		if status, body, err := s.direct(ctx, c); served(status, err) {
			s.directWorks()
			s.succeeded()
			return status, body, nil
		}
	}
	s.failed()
	return 0, nil, errNoWay
}

// served reports whether the store itself took the call. What it turns away is
// tried another way.
func served(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
}

// direct makes the call from here.
func (s *storeCaller) direct(ctx context.Context, c platform.Call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+c.Wait)
	defer cancel()
	s.meters.inc("store.calls")
	resp, err := s.conns.Do(ctx, s.address, &pool.Request{
		Method: c.Method, Target: c.Target, Host: s.address, Body: c.Body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		s.meters.inc("store.failures")
		return 0, nil, err
	}
	return resp.Status, resp.Body, nil
}

// relay makes the call by way of another gateway.
func (s *storeCaller) relay(ctx context.Context, peer syncpb.Peer, c platform.Call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+c.Wait)
	defer cancel()
	s.meters.inc("store.relayed")
	resp, err := peer.Relay(ctx, &syncpb.RelayRequest{
		Method: c.Method, Target: c.Target, Body: c.Body, WaitMs: uint32(c.Wait.Milliseconds()),
	})
	if err != nil {
		return 0, nil, err
	}
	return int(resp.Status), resp.Body, nil
}

func (s *storeCaller) avoidsDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.directUntil)
}

func (s *storeCaller) directFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = s.now().Add(directPause)
}

func (s *storeCaller) directWorks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = time.Time{}
}

func (s *storeCaller) succeeded() {
	s.mu.Lock()
	now := s.now()
	returned := s.awayAt(now)
	s.lastOK = now
	s.failingFrom = time.Time{}
	s.mu.Unlock()
	if returned {
		s.log.Info("store reached again")
		s.onReturn()
	}
}

func (s *storeCaller) failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingFrom.IsZero() {
		s.failingFrom = s.now()
		s.log.Warn("store not reached", "last_reached_ago", s.now().Sub(s.lastOK))
	}
}

func (s *storeCaller) awayAt(now time.Time) bool {
	return !s.failingFrom.IsZero() && now.Sub(s.failingFrom) > awayAfter
}

// away reports whether no call has succeeded for a while.
func (s *storeCaller) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awayAt(s.now())
}

// failing reports whether the last call failed.
func (s *storeCaller) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failingFrom.IsZero()
}

// relayed checks a call that another gateway asks for: only calls on objects
// are passed on.
func relayed(r *syncpb.RelayRequest) (platform.Call, bool) {
	c := platform.Call{
		Method: r.Method, Target: r.Target, Body: r.Body,
		Wait: time.Duration(r.WaitMs) * time.Millisecond,
	}
	return c, strings.HasPrefix(r.Target, platform.ObjectsPath)
}
