package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/coordination/currency"
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// minReportInterval and maxReportInterval bound the time between reports to the leader, which
	// holds each report for that long unless there are changes to answer with. Between the bounds
	// the interval grows with the number of gateways by reportIntervalPerGateway, as the leader
	// answers all of them. More frequent reports give a better picture of what other gateways have
	// in flight.
	minReportInterval        = 100 * time.Millisecond
	maxReportInterval        = 250 * time.Millisecond
	reportIntervalPerGateway = time.Millisecond
	// headReportInterval bounds it for gateways that others report through. What they pass on becomes
	// older with each of them, and the ages on a way must stay below leaderSilenceTimeout.
	headReportInterval = 150 * time.Millisecond
	// farHeadReportInterval is the same in another region than the leader's, where a way has one more
	// step.
	farHeadReportInterval = 100 * time.Millisecond
	// reportTimeout is how much longer than that the response to a report may take.
	reportTimeout = 400 * time.Millisecond
	// immediateResponse is the time within which a response counts as immediate, which shows that
	// there were updates. immediateResponsePause is the time to the next report in that case.
	immediateResponse      = 50 * time.Millisecond
	immediateResponsePause = 25 * time.Millisecond
	// leaderSilenceTimeout is how long a gateway has no contact with a leader before it watches the
	// store itself.
	leaderSilenceTimeout = 700 * time.Millisecond
)

// follower keeps contact with the leader, directly or through another gateway: it reports what
// this gateway observes and applies the cluster state that it receives.
type follower struct {
	view    *view
	cluster *cluster
	traffic *traffic
	seeds   []string
	// isSeed is set when this gateway is itself one of the seeds.
	isSeed bool
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	evac   *evacuations
	// validator drops implausible statements of other gateways about upstreams.
	validator *peerValidator
	// fetcher fetches state that is too large for the response to a report.
	fetcher *fetcher
	// setOwnReport stores this process's own report, for the gateways that report to it.
	setOwnReport func(*localReport)
	// limits are the request limits that upstreams announce.
	limits *namedLimits
	// suspects are requests suspected of crashing upstreams.
	suspects *suspects
	quotas   *teamQuotas
	// lag is since when the parent has had upstreams that this gateway lacks.
	lag currency.Lag

	mu sync.Mutex
	// startedAt is when this process began to follow. leaderHeardAt is when it last heard from a
	// leader; zero before the first time.
	startedAt     time.Time
	leaderHeardAt time.Time
	// updatedAt is how recent the cluster state is that other gateways have sent to this one.
	updatedAt time.Time
	// domainPeersAhead is the number of gateways in the own failure domain that rank before this
	// one: all of them, or only those that answered the last search for a leader.
	domainPeersAhead int
	// leaderRefused is set when the leader's address refuses connections.
	leaderRefused bool
	// leaderResigned is set when the known leader answers but no longer leads.
	leaderResigned bool
	// failing is the current run of failed reports to parents.
	failing reportFailures
	// configFreshness is until when other gateways knew the configuration in force to be the newest.
	// announcedConfig is the newest configuration that another gateway named and that was not in
	// force here at that time.
	configFreshness freshness
	announcedConfig announcedConfiguration
	// wantFullConfig is set when the last configuration difference could not be decoded.
	wantFullConfig bool
	// wantAllUpstreams is set when the last difference of the upstreams could not be applied.
	wantAllUpstreams bool
}

// reportInterval returns the time between reports for the given number of gateways.
func reportInterval(gateways int) time.Duration {
	return min(max(minReportInterval, time.Duration(gateways)*reportIntervalPerGateway), maxReportInterval)
}

// reportInterval returns the time between the reports of this gateway.
func (c *cluster) reportInterval() time.Duration {
	interval := reportInterval(c.gatewayCount())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.children) == 0:
		return interval
	case c.regions[c.self.Domain] != "" && c.leader != nil && c.regions[c.leader.Member.Domain] != c.regions[c.self.Domain]:
		return min(interval, farHeadReportInterval)
	}
	return min(interval, headReportInterval)
}

// run follows the leader until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := f.cluster.reportInterval()
		if f.cluster.isLeading() {
			f.recordLeaderHeard()
			pause(ctx, interval)
			continue
		}
		if parent := f.cluster.parent(); parent != "" {
			ok, answered := f.report(ctx, parent, interval)
			if ok {
				continue
			}
			if l := f.cluster.knownLeader(); !answered && l.Member.Address != parent {
				f.cluster.avoid(parent)
				if ok, _ = f.report(ctx, l.Member.Address, interval); ok {
					continue
				}
			}
		}
		if !f.seekLeader(ctx) {
			pause(ctx, seekInterval(f.cluster.domainGateways()))
		}
	}
}

// report sends a report to a gateway and applies the response. It returns whether that gateway
// leads or has recently heard from the leader, and whether it answered at all.
func (f *follower) report(ctx context.Context, address string, wait time.Duration) (ok, answered bool) {
	limited, cancel := context.WithTimeout(ctx, wait+reportTimeout)
	defer cancel()
	began := f.now()
	request := f.request(wait)
	f.cluster.setFollowers(address, request)
	resp, err := f.cluster.client(address).Sync(limited, request)
	if ctx.Err() == nil {
		// A report that ends with ctx was cancelled because this process stops.
		f.recordReport(address, reportError(resp, err), f.now().Sub(began))
	}
	if err != nil {
		f.quotas.recordUses(request.TeamUses)
		f.mu.Lock()
		f.leaderRefused = errors.Is(err, syscall.ECONNREFUSED)
		f.mu.Unlock()
		if errors.Is(err, context.DeadlineExceeded) {
			// Several connections can go silent together without a reset. Each of the others to that
			// gateway would cost one more failed report.
			f.cluster.http.CloseIdleConnections()
		}
		return false, false
	}
	f.recordDoubt(resp)
	f.applyResponse(address, resp, began)
	f.view.confirmRevision(resp.InstancesVersion, resp.InstancesRevision)
	f.recordLag(address, resp)
	f.recordCurrent(resp)
	f.cluster.confirmFollowers(address, resp.FollowersDigest)
	age := time.Duration(resp.HeardMs) * time.Millisecond
	f.mu.Lock()
	f.leaderRefused, f.leaderResigned = false, resp.Leader != nil && resp.Leader.Member.Address == address && !resp.Leading
	if at := f.now().Add(-age); age < leaderSilenceTimeout && at.After(f.leaderHeardAt) {
		f.leaderHeardAt = at
		f.domainPeersAhead = f.cluster.strongerInDomain()
	}
	f.mu.Unlock()
	f.recordUpdate(resp)
	if age >= leaderSilenceTimeout {
		return false, true
	}
	f.applyFleet(resp.Fleet)
	f.cluster.setParentDemands(resp.Demands)
	f.cluster.setParentHotKeys(resp.HotKeys)
	resp.Limits = f.validator.validLimits(sourceUpdate, resp.Limits)
	f.cluster.setParentLimitedDemand(resp.Limits)
	f.cluster.setParentOwnerDemand(f.validator.validOwnerDemands(sourceUpdate, resp.OwnerDemands))
	f.limits.recordFromGateway(resp.Limits)
	f.suspects.applyMessage(resp.Suspects)
	f.quotas.apply(resp.TeamLimits)
	f.cluster.setParentRights(decodeRights(resp.Rights), f.now().Add(-time.Duration(resp.RightsMs)*time.Millisecond))
	f.shareLoads(int(resp.Gateways))
	if f.now().Sub(began) < immediateResponse {
		// The response was immediate: pause briefly before the next report.
		pause(ctx, immediateResponsePause)
	}
	return true, true
}

// recordDoubt records, before the upstreams in a parent's response are applied, since when the parent may
// have lacked changes.
func (f *follower) recordDoubt(resp *syncpb.SyncResponse) {
	if resp.HeardMs < milliseconds(leaderSilenceTimeout) {
		now := f.now()
		f.traffic.currency.Doubt(now, now.Add(-time.Duration(resp.NewsMs)*time.Millisecond))
	}
}

// recordCurrent records, after a parent's response was applied, until when the view of the upstreams is
// known to be complete. While they are fetched as a part, or the parent has some that it did not send, it is
// not.
func (f *follower) recordCurrent(resp *syncpb.SyncResponse) {
	if resp.HeardMs >= milliseconds(leaderSilenceTimeout) || f.fetcher.isFetching(partUpstreams) || f.lacksUpstreams(resp) {
		return
	}
	now, age := f.now(), time.Duration(max(resp.HeardMs, resp.NewsMs))*time.Millisecond
	f.traffic.currency.Confirm(now, now.Add(-age))
}

// applyFleet applies what the parent sent about the requests that other gateways have in flight,
// if anything.
func (f *follower) applyFleet(m *syncpb.Fleet) {
	if m == nil {
		return
	}
	if loads, works, ok := f.view.decodeFleet(m); ok {
		f.cluster.setParentLoads(loads, works)
	}
}

// needsFullConfig reports whether the next configuration must be sent in full.
func (f *follower) needsFullConfig() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantFullConfig
}

// needsAllUpstreams reports whether the next upstreams must be sent in full.
func (f *follower) needsAllUpstreams() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantAllUpstreams
}

func (f *follower) setWantAllUpstreams(want bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantAllUpstreams = want
}

// shareLoads passes to request dispatch what all other gateways have in flight: those above this
// one in the reporting tree and those that report to it.
func (f *follower) shareLoads(gateways int) {
	self := f.cluster.self.Node
	rights, named := f.cluster.parentRights()
	f.traffic.applyReport(dispatch.ClusterReport{
		InFlight: f.cluster.inFlightElsewhere(), Rejected: f.cluster.rejectedElsewhere(), WorkTimes: f.cluster.workTimesFromParent(), Gateways: gateways,
		Rights: heldRights(f.view.inst.Load(), rights, named, self), Limits: f.limits.inForce(f.cluster.limitedDemandElsewhere),
		OwnerDemands: f.cluster.ownerDemandElsewhere(),
	}, f.cluster.demandExcept(self, nil), decodeHotKeys(f.cluster.parentHotKeys()))
}

// request builds a report.
func (f *follower) request(wait time.Duration) *syncpb.SyncRequest {
	evacuated := f.view.evac.Load()
	r := &syncpb.SyncRequest{
		Member: f.cluster.selfMember(evacuated.Revision()), SpansVersions: make(map[string]uint64),
		WaitMs: uint32(wait.Milliseconds()), Evacuations: evacuationMessages(evacuated),
	}
	config := f.view.configuration()
	r.ConfigRevision = config.revision
	r.InstancesRevision, r.InstancesVersion = f.view.upstreamsVersion()
	r.FollowersInstancesRevision = f.cluster.reportedRevision()
	r.InstancesBehindMs = milliseconds(f.lag.Age(f.now()))
	if f.needsAllUpstreams() {
		r.InstancesVersion = 0
	}
	if !f.needsFullConfig() {
		r.ConfigDigest = config.digest
	}
	r.Fetching = f.fetcher.fetching()
	for name, t := range *f.view.owners.Load() {
		r.SpansVersions[name] = t.Version
	}
	r.MembersVersion = f.cluster.membersVersion()
	if wait == 0 {
		return r
	}
	own := f.traffic.takeReport()
	f.setOwnReport(own)
	r.Demands = encodeDemands(f.cluster.subtreeDemand(own.demand))
	r.Limits = f.limits.encode(func(upstream string) float64 { return f.cluster.subtreeLimitedDemand(own.limitedDemand, upstream) })
	r.OwnerDemands = encodeOwnerDemands(f.cluster.subtreeOwnerDemand(own.ownerDemand))
	r.Suspects = f.suspects.message()
	r.TeamUses = f.quotas.takeUses()
	f.cluster.addRuns(own.loads)
	r.Loads = mergeRuns(f.cluster.subtreeLoads(own.loads), f.cluster.takeRuns())
	for name, list := range own.keys {
		r.Keys = append(r.Keys, encodeKeys(name, list))
	}
	return r
}

// recordUpdate records how recent the state is that another gateway sent.
func (f *follower) recordUpdate(resp *syncpb.SyncResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(resp.NewsMs) * time.Millisecond
	if at := f.now().Add(-age); age < leaderSilenceTimeout && at.After(f.updatedAt) {
		f.updatedAt = at
	}
}

func (f *follower) recordLeaderHeard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaderHeardAt = f.now()
}

// leaderSilence returns how long no leader has answered, whether the address of the known leader
// refuses connections, and whether it answers but no longer leads.
func (f *follower) leaderSilence() (lost time.Duration, refused, resigned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(laterOf(f.startedAt, f.leaderHeardAt)), f.leaderRefused, f.leaderResigned
}

// sinceLeaderHeard returns how long ago this process heard from a leader; a very long time if it
// never did.
func (f *follower) sinceLeaderHeard() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.leaderHeardAt)
}

// needsStore reports whether this gateway must watch the store itself because it has received no
// cluster state for a while, or not the upstreams that its parent has. Gateways that know of peers
// ranked before them in their failure domain give these a head start and then receive the state from
// them, so that the loss of a leader does not send all gateways to the store at once. watched is when
// this gateway's own watch last had a response.
func (f *follower) needsStore(watched time.Time) bool {
	now := f.now()
	if f.lag.Age(now) > leaderSilenceTimeout && !f.fetcher.isFetching(partUpstreams) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := leaderSilenceTimeout + time.Duration(min(f.domainPeersAhead, maxDomainPeersAsked))*headStartPerPeer
	if f.view.table.Load() == nil && f.updatedAt.IsZero() {
		// This process has just started, and none of the gateways asked has state to offer.
		wait = f.startupWait()
	}
	if !watched.IsZero() && now.Sub(watched) < watchActiveTime {
		// The watch has begun: continue it until a leader is heard again.
		return now.Sub(f.leaderHeardAt) > leaderSilenceTimeout
	}
	return now.Sub(laterOf(f.startedAt, laterOf(f.leaderHeardAt, f.updatedAt))) > wait
}

const (
	// headStartPerPeer is how much longer a gateway waits for each peer ranked before it: the time
	// to list everything and to pass the result on.
	headStartPerPeer = 400 * time.Millisecond
	// startupPeerWait is how long a seed that has just started asks other gateways before it reads
	// its view from the store. Every gateway waits this long after its start before it reads the
	// lease, which may belong to the previous process at its address.
	startupPeerWait = 100 * time.Millisecond
	// seedHeadStart is how much longer the other gateways wait, which ask the seeds. It is the time
	// to list some hundred upstreams in pages of fifty, and to be asked again.
	seedHeadStart = 300 * time.Millisecond
	// watchActiveTime is how long after its last response a watch counts as active.
	watchActiveTime = watchWait + storeTimeout
)

// startupWait returns how long this gateway asks others after its start before it reads its view
// from the store. After all gateways were killed at once, the seeds read the store first and the
// rest learn from them. Otherwise each of a hundred gateways would list all upstreams.
func (f *follower) startupWait() time.Duration {
	if f.isSeed || len(f.seeds) == 0 {
		return startupPeerWait
	}
	return startupPeerWait + seedHeadStart
}

// startedAlone reports whether this gateway has just started and none of the gateways asked has
// state to offer.
func (f *follower) startedAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updatedAt.IsZero() && f.leaderHeardAt.IsZero() && f.now().Sub(f.startedAt) > startupPeerWait
}

// maxViewAge returns the maximum age of the view.
func (f *follower) maxViewAge(watched time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(laterOf(laterOf(f.leaderHeardAt, f.updatedAt), watched))
}
