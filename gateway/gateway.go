// Package gateway is the process in front of the upstreams on the users'
// platform: it serves callers, follows the leader, and leads when it is its
// turn. Decisions are made in package coordination; this package carries
// messages and runs the loops.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/bootclock"
	"github.com/rockcroft/rockcroft/transport/eventlog"
	"github.com/rockcroft/rockcroft/transport/pool"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

const (
	// memoryShare is the part of the allowed memory that the garbage
	// collector is told to keep to; the rest is for sockets and stacks.
	memoryShare = 0.6
	// thousand is the unit in which the strength of a machine is told.
	thousand = 1000
	// megabyte in bytes.
	megabyte = 1 << 20
	// stopReserve is kept from the time allowed for a stop, to end before the
	// process is killed.
	stopReserve = 300 * time.Millisecond
	// configurationWait is how long the front waits for a configuration before
	// it serves without one.
	configurationWait = 3 * time.Second
	// defaultIdle is the idle timeout of callers' connections when no
	// configuration has named one.
	defaultIdle = 15 * time.Second
	// headerWait bounds the time for a request's headers.
	headerWait = 3 * time.Second
	// expireInterval is the time between looks at idle connections.
	expireInterval = time.Second
)

const (
	// upstreamDial bounds opening a connection to an upstream: some times the
	// way there, less than a lost packet costs, so that another is tried.
	upstreamDial = 250 * time.Millisecond
	// upstreamIdle is how long connections to upstreams are kept. Upstreams close
	// idle ones after ten seconds, or what their answers announce.
	upstreamIdle = 6 * time.Second
	// upstreamIdleOnce is the same for requests that must not run twice: a
	// connection that ends as it is used leaves their outcome unknown.
	upstreamIdleOnce = 3 * time.Second
	// upstreamConns bounds the idle connections to one upstream: the share of one
	// gateway in 110 to 130 allowed to all.
	upstreamConns = 8
	// storeDial, storeIdle and storeConns are the same for the store.
	storeDial  = 300 * time.Millisecond
	storeIdle  = 5 * time.Second
	storeConns = 4
	// mostAnswer bounds the body of an answer, in bytes.
	mostAnswer = 16 * megabyte
)

// upstreamLimits are those of connections to upstreams.
var upstreamLimits = pool.Limits{
	DialTimeout: upstreamDial, MaxIdleTime: upstreamIdle, MaxIdleTimeNonIdempotent: upstreamIdleOnce,
	MaxIdleConnsPerAddr: upstreamConns, MaxBodyBytes: mostAnswer,
}

// storeLimits are those of connections to the platform's store.
var storeLimits = pool.Limits{
	DialTimeout: storeDial, MaxIdleTime: storeIdle, MaxIdleTimeNonIdempotent: storeIdle, MaxIdleConnsPerAddr: storeConns, MaxBodyBytes: mostAnswer,
}

// Gateway is one gateway process.
type Gateway struct {
	conf  settings.Gateway
	log   *slog.Logger
	lines *eventlog.Log
	// clock counts suspensions of the machine, now is its reading: all rights go by it.
	clock    *bootclock.Clock
	now      func() time.Time
	meters   *meters
	view     *view
	traffic  *traffic
	cluster  *cluster
	follower *follower
	watcher  *watcher
	calls    *storeCaller
	steward  *assignmentSupervisor
	leading  *leaderElector
	front    *front
	conns    *pool.Pool
	gaps     *ownerGaps
	limits   *namedLimits
	suspects *suspects
	draining atomic.Bool
	open     Listeners
	// abrupt ends Run without a graceful stop, for tests of lost processes.
	abrupt chan struct{}
}

// logLevel returns the level of a checked setting.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// Listeners are the open listeners of a gateway.
type Listeners struct {
	Callers, Ready, Peers net.Listener
	// Metrics is nil when no counters are served.
	Metrics net.Listener
}

// Listen opens the listeners that the settings name.
func Listen(conf settings.Gateway) (Listeners, error) {
	var l Listeners
	var errs []error
	open := func(name string, addr jsonc.Addr) net.Listener {
		if !addr.IsValid() {
			return nil
		}
		one, err := net.Listen("tcp", addr.String())
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		return one
	}
	l.Callers = open("callers", conf.Callers)
	l.Ready = open("ready", conf.Ready)
	l.Peers = open("peers", conf.Peers)
	l.Metrics = open("metrics", conf.Metrics)
	return l, errors.Join(errs...)
}

// New assembles a gateway that serves on open listeners.
func New(conf settings.Gateway, open Listeners, lines *eventlog.Log) *Gateway {
	return newGateway(conf, open, lines, bootclock.New())
}

// newGateway is New with a clock.
func newGateway(conf settings.Gateway, open Listeners, lines *eventlog.Log, clock *bootclock.Clock) *Gateway {
	log := lines.Logger(logLevel(conf.LogLevel)).With("node", conf.Node)
	g := &Gateway{conf: conf, lines: lines, open: open, abrupt: make(chan struct{}), log: log, clock: clock, now: clock.Now, meters: newMeters(), view: newView()}
	seeds := [2]uint64{mathrand.Uint64(), mathrand.Uint64()}
	rng := mathrand.New(mathrand.NewPCG(seeds[0], seeds[1]))
	g.traffic = newTraffic(conf, g.now, rng)
	g.view.onConfiguration = g.traffic.setServices
	g.view.onEvacuations = g.traffic.setEvacuations
	g.gaps = newOwnerGaps(g.now, g.meters)
	g.view.onSpans = g.gaps.note
	g.limits = newNamedLimits(g.view, g.now, log, g.meters)
	g.limits.onChange = g.limitsChanged
	self := &syncpb.Member{
		Node: conf.Node, Address: open.Peers.Addr().String(), Domain: conf.Domain, Incarnation: incarnation(),
		Strength: uint32(thousand * conf.Strength),
	}
	client := &http.Client{Transport: &progressTransport{base: &http.Transport{
		DialContext:         countReads((&net.Dialer{Timeout: reportTimeout}).DialContext, g.meters.counter(newsIn)),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: defaultIdle,
	}}}
	g.cluster = newCluster(self, client, g.now, mathrand.New(mathrand.NewPCG(seeds[1], seeds[0])))
	g.calls = &storeCaller{
		conns: pool.New(storeLimits, g.now), address: conf.Store.String(), relayPeers: g.cluster.relayCandidates, isLeader: g.cluster.isLeading,
		now: g.now, log: log, meters: g.meters, lastSuccess: g.now(),
	}
	g.suspects = newSuspects(g.view, g.cluster.gatewayCount, g.now, log, g.meters, mathrand.New(mathrand.NewPCG(seeds[0], seeds[1]+1)))
	g.view.onInstances = func(v *instances.View) {
		g.traffic.setUpstreams(v)
		g.suspects.onViewChanged(v)
	}
	unread := newUnreadHeaders(g.now, log, g.meters)
	store := platform.NewStore(g.calls)
	evac := newEvacuations(g.view, g.now, log, g.meters)
	g.watcher = newWatcher(store, g.view, evac, g.now, log, g.meters, seeds[0])
	g.calls.onRecovery = g.watcher.storeRecovered
	g.follower = &follower{
		view: g.view, cluster: g.cluster, traffic: g.traffic, now: g.now, log: log, meters: g.meters,
		startedAt: g.now(), evac: evac, limits: g.limits, suspects: g.suspects,
	}
	g.follower.sieve = newPeerValidator(g.view, g.now, log, g.meters)
	g.follower.fetcher = newFetcher(g.cluster.client, g.follower.applyPart, g.now, log, g.meters)
	for _, s := range conf.Seeds {
		g.follower.seeds = append(g.follower.seeds, s.String())
		g.follower.isSeed = g.follower.isSeed || s == conf.Peers
	}
	g.conns = pool.New(upstreamLimits, g.now)
	g.steward = &assignmentSupervisor{
		view: g.view, cluster: g.cluster, traffic: g.traffic, store: store, calls: g.calls,
		owners: platform.NewOwners(pool.New(upstreamLimits, g.now)), turns: newCallSlots(maxGrantCalls), maxHold: conf.LongestHold.D(),
		now: g.now, log: log, meters: g.meters, workTimes: newWorkTimes(g.view, g.now), limits: g.limits,
		rights: &warmUpRights{view: g.view, cluster: g.cluster, traffic: g.traffic, now: g.now},
	}
	g.leading = &leaderElector{
		store: store, calls: g.calls, cluster: g.cluster, follower: g.follower, watcher: g.watcher,
		assignments: g.steward, now: g.now, log: log, initialRank: firstRank(conf),
		promises: newPromises(g.now), maxHold: conf.LongestHold.D(),
	}
	g.steward.elector = g.leading
	g.steward.placements = &placements{
		store: store, assignments: g.steward, elector: g.leading, cluster: g.cluster, evac: evac, suspects: g.suspects, unread: unread,
		watches: g.watcher.ages, now: g.now, log: log,
	}
	g.watcher.isDraining, g.watcher.announcedLeaving = g.steward.placements.draining, g.steward.reportedLeaving
	g.follower.setOwnReport = g.steward.setOwnReport
	g.front = &front{
		view: g.view, traffic: g.traffic, splitter: routing.NewSplitter(), conns: g.conns, now: g.now,
		log: log, meters: g.meters, domain: conf.Domain, gaps: g.gaps, limits: g.limits, suspects: g.suspects, unread: unread, open: newOpenRequests(),
		maxHeld: int64(conf.Memory) * megabyte / mostBodyShare, configurationAge: g.configurationAge,
	}
	g.clock.OnSuspended(g.handleWakeUp)
	return g
}

// limitsChanged lets a limit that an upstream names, or its end, take effect here at once, and
// tells it to those that report to this gateway.
func (g *Gateway) limitsChanged() {
	g.traffic.setLimits(g.limits.inForce(g.cluster.wantedByOthers))
	g.view.notify()
}

// configurationAge returns how long ago the configuration in force was known to be the
// newest.
func (g *Gateway) configurationAge() time.Duration {
	return g.follower.configurationAge(g.watcher.configurationHeard())
}

// initialRank is the gateway's place among those that reach for the lease at the
// first start: the seeds in their order, then all others.
func firstRank(conf settings.Gateway) int {
	for i, s := range conf.Seeds {
		if s == conf.Peers {
			return i
		}
	}
	return len(conf.Seeds) + 1
}

// incarnation names this start of the process.
func incarnation() string {
	var b [8]byte
	// The source never fails; see crypto/rand.
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(g.conf.Memory) * megabyte))
	tracer, flush, err := telemetry.NewTracer(ctx, g.conf.Trace, "rockcroft-gateway")
	if err != nil {
		return err
	}
	defer func() {
		if err := flush(context.Background()); err != nil {
			g.log.Warn("spans not sent", "error", err)
		}
	}()
	g.front.tracer = tracer
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failed := make(chan error, 4)
	serve := func(name string, l net.Listener, h http.Handler) {
		if l == nil {
			return
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: headerWait}
		context.AfterFunc(work, func() { _ = server.Close() })
		go func() { failed <- fmt.Errorf("%s: %w", name, server.Serve(l)) }()
	}
	serve("ready", g.open.Ready, g.readyHandler())
	serve("peers", writesCounted{g.open.Peers, g.meters.counter(newsOut)}, g.peerHandler())
	serve("metrics", g.open.Metrics, g.metricsHandler())
	g.log.Info("started", "pid", os.Getpid(), "incarnation", g.cluster.self.Incarnation,
		"version", version(), "settings", settingsDigest(g.conf))
	var loops sync.WaitGroup
	loops.Go(func() { g.follower.run(work) })
	loops.Go(func() { g.follower.fetcher.run(work) })
	loops.Go(func() { g.leading.run(work) })
	loops.Go(func() { g.leading.runExtensions(work) })
	loops.Go(func() { g.traffic.run(work) })
	loops.Go(func() { g.expire(work) })
	loops.Go(func() { g.noteHangups(work, hangups) })
	server := g.frontServer(ctx)
	go func() { failed <- fmt.Errorf("callers: %w", server.Serve(g.open.Callers)) }()
	select {
	case err = <-failed:
		g.log.Error("a listener failed", "error", err)
		g.stop(server, err.Error())
	case <-ctx.Done():
		g.stop(server, context.Cause(ctx).Error())
	case <-g.abrupt:
		_ = server.Close()
	}
	stopWork()
	loops.Wait()
	g.steward.stopAndWait()
	return err
}

// noteHangups logs that the settings file has changed. All settings concern the
// start of the process, so they are taken over by the next one.
func (g *Gateway) noteHangups(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-hangups:
			g.log.Info("settings have changed, the next start takes them over")
		case <-ctx.Done():
			return
		}
	}
}

// version is that of the module the program was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// settingsDigest tells different settings apart in logs.
func settingsDigest(conf settings.Gateway) string {
	data, err := json.Marshal(conf)
	if err != nil {
		return "unknown"
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// frontServer waits for a configuration, which bounds what callers may do, and
// returns the server for callers.
func (g *Gateway) frontServer(ctx context.Context) *http.Server {
	limit := g.now().Add(configurationWait)
	for g.view.table.Load() == nil && g.now().Before(limit) && ctx.Err() == nil {
		pause(ctx, assignerTick)
	}
	limits := routing.Limits{HeaderTimeout: headerWait, IdleTimeout: defaultIdle}
	if t := g.view.table.Load(); t != nil {
		limits = t.Limits
	}
	return &http.Server{
		Handler: g.front, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeader, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

// stop ends the service: not ready at once, the lease given up beside the rest, and
// no connection closed before the balancer has noticed and the requests under way
// have ended. The cause is for the log.
func (g *Gateway) stop(server *http.Server, cause string) {
	began := g.now()
	g.draining.Store(true)
	g.front.draining.Store(true)
	g.log.Info("stopping", "cause", cause)
	ctx, cancel := context.WithTimeout(context.Background(), g.conf.StopLimit.D()-stopReserve)
	defer cancel()
	var resigned sync.WaitGroup
	resigned.Go(func() { g.leading.resign(ctx) })
	pause(ctx, began.Add(g.conf.DrainNotice.D()).Sub(g.now()))
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut off by the end of the stop", "error", err)
		_ = server.Close()
	}
	resigned.Wait()
	g.log.Info("stopped", "took_ms", g.now().Sub(began).Milliseconds())
}

// expire closes connections that were idle for too long.
func (g *Gateway) expire(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, expireInterval)
		g.clock.Check()
		g.conns.Expire()
	}
}
