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
	"github.com/rockcroft/rockcroft/state/spans"
)

// mostWait bounds how long a report waits for changes before it is answered.
const mostWait = time.Second

// peerServer serves the other gateways.
type peerServer struct {
	view    *view
	cluster *cluster
	store   *storeCaller
	steward *steward
	traffic *traffic
	// follower and watcher tell how fresh this process's view is.
	follower *follower
	watcher  *watcher
	promises *promises
	parts    *parts
	evac     *evacuations
	packer   fleetPacker
	// sieve drops what others say of upstreams that cannot be.
	sieve *sieve
	// limits are those that upstreams name.
	limits *namedLimits
	// suspects are requests that end upstreams.
	suspects *suspects
	log      *slog.Logger
}

// Sync implements syncpb.Peer.
func (p *peerServer) Sync(ctx context.Context, r *syncpb.SyncRequest) (*syncpb.SyncResponse, error) {
	if r.Member == nil || r.Member.Node == "" || r.Member.Address == "" {
		return nil, twirp.RequiredArgumentError("member")
	}
	p.evac.told(r.Evacuations)
	if r.WaitMs > 0 {
		r.Loads = p.sieve.loads(r.Loads)
		r.Limits = p.sieve.soundLimits(unsoundReport, r.Limits)
		p.limits.told(r.Limits)
		p.suspects.told(r.Suspects)
		p.cluster.reported(r, p.heardAgo() < orphanAfter)
		if p.cluster.isLeading() {
			p.steward.asked(r.Keys)
			p.steward.workTimes.note(r.Loads)
		} else {
			p.passOn(r.Keys)
			p.cluster.keepRuns(r.Loads)
		}
	}
	p.waitForNews(ctx, r)
	return p.news(r), nil
}

// passOn adds the keys that another gateway was asked for to the own report.
func (p *peerServer) passOn(counts []*syncpb.KeyCounts) {
	for _, c := range counts {
		s := p.traffic.get(c.Service)
		for _, key := range c.Keys {
			s.recordKey(uint16(min(key, spans.MaxKey)))
		}
	}
}

// waitForNews waits until something has changed that the sender does not know.
func (p *peerServer) waitForNews(ctx context.Context, r *syncpb.SyncRequest) {
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, mostWait))
	defer timer.Stop()
	for {
		changed := p.view.wait()
		if p.heardAgo() > orphanAfter || p.knowsMore(r) {
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

// heardAgo returns how long ago this process heard from the leader.
func (p *peerServer) heardAgo() time.Duration {
	if p.cluster.isLeading() {
		return 0
	}
	return p.follower.heardAgo()
}

// newsAgo returns how long ago this process had news from the leader or the
// store.
func (p *peerServer) newsAgo() time.Duration {
	if p.cluster.isLeading() {
		return 0
	}
	return p.follower.newsAge(p.watcher.ages.last())
}

// milliseconds is a time as it is told, at most an hour.
func milliseconds(d time.Duration) uint32 { return uint32(min(d, time.Hour).Milliseconds()) }

// knowsMore reports whether this process has a newer view than the sender has or is
// fetching.
func (p *peerServer) knowsMore(r *syncpb.SyncRequest) bool {
	fetching := fetchingSet(r)
	if p.lacksEvacuations(r) || p.limits.lackedBy(r.Limits) {
		return true
	}
	if !fetching[partConfiguration] && p.view.configuration().revision > r.ConfigRevision {
		return true
	}
	if !fetching[partUpstreams] && p.newerUpstreams(r) {
		return true
	}
	for name, t := range *p.view.owners.Load() {
		if !fetching[partOwners+name] && t.Version > r.SpansVersions[name] {
			return true
		}
	}
	return false
}

// lacksEvacuations reports whether this process knows of evacuations what the sender
// does not.
func (p *peerServer) lacksEvacuations(r *syncpb.SyncRequest) bool {
	theirs, _ := (*evacuation.Set)(nil).Merge(evacuationMarks(r.Evacuations))
	return !theirs.Covers(p.view.evac.Load().Marks())
}

// newerUpstreams reports whether this process has another view of upstreams than the
// sender, and one that the sender would take.
func (p *peerServer) newerUpstreams(r *syncpb.SyncRequest) bool {
	revision, version := p.view.upstreamsKnown()
	return version != r.InstancesVersion && revision >= r.InstancesRevision
}

// news builds the answer from what the sender does not know.
func (p *peerServer) news(r *syncpb.SyncRequest) *syncpb.SyncResponse {
	// The age first: a configuration that comes in between is not told as known of old.
	age := p.follower.configurationAge(p.watcher.configurationHeard())
	resp := &syncpb.SyncResponse{
		Leader: p.cluster.knownLeader(), Leading: p.cluster.isLeading(),
		HeardMs: milliseconds(p.heardAgo()), NewsMs: milliseconds(p.newsAgo()),
		ConfigMs: milliseconds(age), ConfigRevision: p.view.configuration().revision,
	}
	if p.lacksEvacuations(r) {
		resp.Evacuations = evacuationMessages(p.view.evac.Load())
	}
	p.tell(r, resp)
	if r.WaitMs == 0 {
		return resp
	}
	resp.Fleet = p.fleet(r)
	resp.Demands = demandMessages(p.cluster.demandElsewhere(r.Member.Node, p.steward.lastOwn().demand))
	resp.Gateways = uint32(p.cluster.gateways())
	resp.HotKeys = p.hotKeys()
	resp.Limits = p.namedLimits(r.Member.Node)
	resp.Suspects = p.suspects.messages()
	resp.Rights, resp.RightsMs = p.rights(r)
	resp.MembersVersion = r.MembersVersion
	if p.cluster.membersVersion() != r.MembersVersion {
		resp.Members, resp.MembersVersion = p.cluster.list()
	}
	return resp
}

// fleet returns what all gateways but the sender and those behind it have in flight, for the
// view of upstreams that the sender has; nil when it was told a moment ago.
func (p *peerServer) fleet(r *syncpb.SyncRequest) *syncpb.Fleet {
	v := p.view.formerInstances(r.InstancesVersion)
	if v == nil {
		return nil
	}
	fleet, works := p.cluster.tellFleet(r.Member.Node, v.Len())
	if !fleet {
		return nil
	}
	return p.packer.pack(p.cluster.sum(p.steward.lastOwn().loads), r.Member.Node, v, r.InstancesVersion, p.works(), works)
}

// works returns the mean times of a run as all gateways have seen them.
func (p *peerServer) works() map[string]worktime.Estimate {
	if p.cluster.isLeading() {
		return p.steward.workTimes.all()
	}
	return p.cluster.worksAbove()
}

// namedLimits tells the limits that upstreams name, and what all gateways but the node and those
// behind it are asked for.
func (p *peerServer) namedLimits(node string) []*syncpb.NamedLimit {
	own := p.steward.lastOwn().limitedDemand
	return p.limits.messages(func(upstream string) float64 {
		wanted, _ := p.cluster.wantedElsewhere(node, own, upstream)
		return wanted
	})
}

// hotKeys returns the limits of hot keys, as this leader decides or as it was told them.
func (p *peerServer) hotKeys() []*syncpb.HotKeys {
	if p.cluster.isLeading() {
		return p.steward.hotKeys.messages()
	}
	return p.cluster.hotKeysAbove()
}

// rights returns the rights of the sender and of those that report through it, and how long
// ago the leader named them.
func (p *peerServer) rights(r *syncpb.SyncRequest) ([]*syncpb.Right, uint32) {
	nodes := map[string]bool{r.Member.Node: true}
	for _, m := range r.Followers {
		nodes[m.Node] = true
	}
	all, named := p.cluster.rightsAbove()
	if p.cluster.isLeading() {
		all, named = p.steward.rights.all()
	}
	return rightMessages(all, nodes), milliseconds(p.follower.now().Sub(named))
}

// Relay implements syncpb.Peer. The answer is sent when the whole has come from the store.
func (p *peerServer) Relay(ctx context.Context, r *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	c, ok := relayed(r)
	if !ok {
		return nil, twirp.InvalidArgumentError("target", "is no path of the store")
	}
	status, body, err := p.store.direct(ctx, c)
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
			SilentMs: uint32(l.Silent.Milliseconds()), Refused: l.Refused, Leaving: l.Leaving,
		}
		if l.Rest > 0 {
			m.Resting, m.RestMs = 1, milliseconds(l.Rest)
		}
		setRuns(m, l.Runs)
		out = append(out, m)
	}
	return out
}

// Promise implements syncpb.Peer.
func (p *peerServer) Promise(_ context.Context, r *syncpb.PromiseRequest) (*syncpb.PromiseResponse, error) {
	return p.promises.answer(r), nil
}
