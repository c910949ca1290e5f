// Package entry implements the process that runs on an entry VM. It proxies the
// requests of callers, votes in the quorum of its cell, and runs the cell's
// controller while it is elected to.
//
// Provision builds an entry from validated settings. Serve runs it and drains it
// before returning.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/coordination/load"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/docstore"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/front"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/telemetry"
	"github.com/rockcroft/rockcroft/transport/tlsfiles"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// Entry is one entry process.
type Entry struct {
	conf     settings.Entry
	self     cell.Member
	clock    func() time.Time
	log      *slog.Logger
	registry metrics.Registry
	limits   controller.Limits

	store   platform.Store
	docs    *docstore.Store
	gate    *gate.Gate
	pool    *upstreams.Pool
	peers   *peers.Pool
	proxy   *front.Proxy
	control *controlLoop
	leases  *leaseTracker
	hotKeys *load.Tracker
	// loads and cellLoads are guarded by control.mu.
	loads     *load.Aggregator
	cellLoads *load.Cells

	flushSpans func(context.Context) error
	draining   atomic.Bool
	superseded chan error
	listeners  listeners
	loops      sync.WaitGroup

	// applyMu serializes the application of cell documents.
	applyMu sync.Mutex
	outages outages

	rngMu sync.Mutex
	rng   *mathrand.Rand
}

type listeners struct {
	callers, peers, admin net.Listener
}

// Provision builds an entry from validated settings and opens its listeners. The
// store is a client of the platform; tests pass a fake.
func Provision(ctx context.Context, conf settings.Entry, store platform.Store, log *slog.Logger) (*Entry, error) {
	e := &Entry{
		conf:     conf,
		clock:    time.Now,
		log:      log,
		registry: metrics.NewRegistry(),
		limits:   controller.DefaultLimits(),
		store:    store,
		rng:      newRand(conf.Seed),

		superseded: make(chan error, 1),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = cell.Member{
		ID:     controller.MemberID(conf.ID, e.clock()),
		Domain: conf.Domain,
		Cell:   conf.Cell,
		Peer:   e.listeners.peers.Addr().String(),
	}
	peerTLS, err := tlsfiles.Mutual(conf.PeerTLS)
	if err != nil {
		return nil, err
	}
	tracer, flush, err := telemetry.NewTracer(ctx, conf.Trace, "rockcroft-entry")
	if err != nil {
		return nil, err
	}
	e.flushSpans = flush
	e.gate = gate.New(e.self, e.limits.Fence, e.clock)
	e.docs = docstore.New(e.handleDocument)
	e.pool = upstreams.NewPool(e.clock)
	e.peers = peers.NewPool(peerTLS, e.clock)
	e.leases = &leaseTracker{tracker: lease.NewTracker(lease.Limits{
		TTL:          e.limits.LeaseTTL,
		DriftPercent: e.limits.Fence.DriftPercent,
	})}
	e.hotKeys = load.NewTracker()
	e.loads = load.NewAggregator()
	e.cellLoads = load.NewCells()
	e.control = newControlLoop(e)
	e.proxy = front.New(front.Dependencies{
		Self:    e.self,
		Clock:   e.clock,
		Gate:    e.gate,
		Docs:    e.docs,
		Pool:    e.pool,
		Peers:   e.peers,
		Tracer:  tracer,
		Metrics: telemetry.NewRequests(e.registry),
		Rand:    newRand(conf.Seed),
		Observe: e.hotKeys.Record,
	})
	return e, nil
}

// newRand returns a random generator with the given seed, or with a random one if
// the seed is zero.
func newRand(seed uint64) *mathrand.Rand {
	if seed == 0 {
		var b [8]byte
		// The source never fails; see crypto/rand.
		if _, err := rand.Read(b[:]); err != nil {
			panic(err)
		}
		seed = binary.LittleEndian.Uint64(b[:])
	}
	return mathrand.New(mathrand.NewPCG(seed, seed))
}

// newID returns a random ID for writes and intents.
func newID() string {
	var b [12]byte
	// The source never fails; see crypto/rand.
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

func (e *Entry) listen() error {
	open := func(addr fmt.Stringer) (net.Listener, error) {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	var err error
	if e.listeners.callers, err = open(e.conf.Callers); err != nil {
		return err
	}
	if e.listeners.peers, err = open(e.conf.Peers); err != nil {
		return err
	}
	e.listeners.admin, err = open(e.conf.Admin)
	return err
}

// Addresses returns the addresses of the open listeners, which differ from the
// settings if these let the kernel choose the port.
func (e *Entry) Addresses() (callers, peers, admin string) {
	return e.listeners.callers.Addr().String(), e.listeners.peers.Addr().String(), e.listeners.admin.Addr().String()
}

// Self returns the identity of this process.
func (e *Entry) Self() cell.Member { return e.self }

// Serve runs until ctx ends, a server fails or another process supersedes this one,
// then drains and returns.
func (e *Entry) Serve(ctx context.Context) error {
	callerTLS, err := tlsfiles.Server(e.conf.CallerTLS)
	if err != nil {
		return err
	}
	peerTLS, err := tlsfiles.Mutual(e.conf.PeerTLS)
	if err != nil {
		return err
	}
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	failed := make(chan error, 3)
	servers := []*http.Server{
		e.startServer(e.listeners.callers, callerTLS, e.proxy.Callers(), failed),
		e.startServer(e.listeners.peers, peerTLS, e.peerHandler(), failed),
		e.startServer(e.listeners.admin, nil, e.adminHandler(), failed),
	}
	e.startLoops(loopCtx)
	e.log.Info("serving", "id", e.self.ID, "domain", e.self.Domain, "cell", e.self.Cell)
	select {
	case <-ctx.Done():
	case err = <-failed:
	case err = <-e.superseded:
	}
	e.drain(servers)
	stopLoops()
	e.loops.Wait()
	return err
}

// startServer starts to serve a handler on a listener and sends the error of a
// server that fails to failed.
func (e *Entry) startServer(l net.Listener, conf *tls.Config, h http.Handler, failed chan<- error) *http.Server {
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       60 * time.Second,
		MaxHeaderBytes:    32 << 10,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return s
}

// startLoops starts the background loops.
func (e *Entry) startLoops(ctx context.Context) {
	for _, loop := range []func(context.Context){
		e.beatLoop, e.renewLoop, e.gossipLoop, e.stepLoop, e.ownCellLoop, e.intentLoop, e.loadReportLoop, e.balanceLoop,
	} {
		e.startLoop(ctx, loop)
	}
	for _, kind := range watchedKinds {
		e.startLoop(ctx, func(ctx context.Context) { e.watchLoop(ctx, kind) })
	}
}

func (e *Entry) startLoop(ctx context.Context, loop func(context.Context)) {
	e.loops.Add(1)
	go func() {
		defer e.loops.Done()
		loop(ctx)
	}()
}

// drain stops the servers without aborting requests. The entry first reports that
// it is not ready and keeps serving until the load balancer has noticed, closing
// each connection after its response. Then it waits for the requests in flight. It
// keeps voting and sending heartbeats until the servers have stopped. Requests that
// outlast the drain limit are aborted.
func (e *Entry) drain(servers []*http.Server) {
	started := e.clock()
	e.draining.Store(true)
	drainCtx, cancel := context.WithTimeout(context.Background(), e.conf.DrainLimit.D())
	defer cancel()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	sleep(drainCtx, e.conf.DrainNotice.D())
	aborted := 0
	for _, s := range servers {
		if err := s.Shutdown(drainCtx); err != nil {
			aborted++
			_ = s.Close()
		}
	}
	if err := e.flushSpans(drainCtx); err != nil {
		e.log.Warn("spans not flushed", "err", err)
	}
	e.log.Info("drained", "took", e.clock().Sub(started).Round(time.Millisecond), "listeners_cut", aborted)
}

// ready reports whether the entry can serve callers: it has a cell document, has
// the right to send and is not draining.
func (e *Entry) ready() bool {
	return !e.draining.Load() && e.gate.Version() > 0 && e.gate.MaySend()
}
