package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
)

// maxWait bounds how long the response to a report is delayed while there are no changes to send.
const maxWait = time.Second

// peerServer implements the RPC service for the other gateways.
type peerServer struct {
	view        *view
	cluster     *cluster
	store       *storeCaller
	assignments *assignmentSupervisor
	traffic     *traffic
	// follower and watcher know how old this process's view is.
	follower *follower
	watcher  *watcher
	promises *promises
	parts    *partCache
	evac     *evacuations
	encoder  fleetEncoder
	// validator drops invalid data about upstreams from reports.
	validator *peerValidator
	// limits are the named limits of upstreams.
	limits *namedLimits
	// suspects are requests suspected of crashing upstreams.
	suspects *suspects
	quotas   *teamQuotas
	log      *slog.Logger
}

// Sync implements syncpb.Peer.
func (p *peerServer) Sync(ctx context.Context, r *syncpb.SyncRequest) (*syncpb.SyncResponse, error) {
	if r.Member == nil || r.Member.Node == "" || r.Member.Address == "" {
		return nil, twirp.RequiredArgumentError("member")
	}
	p.evac.applyFromPeer(r.Evacuations)
	p.view.confirmRevision(r.InstancesVersion, r.InstancesRevision)
	var suspectsVersion uint64
	if r.WaitMs > 0 {
		r.Loads = p.validator.filterLoads(r.Loads)
		r.Limits = p.validator.validLimits(sourceReport, r.Limits)
		r.OwnerDemands = p.validator.validOwnerDemands(sourceReport, r.OwnerDemands)
		p.limits.recordFromGateway(r.Limits)
		p.suspects.applyMessage(r.Suspects)
		suspectsVersion = p.suspects.version.Load()
		p.quotas.recordUses(r.TeamUses)
		p.cluster.handleReport(r, p.leaderAge() < leaderSilenceTimeout)
		if p.cluster.isLeading() {
			p.assignments.recordRequests(r.Keys)
			p.assignments.workTimes.record(r.Loads)
		} else {
			p.forwardKeys(r.Keys)
			p.cluster.addRuns(r.Loads)
		}
	}
	p.waitForUpdates(ctx, r, suspectsVersion)
	return p.buildResponse(r), nil
}

// forwardKeys adds the keys that another gateway received requests for to this gateway's own
// report.
func (p *peerServer) forwardKeys(counts []*syncpb.KeyCounts) {
	for _, c := range counts {
		p.traffic.get(c.Service).forwardKeys(decodeKeys(c))
	}
}

// waitForUpdates waits until this process knows something that the sender of the report does not,
// but no longer than the sender asks for. suspectsVersion is that of the suspects after those of the report.
func (p *peerServer) waitForUpdates(ctx context.Context, r *syncpb.SyncRequest, suspectsVersion uint64) {
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		changed := p.view.nextChange()
		if p.leaderAge() > leaderSilenceTimeout || p.hasUpdates(r) || r.WaitMs > 0 && p.suspects.version.Load() != suspectsVersion {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// leaderAge returns how long ago this process heard from the leader.
func (p *peerServer) leaderAge() time.Duration {
	if p.cluster.isLeading() {
		return 0
	}
	return p.follower.sinceLeaderHeard()
}

// updateAge returns how long ago this process received updates from the leader or the store, or how long
// ago its view of the upstreams may have begun to lack changes.
func (p *peerServer) updateAge() time.Duration {
	now := p.follower.now()
	switch {
	case p.cluster.isLeading():
		return p.traffic.currency.Age(now, maxConfirmationInterval)
	case p.leaderAge() < leaderSilenceTimeout:
		return now.Sub(p.traffic.currency.EarliestChange(now))
	}
	return p.follower.maxViewAge(p.watcher.ages.lastHeardAny())
}

// milliseconds converts a duration for messages, capped at an hour.
func milliseconds(d time.Duration) uint32 { return uint32(min(d, time.Hour).Milliseconds()) }

// hasUpdates reports whether this process has anything newer than what the sender of the report
// has or is fetching.
func (p *peerServer) hasUpdates(r *syncpb.SyncRequest) bool {
	fetching := fetchingSet(r)
	if p.hasNewerEvacuations(r) || p.limits.hasNewerThan(r.Limits) {
		return true
	}
	if !fetching[partConfiguration] && p.view.configuration().revision > r.ConfigRevision {
		return true
	}
	if !fetching[partUpstreams] && p.hasNewerUpstreams(r) {
		return true
	}
	for name, t := range *p.view.owners.Load() {
		if !fetching[partOwners+name] && t.Version > r.SpansVersions[name] {
			return true
		}
	}
	return false
}

// hasNewerEvacuations reports whether this process knows evacuations that the sender does not.
func (p *peerServer) hasNewerEvacuations(r *syncpb.SyncRequest) bool {
	theirs, _ := (*evacuation.Set)(nil).Merge(evacuationMarks(r.Evacuations))
	return !theirs.Covers(p.view.evac.Load().Records())
}

// hasNewerUpstreams reports whether this process has another version of the upstreams than the
// sender, and one that the sender would accept.
func (p *peerServer) hasNewerUpstreams(r *syncpb.SyncRequest) bool {
	revision, version := p.view.upstreamsVersion()
	return version != r.InstancesVersion && revision >= r.InstancesRevision
}

// buildResponse builds the response to a report from what the sender does not know.
func (p *peerServer) buildResponse(r *syncpb.SyncRequest) *syncpb.SyncResponse {
	// Read the age before the revision. If a configuration arrives in between, this order reports
	// an age that is too high, never one that is too low.
	heard, confirmed := configurationAge(p.follower, p.watcher)
	resp := &syncpb.SyncResponse{
		Leader: p.cluster.knownLeader(), Leading: p.cluster.isLeading(),
		HeardMs: milliseconds(p.leaderAge()), NewsMs: milliseconds(p.updateAge()),
		ConfigMs: milliseconds(heard), ConfigConfirmedMs: milliseconds(confirmed) + 1, ConfigRevision: p.view.configuration().revision,
	}
	if revision, version := p.view.upstreamsVersion(); revision != r.InstancesRevision || version != r.InstancesVersion {
		resp.InstancesRevision, resp.InstancesVersion = revision, version
	}
	if p.hasNewerEvacuations(r) {
		resp.Evacuations = evacuationMessages(p.view.evac.Load())
	}
	p.addUpdates(r, resp)
	if r.WaitMs == 0 {
		return resp
	}
	resp.Fleet = p.fleetMessage(r)
	resp.Demands = encodeDemands(p.cluster.demandExcept(r.Member.Node, p.assignments.lastOwnReport().demand))
	resp.OwnerDemands = encodeOwnerDemands(p.cluster.ownerDemandExcept(r.Member.Node, p.assignments.lastOwnReport().ownerDemand))
	resp.Gateways = uint32(p.cluster.gatewayCount())
	resp.HotKeys = p.hotKeyMessages()
	resp.Limits = p.namedLimitMessages(r.Member.Node)
	resp.Suspects = p.suspects.message()
	resp.TeamLimits = p.quotas.limits()
	resp.FollowersDigest = p.cluster.followersOf(r.Member.Node)
	resp.Rights, resp.RightsMs = p.rightsFor(r)
	resp.MembersVersion = r.MembersVersion
	if p.cluster.membersVersion() != r.MembersVersion {
		resp.Members, resp.Domains, resp.MembersVersion = p.cluster.memberMessages()
	}
	return resp
}

// fleetMessage returns the load from all gateways except the sender and those that report through
// it, encoded for the version of the upstreams that the sender has. It returns nil if that
// version is not kept or the sender was sent such a message only a moment ago.
func (p *peerServer) fleetMessage(r *syncpb.SyncRequest) *syncpb.Fleet {
	v := p.view.previousInstances(r.InstancesVersion)
	if v == nil {
		return nil
	}
	due, withWorkTimes := p.cluster.claimFleetUpdate(r.Member.Node, v.Len())
	if !due {
		return nil
	}
	return p.encoder.encode(p.cluster.sum(p.assignments.lastOwnReport().loads), r.Member.Node, v, r.InstancesVersion, p.workTimes(), withWorkTimes)
}

// workTimes returns the mean work times by upstream, over the requests of all gateways.
func (p *peerServer) workTimes() map[string]worktime.Estimate {
	if p.cluster.isLeading() {
		return p.assignments.workTimes.estimates()
	}
	return p.cluster.workTimesFromParent()
}

// namedLimitMessages returns the named limits of upstreams, with the demand for them at all
// gateways except the node and those that report through it.
func (p *peerServer) namedLimitMessages(node string) []*syncpb.NamedLimit {
	own := p.assignments.lastOwnReport().limitedDemand
	return p.limits.encode(func(upstream string) float64 {
		demand, _ := p.cluster.limitedDemandExcept(node, own, upstream)
		return demand
	})
}

// hotKeyMessages returns the limits of hot keys: this gateway's own decisions if it leads,
// otherwise those received from the parent.
func (p *peerServer) hotKeyMessages() []*syncpb.HotKeys {
	if p.cluster.isLeading() {
		return p.assignments.hotKeys.encode()
	}
	return p.cluster.parentHotKeys()
}

// rightsFor returns the warm-up rights of the sender and of the gateways that report through it,
// and how long ago the leader issued them.
func (p *peerServer) rightsFor(r *syncpb.SyncRequest) ([]*syncpb.Right, uint32) {
	nodes := p.cluster.subtreeOf(r.Member.Node)
	all, named := p.cluster.parentRights()
	if p.cluster.isLeading() {
		all, named = p.assignments.rights.current()
	}
	return encodeRights(all, nodes), milliseconds(p.follower.now().Sub(named))
}

// Relay implements syncpb.Peer. It answers only after the complete response has arrived from the
// store.
func (p *peerServer) Relay(ctx context.Context, r *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	c, ok := relayedCall(r)
	if !ok {
		return nil, twirp.InvalidArgumentError("target", "is no path of the store")
	}
	status, body, err := p.store.callDirect(ctx, c)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &syncpb.RelayResponse{Status: uint32(status), Body: body}, nil
}

func loadMessages(loads []dispatch.Load) []*syncpb.Load {
	out := make([]*syncpb.Load, 0, len(loads))
	for _, l := range loads {
		m := &syncpb.Load{
			Instance: l.Instance, Incarnation: uint32(l.Incarnation), Inflight: float32(l.Inflight),
			SilentMs: uint32(l.Silent.Milliseconds()), Refused: l.Refused, Leaving: l.Leaving, RejectedMs: milliseconds(l.Rejected),
		}
		if l.Rest > 0 {
			m.Resting, m.RestMs = 1, milliseconds(l.Rest)
		}
		encodeRuns(m, l.Runs)
		out = append(out, m)
	}
	return out
}

// Promise implements syncpb.Peer.
func (p *peerServer) Promise(_ context.Context, r *syncpb.PromiseRequest) (*syncpb.PromiseResponse, error) {
	return p.promises.handle(r), nil
}
