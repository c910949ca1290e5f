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
	// storeTimeout bounds the silence of the store in a call that does not wait for
	// changes, from its begin and from each piece of the answer: the store answers
	// in milliseconds, and in some hundred when it is slow, but its answers may be
	// large and the link narrow.
	storeTimeout = 700 * time.Millisecond
	// longestCall bounds such a call as a whole: six times what the smallest link,
	// 10 Mbit/s, needs for the largest page of a list, 1 MB.
	longestCall = 5 * time.Second
	// relayTimeout bounds the silence of another gateway by way of which a call goes,
	// until the first bytes of its answer: it hands the store's answer on when it has
	// the whole. From then on storeTimeout does.
	relayTimeout = 900 * time.Millisecond
	// callPatience is how long one way is waited for, while nothing of the answer
	// arrives, before another is tried beside it: longer than the store's answers
	// take when it is slow.
	callPatience = 450 * time.Millisecond
	// directPause is how long calls go by way of other gateways first after a
	// direct one failed.
	directPause = 1500 * time.Millisecond
	// mostRelays bounds the gateways that are asked for one call.
	mostRelays = 2
	// awayAfter is how long every call must have failed for the store to
	// count as away.
	awayAfter = 900 * time.Millisecond
)

// exchanger sends one request to an address and returns the whole answer.
type exchanger interface {
	Do(ctx context.Context, addr string, r *pool.Request) (*pool.Response, error)
	// Forget closes the idle connections.
	Forget()
}

// storeCaller carries calls to the platform's store: directly, or by way of
// other gateways when the store does not serve this machine.
type storeCaller struct {
	conns   exchanger
	address string
	// leads reports whether this gateway leads, and the others go by what it hears.
	leads func() bool
	// relays returns gateways to ask, the best first.
	relays func(most int) []syncpb.Peer
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu          sync.Mutex
	directUntil time.Time
	lastOK      time.Time
	failingFrom time.Time
	// directFailing says that the last direct call failed, good is the gateway by way of which
	// one has succeeded last.
	directFailing bool
	good          syncpb.Peer
	// sought is when all gateways were last asked in vain, latency the mean time of a call that
	// does not wait.
	sought  time.Time
	latency time.Duration
	// onReturn is called when the store is reached again after an outage.
	onReturn func()
}

var (
	errNoWay = errors.New("the store is reached neither directly nor by way of other gateways")
	// errTooLong: the answer was still arriving when longestCall had passed.
	errTooLong = errors.New("the store's answer takes too long")
)

// Call implements platform.Transport. The call is made directly, and by way of
// other gateways as well when that fails or nothing arrives for long; the other way
// round when it has failed directly a moment ago. A call whose answer is arriving is not
// made another way beside: that would take the same link. Reads, whose answers may be
// large, go by way of one other gateway after the other; writes by way of all at once,
// as the lease must be renewed in time. All calls that write are
// conditional, so that one that is made twice takes effect once.
func (s *storeCaller) Call(ctx context.Context, c platform.Call) (int, []byte, error) {
	return s.ways(c).run(ctx)
}

// served reports whether the store itself took the call. What it turns away is
// tried another way.
func served(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
}

// direct makes the call from here.
func (s *storeCaller) direct(ctx context.Context, c platform.Call) (int, []byte, error) {
	return s.directly(ctx, c, func() {})
}

// directly makes the call from here, and calls arrived whenever bytes of the answer
// have arrived.
func (s *storeCaller) directly(ctx context.Context, c platform.Call, arrived func()) (int, []byte, error) {
	ctx, heard, end := untilSilent(ctx, storeTimeout, c.Wait)
	defer end()
	resp, err := s.conns.Do(ctx, s.address, &pool.Request{
		Method: c.Method, Target: c.Target, Host: s.address, Body: c.Body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Arrived: func(int) { heard(); arrived() },
	})
	kind, operation := c.KindAndOperation()
	if err != nil {
		s.meters.inc(fill(storeCall, kind, operation, "none"))
		return 0, nil, err
	}
	s.meters.inc(fill(storeCall, kind, operation, strconv.Itoa(resp.Status)))
	s.meters.counter(storeIn).Inc(int64(len(resp.Body)))
	return resp.Status, resp.Body, nil
}

// untilSilent returns a context for a call to the store that may wait for changes. It
// ends with the cause context.DeadlineExceeded when nothing has been heard for first, or
// for storeTimeout since heard was last called; neither counts while the store may wait.
// It ends with errTooLong after longestCall.
func untilSilent(ctx context.Context, first, wait time.Duration) (_ context.Context, heard, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(first+wait, func() { cancel(context.DeadlineExceeded) })
	whole := time.AfterFunc(longestCall+wait, func() { cancel(errTooLong) })
	waits := time.Now().Add(wait)
	heard = func() { silence.Reset(storeTimeout + max(time.Until(waits), 0)) }
	end = func() {
		silence.Stop()
		whole.Stop()
		cancel(nil)
	}
	return ctx, heard, end
}

// relay makes the call by way of another gateway, and calls arrived whenever bytes of
// the answer have arrived.
func (s *storeCaller) relay(ctx context.Context, peer syncpb.Peer, c platform.Call, arrived func()) (int, []byte, error) {
	ctx, heard, end := untilSilent(ctx, relayTimeout, c.Wait)
	defer end()
	ctx = withProgress(ctx, func() { heard(); arrived() })
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
	return s.now().Before(s.directUntil)
}

func (s *storeCaller) directFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = s.now().Add(directPause)
	s.directFailing = true
}

// succeeded notes a call that the store has served.
func (s *storeCaller) succeeded(direct bool) {
	s.mu.Lock()
	if direct {
		s.directUntil = time.Time{}
		s.directFailing = false
	}
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
		s.log.Warn("store not reached", "last_reached_ms_ago", s.now().Sub(s.lastOK).Milliseconds())
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

// relayed checks a call that another gateway asks for: only calls on objects
// are passed on.
func relayed(r *syncpb.RelayRequest) (platform.Call, bool) {
	c := platform.Call{
		Method: r.Method, Target: r.Target, Body: r.Body,
		Wait: time.Duration(r.WaitMs) * time.Millisecond,
	}
	return c, strings.HasPrefix(r.Target, platform.ObjectsPath)
}
