package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/reach"
	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// memberExpiry is how long a gateway that does not report stays a member.
	memberExpiry = 2500 * time.Millisecond
	// reportExpiry is how long the load in a gateway's last report is counted.
	reportExpiry = 900 * time.Millisecond
)

// cluster holds what this process knows of the other gateways. Each gateway reports to one other,
// its parent: the leader or, in large deployments, the head of its failure domain, which is the
// strongest gateway there and reports for the others. The leader learns of all gateways from the
// reports; the others learn of them from the leader.
type cluster struct {
	self *syncpb.Member
	now  func() time.Time
	http *http.Client
	// regions are the regions of the failure domains.
	regions map[string]string

	mu      sync.Mutex
	leader  *syncpb.Leader
	leading bool
	// children are the gateways that report to this one, by node.
	children map[string]*child
	// members are other gateways, by node: all of them in the leader, elsewhere the strongest of each
	// failure domain. domainSizes is how many gateways each domain has; it is nil in the leader.
	members     map[string]*syncpb.Member
	domainSizes map[string]int
	version     uint64
	// confirmedFollowers is the digest of this gateway's followers that each gateway has confirmed to
	// have, by address.
	confirmedFollowers map[string]uint64
	// listed are the members and the domain sizes that other gateways are told, as of listedVersion.
	listed        *memberList
	listedVersion uint64
	// live are the leader's members as of liveAt.
	live   *memberList
	liveAt time.Time
	// membersChanged is set if the leader's list has changed since the current version, which was
	// made at membersListed.
	membersChanged bool
	membersListed  time.Time
	// cachedSum is the last computed sum of the load from all gateways.
	cachedSum *fleetSum
	// parentLoads are the requests in flight from the gateways that do not report to this one, as
	// received from the parent; parentDemands are the requests those gateways receive.
	parentLoads []*syncpb.Load
	// parentLoadsAt is when parentLoads were received.
	parentLoadsAt time.Time
	// parentWorkTimes are the work times received from the parent, by upstream. The map is
	// replaced, never modified.
	parentWorkTimes map[string]worktime.Estimate
	// hotKeys are the hot keys received from the parent.
	hotKeys []*syncpb.HotKeys
	// rights are the warm-up rights received from the parent, which the leader issued at
	// rightsIssued.
	rights       []warmup.Right
	rightsIssued time.Time
	// runs are the runs seen by the gateways that report to this one since its own last report,
	// by upstream.
	runs          map[string]worktime.Sum
	parentDemands []*syncpb.Demand
	// parentLimitedDemand is the rate of requests, per second, that the other gateways receive for
	// upstreams that announce a limit, by upstream, as received from the parent.
	parentLimitedDemand map[string]float64
	// parentOwnerDemand is the same for contended owners of keys.
	parentOwnerDemand map[string]float64
	// expected is the number of gateways under the previous leader, some of which may not have
	// reported yet. It applies until expectedUntil.
	expected      int
	expectedUntil time.Time
	// avoidedUntil holds the heads of this failure domain that did not answer, and until when
	// each is skipped.
	avoidedUntil map[string]time.Time
	clients      map[string]syncpb.Peer
	rng          *rand.Rand
}

// child is a gateway that reports to this one, with its last report.
type child struct {
	*syncpb.Member
	// since is when it began to report to this one without a long interruption.
	since, lastReport time.Time
	// fleetSent is when it was last sent the load from other gateways, workTimesSent when it was
	// last sent work times.
	fleetSent, workTimesSent time.Time
	loads                    []*syncpb.Load
	demands                  []*syncpb.Demand
	// limitedDemand is the rate of requests, per second, that it receives for each upstream that
	// announces a limit.
	limitedDemand map[string]float64
	// ownerDemand is the same for contended owners of keys.
	ownerDemand map[string]float64
	followers   []*syncpb.Member
	// followersDigest is the digest of followers as the gateway stated it; zero if it stated none.
	followersDigest uint64
	// upstreamsRevision is the highest revision of the upstreams at the gateway and at those that report
	// through it.
	upstreamsRevision uint64
}

func newCluster(self *syncpb.Member, client *http.Client, now func() time.Time, rng *rand.Rand) *cluster {
	return &cluster{
		self: self, now: now, http: client, rng: rng,
		children: make(map[string]*child), members: make(map[string]*syncpb.Member),
		runs: make(map[string]worktime.Sum), avoidedUntil: make(map[string]time.Time), confirmedFollowers: make(map[string]uint64), clients: make(map[string]syncpb.Peer),
	}
}

// selfMember returns this gateway's member entry for its reports, with the highest revision of
// the evacuations that it knows.
func (c *cluster) selfMember(evacuations uint64) *syncpb.Member {
	return &syncpb.Member{
		Node: c.self.Node, Address: c.self.Address, Domain: c.self.Domain, Incarnation: c.self.Incarnation,
		Strength: c.self.Strength, EvacuationsRevision: evacuations,
	}
}

// client returns the client for the gateway at the address.
func (c *cluster) client(address string) syncpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLocked(address)
}

func (c *cluster) clientLocked(address string) syncpb.Peer {
	p := c.clients[address]
	if p == nil {
		p = syncpb.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = p
	}
	return p
}

// handleReport stores the report of another gateway. The report is ignored unless leaderHeard is
// set, that is, unless this gateway leads or is in contact with the leader: otherwise no gateway
// may report through it.
func (c *cluster) handleReport(r *syncpb.SyncRequest, leaderHeard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leaderHeard || r.Member.Node == c.self.Node {
		return
	}
	next := &child{Member: r.Member, since: c.now(), lastReport: c.now(), loads: r.Loads, demands: r.Demands, followers: r.Followers, followersDigest: r.FollowersDigest, limitedDemand: decodeLimitedDemand(r.Limits), ownerDemand: decodeOwnerDemands(r.OwnerDemands), upstreamsRevision: max(r.InstancesRevision, r.FollowersInstancesRevision)}
	previous := c.children[r.Member.Node]
	if previous != nil {
		next.keepFrom(previous)
		next.fleetSent, next.workTimesSent = previous.fleetSent, previous.workTimesSent
	}
	c.children[r.Member.Node] = next
	if c.leading && (previous == nil || !next.sameMembers(previous)) {
		c.rebuildMembers()
	}
}

// reportedRevision returns the highest revision of the upstreams at the gateways that report to this one,
// directly or through others.
func (c *cluster) reportedRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := uint64(0)
	for _, child := range c.children {
		if c.now().Sub(child.lastReport) < reportExpiry {
			newest = max(newest, child.upstreamsRevision)
		}
	}
	return newest
}

// setParentLoads stores the other gateways' requests in flight, as received from the parent, and
// the work times if the parent sent them.
func (c *cluster) setParentLoads(loads []*syncpb.Load, workTimes map[string]worktime.Estimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentLoads, c.parentLoadsAt = loads, c.now()
	if workTimes != nil {
		c.parentWorkTimes = workTimes
	}
}

// setParentDemands stores the demand at the other gateways, as received from the parent.
func (c *cluster) setParentDemands(demands []*syncpb.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentDemands = demands
}

// avoid keeps the gateway at the address from being chosen as head for avoidDuration.
func (c *cluster) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, m := range c.members {
		if m.Address == address {
			c.avoidedUntil[node] = c.now().Add(avoidDuration)
		}
	}
}

// avoidDuration is how long a head that did not answer is skipped.
const avoidDuration = 3 * time.Second

// inFlightElsewhere returns the number of requests in flight from all other gateways, by
// upstream.
func (c *cluster) inFlightElsewhere() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]*syncpb.Load)
	c.forEachLoads(func(loads []*syncpb.Load, age time.Duration) { addLoads(sum, loads, age) })
	others := make(map[string]float64, len(sum))
	for id, l := range sum {
		others[id] = float64(l.Inflight)
	}
	return others
}

// forEachLoads calls visit with the loads from all other gateways, as received from the children and the
// parent, and the time since then. The lock is held.
func (c *cluster) forEachLoads(visit func(loads []*syncpb.Load, age time.Duration)) {
	now := c.now()
	for _, child := range c.children {
		if age := now.Sub(child.lastReport); age < reportExpiry {
			visit(child.loads, age)
		}
	}
	if !c.leading {
		visit(c.parentLoads, now.Sub(c.parentLoadsAt))
	}
}

// subtreeLoads returns the load from this gateway and from those that report to it, by upstream.
func (c *cluster) subtreeLoads(own []*syncpb.Load) map[string]*syncpb.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]*syncpb.Load)
	addLoads(sum, own, 0)
	for _, child := range c.children {
		if c.now().Sub(child.lastReport) < reportExpiry {
			addLoads(sum, child.loads, c.now().Sub(child.lastReport))
		}
	}
	return sum
}

// addLoads adds loads that were received the given time ago.
func addLoads(sum map[string]*syncpb.Load, loads []*syncpb.Load, age time.Duration) {
	for _, l := range loads {
		s := sum[l.Instance]
		if s == nil {
			s = &syncpb.Load{Instance: l.Instance, Incarnation: l.Incarnation}
			sum[l.Instance] = s
		}
		s.Inflight += l.Inflight
		s.SilentMs = max(s.SilentMs, l.SilentMs)
		s.Refused = s.Refused || l.Refused
		s.Leaving = s.Leaving || l.Leaving
		s.Resting += l.Resting
		s.RestMs = max(s.RestMs, l.RestMs)
		if ms := agedRejection(l, age); ms > 0 && (s.RejectedMs == 0 || ms < s.RejectedMs) {
			s.RejectedMs = ms
		}
	}
}

// agedRejection returns the time since the upstream last had no room for a request, by a load that was
// received the given time ago; zero if there was no such request lately.
func agedRejection(l *syncpb.Load, age time.Duration) uint32 {
	if l.RejectedMs == 0 {
		return 0
	}
	if aged := time.Duration(l.RejectedMs)*time.Millisecond + max(age, 0); aged <= dispatch.MaxRejectionAge {
		return milliseconds(aged)
	}
	return 0
}

// rejectedElsewhere returns the time since upstreams last had no room for a request of another gateway,
// by upstream.
func (c *cluster) rejectedElsewhere() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]time.Duration
	c.forEachLoads(func(loads []*syncpb.Load, received time.Duration) {
		for _, l := range loads {
			ms := agedRejection(l, received)
			if ms == 0 {
				continue
			}
			if out == nil {
				out = make(map[string]time.Duration)
			}
			age := time.Duration(ms) * time.Millisecond
			if known, ok := out[l.Instance]; !ok || age < known {
				out[l.Instance] = age
			}
		}
	})
	return out
}

// setLeader stores the leader and reports whether it did. A leader with a lower term than the
// known one is rejected.
func (c *cluster) setLeader(l *syncpb.Leader) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == nil || l.Member == nil || (c.leader != nil && l.Term < c.leader.Term) {
		return false
	}
	if c.leader != nil && l.Term == c.leader.Term {
		l.Revision = max(l.Revision, c.leader.Revision)
	}
	c.leader = l
	return true
}

func (c *cluster) knownLeader() *syncpb.Leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *cluster) setLeading(leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = leading
}

func (c *cluster) isLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

// relayCandidates returns up to limit other gateways. The first is one of the strongest, which
// have the widest links. The rest are chosen at random, so that not all candidates are strong
// gateways, which might be lost together.
func (c *cluster) relayCandidates(limit int) []syncpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make([]*syncpb.Member, 0, len(c.members))
	for _, m := range c.members {
		others = append(others, m)
	}
	// Sort by address first, because the random order of the map would make the result
	// irreproducible for a given seed.
	sort.Slice(others, func(i, j int) bool { return others[i].Address < others[j].Address })
	c.shuffle(others)
	sort.SliceStable(others, func(i, j int) bool { return others[i].Strength > others[j].Strength })
	if len(others) > 0 {
		c.shuffle(others[1:])
	}
	var out []syncpb.Peer
	for _, m := range others[:min(limit, len(others))] {
		out = append(out, c.clientLocked(m.Address))
	}
	return out
}

// otherGateways returns all other gateways, in the order of their addresses.
func (c *cluster) otherGateways() []reach.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]reach.Peer, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, reach.Peer{Address: m.Address, Domain: m.Domain})
	}
	slices.SortFunc(out, func(a, b reach.Peer) int { return strings.Compare(a.Address, b.Address) })
	return out
}

func (c *cluster) shuffle(list []*syncpb.Member) {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
