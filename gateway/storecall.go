package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/transport/pool"
)

const (
	// storeTimeout bounds the silence of the store during a call that does not wait for changes,
	// measured from the start of the call and again from each piece of the response. It bounds the
	// silence rather than the whole call because the store answers within milliseconds, or a few
	// hundred when it is slow, but its responses may be large and the link narrow.
	storeTimeout = 700 * time.Millisecond
	// maxCallDuration bounds such a call as a whole. It is six times what the narrowest link, 10
	// Mbit/s, needs for the largest page of a list, 1 MB.
	maxCallDuration = 5 * time.Second
	// relayTimeout bounds the silence of another gateway that relays a call, until the first bytes
	// of its response: a relay passes the store's response on only once it has received all of it.
	// After the first bytes storeTimeout applies.
	relayTimeout = 900 * time.Millisecond
	// fallbackDelay is how long a call may go without receiving any part of the response before the
	// next path is tried in parallel. It is longer than the store takes to answer when it is slow.
	fallbackDelay = 450 * time.Millisecond
	// directRetryDelay is how long calls prefer other gateways after a direct call failed.
	directRetryDelay = 1500 * time.Millisecond
	// maxRelays bounds the number of gateways asked to relay one call that does not wait for
	// changes.
	maxRelays = 2
	// outageThreshold is how long every call must have failed before the store counts as
	// unavailable.
	outageThreshold = 900 * time.Millisecond
)

// requestSender sends one request to an address and returns the complete response.
type requestSender interface {
	Do(ctx context.Context, addr string, r *pool.Request) (*pool.Response, error)
	// CloseIdle closes the idle connections.
	CloseIdle()
}

// storeCaller sends calls to the platform's store: directly, or through other gateways when the
// store does not serve this machine.
type storeCaller struct {
	conns   requestSender
	address string
	// isLeader reports whether this gateway is the leader, whose view the other gateways follow.
	isLeader func() bool
	// relayPeers returns up to most gateways that can relay a call, the best first.
	relayPeers func(most int) []syncpb.Peer
	now        func() time.Time
	log        *slog.Logger
	meters     *meters

	mu               sync.Mutex
	avoidDirectUntil time.Time
	lastSuccess      time.Time
	failingSince     time.Time
	// directFailing is true if the last direct call failed; lastRelay is the gateway that relayed
	// the last successful call.
	directFailing bool
	lastRelay     syncpb.Peer
	// searchFailedAt is when all gateways were last asked without success; meanLatency is the
	// smoothed latency of calls that do not wait for changes.
	searchFailedAt time.Time
	meanLatency    time.Duration
	// onRecovery is called when the store is reached again after an outage.
	onRecovery func()
}

var (
	errStoreUnreachable = errors.New("the store is reached neither directly nor by way of other gateways")
	// errCallTooLong is returned when the response was still arriving after maxCallDuration.
	errCallTooLong = errors.New("the store's answer takes too long")
)

// Call implements platform.Transport. The call is made directly, and through other gateways as well
// if the direct call fails or nothing arrives for fallbackDelay. If a direct call failed a moment
// ago, the order is reversed. A call whose response is arriving is not repeated on another path,
// because both would share the same link. Reads, whose responses may be large, use one relay after
// the other; writes use all relays at once, because the lease must be renewed in time. All writes
// are conditional, so a write that is sent twice takes effect once.
func (s *storeCaller) Call(ctx context.Context, c platform.Call) (int, []byte, error) {
	return s.paths(c).run(ctx)
}

// servedByStore reports whether the store itself served the call. A call that the store rejects as
// overloaded or unavailable is tried on another path.
func servedByStore(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
}

// callDirect makes the call from this gateway.
func (s *storeCaller) callDirect(ctx context.Context, c platform.Call) (int, []byte, error) {
	return s.callDirectWithProgress(ctx, c, func() {})
}

// callDirectWithProgress makes the call from this gateway and calls onProgress whenever bytes of
// the response arrive.
func (s *storeCaller) callDirectWithProgress(ctx context.Context, c platform.Call, onProgress func()) (int, []byte, error) {
	ctx, recordArrival, end := withSilenceTimeout(ctx, storeTimeout, c.Wait)
	defer end()
	resp, err := s.conns.Do(ctx, s.address, &pool.Request{
		Method: c.Method, Target: c.Target, Host: s.address, Body: c.Body,
		Header: http.Header{"Content-Type": {"application/json"}},
		OnRead: func(int) { recordArrival(); onProgress() },
	})
	kind, operation := c.KindAndOperation()
	if err != nil {
		s.meters.inc(fillPattern(storeCall, kind, operation, "none"))
		return 0, nil, err
	}
	s.meters.inc(fillPattern(storeCall, kind, operation, strconv.Itoa(resp.Status)))
	s.meters.counter(storeBytesIn).Inc(int64(len(resp.Body)))
	return resp.Status, resp.Body, nil
}

// withSilenceTimeout returns a context for a call to the store that may wait for changes for the
// duration wait. The context ends with the cause context.DeadlineExceeded when nothing has arrived
// for the duration first, or for storeTimeout since recordArrival was last called; the time during
// which the store may wait does not count. It ends with errCallTooLong after maxCallDuration plus
// wait.
func withSilenceTimeout(ctx context.Context, first, wait time.Duration) (_ context.Context, recordArrival, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	silenceTimer := time.AfterFunc(first+wait, func() { cancel(context.DeadlineExceeded) })
	totalTimer := time.AfterFunc(maxCallDuration+wait, func() { cancel(errCallTooLong) })
	waitEnd := time.Now().Add(wait)
	recordArrival = func() { silenceTimer.Reset(storeTimeout + max(time.Until(waitEnd), 0)) }
	end = func() {
		silenceTimer.Stop()
		totalTimer.Stop()
		cancel(nil)
	}
	return ctx, recordArrival, end
}

// callViaRelay makes the call through another gateway and calls onProgress whenever bytes of the
// response arrive.
func (s *storeCaller) callViaRelay(ctx context.Context, peer syncpb.Peer, c platform.Call, onProgress func()) (int, []byte, error) {
	ctx, recordArrival, end := withSilenceTimeout(ctx, relayTimeout, c.Wait)
	defer end()
	ctx = withProgress(ctx, func() { recordArrival(); onProgress() })
	s.meters.inc(storeRelayed)
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
	return s.now().Before(s.avoidDirectUntil)
}

func (s *storeCaller) recordDirectFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidDirectUntil = s.now().Add(directRetryDelay)
	s.directFailing = true
}

// recordSuccess records a call that the store has served.
func (s *storeCaller) recordSuccess(direct bool) {
	s.mu.Lock()
	if direct {
		s.avoidDirectUntil = time.Time{}
		s.directFailing = false
	}
	now := s.now()
	recovered := s.unavailableAt(now)
	s.lastSuccess = now
	s.failingSince = time.Time{}
	s.mu.Unlock()
	if recovered {
		s.log.Info("store reached again")
		s.onRecovery()
	}
}

func (s *storeCaller) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = s.now()
		s.log.Warn("store not reached", "last_reached_ms_ago", s.now().Sub(s.lastSuccess).Milliseconds())
	}
}

func (s *storeCaller) unavailableAt(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) > outageThreshold
}

// unavailable reports whether every call has failed for longer than outageThreshold.
func (s *storeCaller) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailableAt(s.now())
}

// relayedCall decodes a call that another gateway asks this one to relay. It reports false unless
// the call is for objects; nothing else is relayed.
func relayedCall(r *syncpb.RelayRequest) (platform.Call, bool) {
	c := platform.Call{
		Method: r.Method, Target: r.Target, Body: r.Body,
		Wait: time.Duration(r.WaitMs) * time.Millisecond,
	}
	return c, strings.HasPrefix(r.Target, platform.ObjectsPath)
}
