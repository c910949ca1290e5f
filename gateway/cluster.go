package gateway

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// memberExpiry is how long a gateway that does not report stays a member.
	memberExpiry = 2500 * time.Millisecond
	// reportExpiry is how long a gateway's report of its load counts.
	reportExpiry = 900 * time.Millisecond
)

// cluster is what this process knows of the other gateways. Each reports to one
// other, its parent: the leader, or in large deployments the first gateway of its
// failure domain, which reports for it. The leader learns of all gateways from the
// reports, the others from the leader.
type cluster struct {
	self *syncpb.Member
	now  func() time.Time
	http *http.Client

	mu      sync.Mutex
	leader  *syncpb.Leader
	leading bool
	// children are the gateways that report to this one, by node.
	children map[string]*child
	// members are all gateways but this one, by node.
	members map[string]*syncpb.Member
	version uint64
	// changed says that the leader's list has changed since the version, listed when that
	// was made.
	membersChanged bool
	membersListed  time.Time
	// summed is the last sum of what all have in flight.
	cachedSum *fleetSum
	// above is what the gateways that do not report to this one have in flight,
	// as the parent told, aboveDemands what they are asked for.
	parentLoads []*syncpb.Load
	// worksTold are the times of runs as the parent told them, by upstream; never changed in
	// place.
	parentWorkTimes map[string]worktime.Estimate
	// hotKeys are those that the parent told of.
	hotKeys []*syncpb.HotKeys
	// rights are those that the parent told of, named at rightsNamed.
	rights       []warmup.Right
	rightsIssued time.Time
	// runs are those that the gateways which report to this one have seen since its own
	// last report, by upstream.
	runs          map[string]worktime.Sum
	parentDemands []*syncpb.Demand
	// aboveWanted is how many requests a second the others are asked for that upstreams with a
	// named limit would get, as the parent told.
	parentWanted map[string]float64
	// expected is how many gateways there were under the leader before, who may not have
	// reported yet; it counts until expectedUntil.
	expected      int
	expectedUntil time.Time
	// avoided are heads of the own domain that did not answer, until when.
	avoidedUntil map[string]time.Time
	clients      map[string]syncpb.Peer
	rng          *rand.Rand
}

// child is a gateway that reports to this one, with its last report.
type child struct {
	*syncpb.Member
	lastReport time.Time
	// told is when it was last told what others have in flight, toldWorks when work times.
	fleetSent, workTimesSent time.Time
	loads                    []*syncpb.Load
	demands                  []*syncpb.Demand
	// wanted is how many requests a second it is asked for, by upstream that names a limit.
	wanted    map[string]float64
	followers []*syncpb.Member
}

func newCluster(self *syncpb.Member, client *http.Client, now func() time.Time, rng *rand.Rand) *cluster {
	return &cluster{
		self: self, now: now, http: client, rng: rng,
		children: make(map[string]*child), members: make(map[string]*syncpb.Member),
		runs: make(map[string]worktime.Sum), avoidedUntil: make(map[string]time.Time), clients: make(map[string]syncpb.Peer),
	}
}

// selfKnowing returns this gateway as it reports itself, with the highest revision of the
// evacuations that it knows.
func (c *cluster) selfMember(evacuations uint64) *syncpb.Member {
	return &syncpb.Member{
		Node: c.self.Node, Address: c.self.Address, Domain: c.self.Domain, Incarnation: c.self.Incarnation,
		Strength: c.self.Strength, EvacuationsRevision: evacuations,
	}
}

// client returns the client of the gateway at the address.
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

// reported notes a report of another gateway. fresh says that this one leads or
// hears from the leader: else nobody reports through it.
func (c *cluster) handleReport(r *syncpb.SyncRequest, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fresh || r.Member.Node == c.self.Node {
		return
	}
	next := &child{Member: r.Member, lastReport: c.now(), loads: r.Loads, demands: r.Demands, followers: r.Followers, wanted: wantedOf(r.Limits)}
	previous := c.children[r.Member.Node]
	if previous != nil {
		next.fleetSent, next.workTimesSent = previous.fleetSent, previous.workTimesSent
	}
	c.children[r.Member.Node] = next
	if c.leading && (previous == nil || !next.sameMembers(previous)) {
		c.rebuildMembers()
	}
}

// setAbove takes over what the parent told of the others' requests in flight, and of the
// times of runs if it told these.
func (c *cluster) setParentLoads(loads []*syncpb.Load, workTimes map[string]worktime.Estimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentLoads = loads
	if workTimes != nil {
		c.parentWorkTimes = workTimes
	}
}

// setDemandsAbove takes over what the parent told that the others are asked for.
func (c *cluster) setParentDemands(demands []*syncpb.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentDemands = demands
}

// parent returns the address of the gateway to report to, or "" when none is
// known. A former leader that has started again still knows itself as the leader:
// reporting to itself would count its requests again and again.
func (c *cluster) parent() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil || c.leader.Member.Address == c.self.Address {
		return ""
	}
	top := c.leader.Member
	if len(c.members)+1 < minTreeSize || c.self.Domain == top.Domain {
		return top.Address
	}
	head := c.self
	for _, m := range c.members {
		if m.Domain == c.self.Domain && stronger(m, head) && c.now().After(c.avoidedUntil[m.Node]) {
			head = m
		}
	}
	if head == c.self {
		return top.Address
	}
	return head.Address
}

// treeLeast is the number of gateways from which reports go by way of one
// gateway in each failure domain: below, the leader can answer all itself, and
// news are a step sooner everywhere.
const minTreeSize = 24

// avoid lets the gateway at the address be no head for a while.
func (c *cluster) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, m := range c.members {
		if m.Address == address {
			c.avoidedUntil[node] = c.now().Add(avoidDuration)
		}
	}
}

// avoidTime is how long a head that did not answer is passed over.
const avoidDuration = 3 * time.Second

// inFlightElsewhere returns how many requests all other gateways have in flight, by
// upstream.
func (c *cluster) inFlightElsewhere() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]*syncpb.Load)
	for _, child := range c.children {
		if c.now().Sub(child.lastReport) < reportExpiry {
			addLoads(sum, child.loads)
		}
	}
	if !c.leading {
		addLoads(sum, c.parentLoads)
	}
	others := make(map[string]float64, len(sum))
	for id, l := range sum {
		others[id] = float64(l.Inflight)
	}
	return others
}

// below returns what this gateway and those that report to it have in flight, by
// upstream.
func (c *cluster) subtreeLoads(own []*syncpb.Load) map[string]*syncpb.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]*syncpb.Load)
	addLoads(sum, own)
	for _, child := range c.children {
		if c.now().Sub(child.lastReport) < reportExpiry {
			addLoads(sum, child.loads)
		}
	}
	return sum
}

func addLoads(sum map[string]*syncpb.Load, loads []*syncpb.Load) {
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
	}
}

// setLeader notes who leads. One of a lower term than known is not taken.
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

// some returns up to most other gateways: one of the strongest first, which have the
// widest links, then any, so that not all are of the few that are strong when these are
// lost together.
func (c *cluster) relayCandidates(most int) []syncpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make([]*syncpb.Member, 0, len(c.members))
	for _, m := range c.members {
		others = append(others, m)
	}
	// Sorted by name first: the order of a map would add to that of the generator.
	sort.Slice(others, func(i, j int) bool { return others[i].Address < others[j].Address })
	c.shuffle(others)
	sort.SliceStable(others, func(i, j int) bool { return others[i].Strength > others[j].Strength })
	if len(others) > 0 {
		c.shuffle(others[1:])
	}
	var out []syncpb.Peer
	for _, m := range others[:min(most, len(others))] {
		out = append(out, c.clientLocked(m.Address))
	}
	return out
}

func (c *cluster) shuffle(list []*syncpb.Member) {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
