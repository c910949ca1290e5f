package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// pathState is how the store treats the calls of one gateway.
type pathState int

const (
	pathServed pathState = iota
	pathSilent
	pathBusy
	pathReset
)

// partialStore is a store that serves only some gateways, and others from time to time. A waiting
// call receives nothing once its gateway is no longer served.
type partialStore struct {
	mu      sync.Mutex
	paths   []pathState
	changed chan struct{}
	// revision is the newest revision, latency how long a response takes.
	revision int
	latency  time.Duration
}

func (s *partialStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

var errReset = errors.New("connection reset")

// call answers a call of a gateway that has the revision known.
func (s *partialStore) call(ctx context.Context, gateway, known int, wait time.Duration) (int, int, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	ended := wait == 0
	for {
		s.mu.Lock()
		path, revision, changed, latency := s.paths[gateway], s.revision, s.changed, s.latency
		s.mu.Unlock()
		switch {
		case path == pathSilent:
			<-ctx.Done()
			return 0, 0, context.Cause(ctx)
		case path == pathReset:
			return 0, 0, errReset
		case path == pathBusy:
			return http.StatusServiceUnavailable, 0, nil
		case revision > known || ended:
			select {
			case <-time.After(latency):
				return http.StatusOK, revision, nil
			case <-ctx.Done():
				return 0, 0, context.Cause(ctx)
			}
		}
		select {
		case <-changed:
		case <-limit.C:
			ended = true
		case <-ctx.Done():
			return 0, 0, context.Cause(ctx)
		}
	}
}

// partialStoreConn is the direct connection of the leader, gateway 0, to the store.
type partialStoreConn struct {
	store *partialStore
	known *atomic.Int64
}

// Do implements requestSender.
func (p partialStoreConn) Do(ctx context.Context, _ string, r *pool.Request) (*pool.Response, error) {
	status, revision, err := p.store.call(ctx, 0, int(p.known.Load()), watchWaitOf(r.Target))
	if err != nil {
		return nil, err
	}
	return &pool.Response{Status: status, Body: []byte(fmt.Sprint(revision))}, nil
}

// CloseIdle implements requestSender.
func (partialStoreConn) CloseIdle() {}

// watchWaitOf returns how long a call may wait.
func watchWaitOf(target string) time.Duration {
	if target == watchTarget {
		return watchWait
	}
	return 0
}

const watchTarget = "/v1/objects/config?wait_ms=1200&watch=1"

// partialStoreRelay is another gateway, which relays calls.
type partialStoreRelay struct {
	syncpb.Peer
	store   *partialStore
	gateway int
	known   *atomic.Int64
}

// Relay implements syncpb.Peer.
func (p partialStoreRelay) Relay(ctx context.Context, r *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	status, revision, err := p.store.call(ctx, p.gateway, int(p.known.Load()), watchWaitOf(r.Target))
	if err != nil {
		return nil, err
	}
	return &syncpb.RelayResponse{Status: uint32(status), Body: []byte(fmt.Sprint(revision))}, nil
}

// TestChangesArriveByAnyPath checks that the leader learns of a change in time to distribute it,
// whichever gateways the store serves (at least one) and however it treats the others.
func TestChangesArriveByAnyPath(t *testing.T) {
	t.Parallel()
	// distributionTime is reserved for sending the change from the leader to all others.
	const distributionTime = 100 * time.Millisecond
	for _, c := range []struct {
		gateways, series int
		within           time.Duration
	}{{3, 100, 2 * time.Second}, {12, 100, 2 * time.Second}, {74, 50, 2500 * time.Millisecond}} {
		for seed := range uint64(c.series) {
			synctest.Test(t, func(t *testing.T) {
				if took := slowestChange(t.Context(), c.gateways, seed); took > c.within-distributionTime {
					t.Errorf("%d gateways, seed %d: a change reached the leader after %s", c.gateways, seed, took)
				}
			})
		}
	}
}

// slowestChange simulates about a minute of changes and returns how long the slowest took to
// reach the leader.
func slowestChange(ctx context.Context, gateways int, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	store := &partialStore{paths: make([]pathState, gateways), changed: make(chan struct{}), latency: 5 * time.Millisecond}
	var known atomic.Int64
	s := newTestCaller()
	s.conns = partialStoreConn{store: store, known: &known}
	peers := make([]syncpb.Peer, 0, gateways)
	for i := range gateways - 1 {
		peers = append(peers, partialStoreRelay{store: store, gateway: i + 1, known: &known})
	}
	order := rand.New(rand.NewPCG(seed, 0))
	s.relayPeers = func(most int) []syncpb.Peer {
		order.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		return append([]syncpb.Peer{}, peers[:min(most, len(peers))]...)
	}
	drawPaths(rng, store)
	const changes = 20
	slowest, pending := time.Duration(0), time.Time{}
	nextChange, nextPaths := time.Now().Add(time.Second), time.Now().Add(3*time.Second)
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	var simulation sync.WaitGroup
	defer simulation.Wait()
	defer cancel()
	simulation.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			now := time.Now()
			if now.After(nextPaths) {
				drawPaths(rng, store)
				nextPaths = now.Add(3*time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
			}
			mu.Lock()
			if now.After(nextChange) && pending.IsZero() {
				store.update(func() { store.revision++ })
				pending = now
				nextChange = now.Add(time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
			}
			mu.Unlock()
		}
	})
	for seen := 0; seen < changes; {
		_, body, err := s.Call(ctx, platform.Call{Method: http.MethodGet, Target: watchTarget, Wait: watchWait})
		revision := 0
		if err == nil {
			_, err = fmt.Sscan(string(body), &revision)
		}
		if err != nil || revision == int(known.Load()) {
			time.Sleep(minWatchInterval)
			continue
		}
		known.Store(int64(revision))
		mu.Lock()
		slowest, pending = max(slowest, time.Since(pending)), time.Time{}
		mu.Unlock()
		seen++
	}
	return slowest
}

// drawPaths draws which gateways the store serves: at least one.
func drawPaths(rng *rand.Rand, store *partialStore) {
	bad := []pathState{pathSilent, pathBusy, pathReset}[rng.IntN(3)]
	share := []float64{0, 0.1, 0.5, 1}[rng.IntN(4)]
	store.update(func() {
		for i := range store.paths {
			store.paths[i] = bad
			if rng.Float64() < share {
				store.paths[i] = pathServed
			}
		}
		store.paths[rng.IntN(len(store.paths))] = pathServed
	})
}
