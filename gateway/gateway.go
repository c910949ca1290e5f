// Package gateway implements the gateway process in front of the upstreams: it serves callers,
// follows the leader of the gateways, and takes over as the leader when it holds the lease. The
// decisions are made in package coordination; this package exchanges the messages and runs the
// loops.
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

	"github.com/rockcroft/rockcroft/coordination/bytebudget"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/bootclock"
	"github.com/rockcroft/rockcroft/transport/eventlog"
	"github.com/rockcroft/rockcroft/transport/framing"
	"github.com/rockcroft/rockcroft/transport/pool"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

const (
	// memoryLimitFraction is the fraction of the allowed memory that is set as the limit of the
	// garbage collector. The rest is for sockets and stacks.
	memoryLimitFraction = 0.6
	// strengthUnits is the number of units in which a machine of strength 1 is reported to
	// other gateways.
	strengthUnits = 1000
	// megabyte is 2^20 bytes.
	megabyte = 1 << 20
	// stopReserve is subtracted from the time allowed for a stop, so that the process exits
	// before it is killed.
	stopReserve = 300 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of callers' connections if there is no
	// configuration yet.
	defaultIdleTimeout = 15 * time.Second
	// defaultHeaderTimeout bounds the time for reading a request's headers: on the internal
	// listeners, and for callers if there is no configuration yet.
	defaultHeaderTimeout = 3 * time.Second
	// idleCheckInterval is the time between checks for idle connections.
	idleCheckInterval = time.Second
)

// Gateway is one gateway process.
type Gateway struct {
	conf     settings.Gateway
	log      *slog.Logger
	eventLog *eventlog.Log
	// clock counts suspensions of the machine, now reads it. The validity of all leases, grants
	// and rights is measured with it.
	clock       *bootclock.Clock
	now         func() time.Time
	meters      *meters
	view        *view
	traffic     *traffic
	cluster     *cluster
	follower    *follower
	watcher     *watcher
	storeCalls  *storeCaller
	assignments *assignmentSupervisor
	elector     *leaderElector
	proxy       *proxy
	conns       *pool.Pool
	// pools are all pools of connections, and responses and controlResponses bound the memory of what is read
	// from them.
	pools                       []*pool.Pool
	responses, controlResponses *pool.Memory
	peerMessages                *peerMessages
	ownerGaps                   *ownerGaps
	limits                      *namedLimits
	suspects                    *suspects
	reach                       *upstreamReach
	quotas                      *teamQuotas
	draining                    atomic.Bool
	listeners                   Listeners
	// upstreamDialer opens the connections to upstreams. Tests replace it before Run.
	upstreamDialer pool.DialFunc
	// killed is closed to end Run without a graceful stop, in tests of lost processes.
	killed chan struct{}
}

// logLevel returns the level of a validated setting.
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
	// Metrics is nil if no metrics are served.
	Metrics net.Listener
}

// Listen opens the listeners that the settings specify.
func Listen(conf settings.Gateway) (Listeners, error) {
	var l Listeners
	var errs []error
	open := func(name string, addr jsonc.Addr) net.Listener {
		if !addr.IsValid() {
			return nil
		}
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		return listener
	}
	l.Callers = open("callers", conf.Callers)
	l.Ready = open("ready", conf.Ready)
	l.Peers = open("peers", conf.Peers)
	l.Metrics = open("metrics", conf.Metrics)
	return l, errors.Join(errs...)
}

// New assembles a gateway that serves on open listeners.
func New(conf settings.Gateway, listeners Listeners, eventLog *eventlog.Log) *Gateway {
	return newGateway(conf, listeners, eventLog, bootclock.New())
}

// newGateway is New with a given clock.
func newGateway(conf settings.Gateway, listeners Listeners, eventLog *eventlog.Log, clock *bootclock.Clock) *Gateway {
	log := eventLog.Logger(logLevel(conf.LogLevel)).With("node", conf.Node)
	g := &Gateway{conf: conf, eventLog: eventLog, listeners: listeners, killed: make(chan struct{}), log: log, clock: clock, now: clock.Now, meters: newMeters(), view: newView()}
	seeds := [2]uint64{mathrand.Uint64(), mathrand.Uint64()}
	rng := mathrand.New(mathrand.NewPCG(seeds[0], seeds[1]))
	g.traffic = newTraffic(conf, g.now, rng)
	g.view.onConfiguration = g.traffic.setServices
	g.view.onEvacuations = g.traffic.setEvacuations
	g.ownerGaps = newOwnerGaps(g.now, g.meters)
	g.view.onSpans = g.ownerGaps.setTable
	g.limits = newNamedLimits(g.view, g.now, log, g.meters)
	g.limits.onChange = g.limitsChanged
	allowed := int64(conf.MemoryMB) * megabyte
	g.responses, g.controlResponses = pool.NewMemory(allowed/responsesDivisor), pool.NewMemory(allowed/controlResponsesDivisor)
	g.peerMessages = newPeerMessages(allowed)
	self := &syncpb.Member{
		Node: conf.Node, Address: listeners.Peers.Addr().String(), Domain: conf.Domain, Incarnation: incarnation(),
		Strength: uint32(strengthUnits * conf.CPUCores),
	}
	client := &http.Client{Transport: &progressTransport{base: framing.NewTransport(&http.Transport{
		DialContext:         countReads((&net.Dialer{Timeout: reportTimeout}).DialContext, g.meters.counter(newsBytesIn)),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: defaultIdleTimeout, MaxResponseHeaderBytes: maxResponseHead,
	}), messages: g.peerMessages}}
	g.cluster = newCluster(self, client, g.now, mathrand.New(mathrand.NewPCG(seeds[1], seeds[0])))
	g.cluster.regions = conf.Regions
	g.view.hasReceivers = g.cluster.hasChildren
	g.storeCalls = &storeCaller{
		conns: g.newPool(storeLimits, g.controlResponses), address: conf.Store.String(), relayPeers: g.cluster.relayCandidates, isLeader: g.cluster.isLeading,
		now: g.now, log: log, meters: g.meters, lastSuccess: g.now(),
	}
	g.quotas = newTeamQuotas(g.view, g.cluster.gatewayCount, conf.QuotaSlack, g.now, mathrand.New(mathrand.NewPCG(seeds[0]+1, seeds[1])))
	g.suspects = newSuspects(g.view, g.cluster.gatewayCount, g.now, log, g.meters, mathrand.New(mathrand.NewPCG(seeds[0], seeds[1]+1)))
	g.view.onInstances = func(v *instances.View) {
		g.traffic.setUpstreams(v)
		g.suspects.onViewChanged(v)
	}
	unread := newUnreadHeaders(g.now, log, g.meters)
	store := platform.NewStore(g.storeCalls)
	evac := newEvacuations(g.view, g.now, log, g.meters)
	g.watcher = newWatcher(store, g.view, evac, g.now, log, g.meters)
	g.watcher.currency = &g.traffic.currency
	g.watcher.leading, g.watcher.reportedRevision = g.cluster.isLeading, g.cluster.reportedRevision
	g.watcher.allowedSilence = func() time.Duration { return g.storeCalls.allowedSilence(watchSilenceLimit) }
	g.storeCalls.onRecovery = g.watcher.storeRecovered
	g.follower = &follower{
		view: g.view, cluster: g.cluster, traffic: g.traffic, now: g.now, log: log, meters: g.meters,
		startedAt: g.now(), evac: evac, limits: g.limits, suspects: g.suspects, quotas: g.quotas,
	}
	g.follower.validator = newPeerValidator(g.view, g.now, log, g.meters)
	g.follower.fetcher = newFetcher(g.cluster.client, g.follower.applyPart, g.now, log, g.meters)
	for _, s := range conf.Seeds {
		g.follower.seeds = append(g.follower.seeds, s.String())
		g.follower.isSeed = g.follower.isSeed || s == conf.Peers
	}
	g.reach = newUpstreamReach(g.view, g.now, log, g.meters, mathrand.New(mathrand.NewPCG(seeds[0]+2, seeds[1])))
	g.upstreamDialer = (&net.Dialer{KeepAlive: -1, LocalAddr: localAddress(conf.UpstreamSource)}).DialContext
	g.conns = g.newUpstreamPool(upstreamLimits, g.responses)
	g.suspects.probeLink = func(ctx context.Context, addr string) (time.Time, error) {
		return g.conns.Probe(ctx, addr, reachProbeDuration)
	}
	g.reach.probeLink = func(ctx context.Context, addr string) error {
		_, err := g.suspects.probeLink(ctx, addr)
		return err
	}
	g.reach.onCutOff, g.suspects.cutOff = g.suspects.discardAborted, g.reach.cutOff.Load
	g.assignments = &assignmentSupervisor{
		view: g.view, cluster: g.cluster, traffic: g.traffic, store: store, calls: g.storeCalls,
		owners: platform.NewOwners(g.newUpstreamPool(controlLimits, g.controlResponses)), grantSlots: newGrantSlots(g.now), maxHold: conf.MaxGrantDuration.D(),
		now: g.now, log: log, meters: g.meters, workTimes: newWorkTimes(g.view, g.now), limits: g.limits, quotas: g.quotas,
		rights: &warmUpRights{view: g.view, cluster: g.cluster, traffic: g.traffic, now: g.now},
	}
	g.elector = &leaderElector{
		store: store, calls: g.storeCalls, cluster: g.cluster, follower: g.follower, watcher: g.watcher,
		assignments: g.assignments, now: g.now, log: log, initialRank: firstRank(conf),
		promises: newPromises(g.now), maxHold: conf.MaxGrantDuration.D(), cutOff: g.reach.cutOff.Load, meters: g.meters,
	}
	g.assignments.elector = g.elector
	g.assignments.placements = &placements{
		store: store, assignments: g.assignments, elector: g.elector, cluster: g.cluster, evac: evac, suspects: g.suspects, unread: unread,
		watches: g.watcher.ages, now: g.now, log: log,
	}
	g.watcher.drained, g.watcher.announcedLeaving = g.assignments.placements.drained, g.assignments.reportedLeaving
	g.follower.setOwnReport = g.assignments.setOwnReport
	g.proxy = &proxy{
		view: g.view, traffic: g.traffic, splitter: routing.NewSplitter(), conns: g.conns, now: g.now,
		log: log, meters: g.meters, domain: conf.Domain, ownerGaps: g.ownerGaps, limits: g.limits, suspects: g.suspects, unread: unread, openRequests: newOpenRequests(),
		maxWriteStall: maxWriteStall,
		bytes:         bytebudget.New(byteLimits(conf), mathrand.New(mathrand.NewPCG(seeds[1]+1, seeds[0]))), configurationAge: g.configurationAge,
		revocationTimeout: conf.RevocationTimeout.D(), quotas: g.quotas,
		leaderSilence: g.leaderSilence,
		forward:       newForwarder(g.reach, g.cluster, g.newPool(forwardLimits, g.responses), g.now, log, g.meters, mathrand.New(mathrand.NewPCG(seeds[0]+3, seeds[1]))),
		startup:       &startup{view: g.view, now: g.now, startedAt: g.now(), storeUnavailable: g.storeCalls.unavailable, log: log, meters: g.meters},
	}
	g.clock.OnSuspended(g.handleWakeUp)
	return g
}

// localAddress returns the local address of connections from an IP address that the settings have
// checked; nil if it is empty.
func localAddress(ip string) net.Addr {
	if ip == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(ip)}
}

// limitsChanged applies a change of an upstream's announced limit here at once, and passes it
// on to the gateways that report to this one.
func (g *Gateway) limitsChanged() {
	g.traffic.setLimits(g.limits.inForce(g.cluster.limitedDemandElsewhere))
	g.view.notify()
}

// leaderSilence returns for how long this gateway has not heard from a leader, zero while it leads.
func (g *Gateway) leaderSilence() time.Duration {
	if g.elector.mayAct() {
		return 0
	}
	lost, _, _ := g.follower.leaderSilence()
	return lost
}

// firstRank returns the gateway's rank among those that try to acquire the lease at the first
// start: the seeds in their order, then all others.
func firstRank(conf settings.Gateway) int {
	for i, s := range conf.Seeds {
		if s == conf.Peers {
			return i
		}
	}
	return len(conf.Seeds) + 1
}

// incarnation returns a random ID for this start of the process.
func incarnation() string {
	var b [8]byte
	// crypto/rand documents that its source never fails.
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(g.conf.MemoryMB) * megabyte))
	tracer, flush, err := telemetry.NewTracer(ctx, g.conf.Trace, "rockcroft-gateway")
	if err != nil {
		return err
	}
	defer func() {
		if err := flush(context.Background()); err != nil {
			g.log.Warn("trace spans not exported", "error", err)
		}
	}()
	g.proxy.tracer = tracer
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
		server := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout}
		context.AfterFunc(work, func() { _ = server.Close() })
		go func() { failed <- fmt.Errorf("%s: %w", name, server.Serve(l)) }()
	}
	serve("ready", g.listeners.Ready, g.readyHandler())
	serve("peers", writeCountingListener{g.listeners.Peers, g.meters.counter(newsBytesOut)}, g.peerHandler())
	serve("metrics", g.listeners.Metrics, g.metricsHandler())
	g.log.Info("started", "pid", os.Getpid(), "incarnation", g.cluster.self.Incarnation,
		"version", version(), "settings", settingsDigest(g.conf))
	var loops sync.WaitGroup
	loops.Go(func() { g.follower.run(work) })
	loops.Go(func() { g.follower.fetcher.run(work) })
	loops.Go(func() { g.elector.run(work) })
	loops.Go(func() { g.elector.runExtensions(work) })
	loops.Go(func() { g.traffic.run(work) })
	loops.Go(func() { g.closeIdleConnections(work) })
	loops.Go(func() { g.reach.run(work) })
	loops.Go(func() { g.logHangups(work, hangups) })
	loops.Go(func() { g.proxy.startup.logReady(work, g.ready) })
	server := &callerServer{handler: g.proxy, listener: g.listeners.Callers, log: g.log}
	go func() { failed <- fmt.Errorf("callers: %w", server.serve(work, g.view)) }()
	select {
	case err = <-failed:
		g.log.Error("a listener failed", "error", err)
		g.stop(server, err.Error())
	case <-ctx.Done():
		g.stop(server, context.Cause(ctx).Error())
	case <-g.killed:
		server.close()
	}
	stopWork()
	loops.Wait()
	g.assignments.stopAndWait()
	return err
}

// logHangups logs on SIGHUP that the settings file has changed. All settings apply at the start
// of the process, so the next start uses them.
func (g *Gateway) logHangups(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-hangups:
			g.log.Info("settings have changed; they take effect at the next start")
		case <-ctx.Done():
			return
		}
	}
}

// version returns the version of the module that the program was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// settingsDigest returns a hash of the settings, to distinguish different settings in logs.
func settingsDigest(conf settings.Gateway) string {
	data, err := json.Marshal(conf)
	if err != nil {
		return "unknown"
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// stop stops the gateway gracefully. It reports itself as not ready at once and releases the lease
// in parallel. Connections are closed only after the load balancer has had time to detect this and
// the requests in progress have ended. The cause is logged.
func (g *Gateway) stop(server *callerServer, cause string) {
	began := g.now()
	g.draining.Store(true)
	g.proxy.draining.Store(true)
	g.log.Info("stopping", "cause", cause)
	ctx, cancel := context.WithTimeout(context.Background(), g.conf.StopLimit.D()-stopReserve)
	defer cancel()
	var resigning sync.WaitGroup
	resigning.Go(func() { g.elector.resign(ctx) })
	pause(ctx, began.Add(g.conf.DrainNotice.D()).Sub(g.now()))
	if err := server.shutdown(ctx); err != nil {
		g.log.Warn("requests aborted because the stop took too long", "error", err)
		server.close()
	}
	g.proxy.awaitForwarded(ctx)
	resigning.Wait()
	g.log.Info("stopped", "took_ms", g.now().Sub(began).Milliseconds())
}

// closeIdleConnections closes upstream connections that were idle for too long, until ctx ends.
func (g *Gateway) closeIdleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, idleCheckInterval)
		g.clock.Check()
		g.conns.Expire()
	}
}
