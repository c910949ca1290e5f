package gateway

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// memberExpiry is how long a gateway that does not report stays a member.
	memberExpiry = 2500 * time.Millisecond
	// reportExpiry is how long a gateway's report of its load counts.
	reportExpiry = 1500 * time.Millisecond
)

// cluster is what this process knows of the other gateways. The leader learns
// it from their reports, the others from the leader.
type cluster struct {
	self *syncpb.Member
	now  func() time.Time
	http *http.Client

	mu      sync.Mutex
	leader  *syncpb.Leader
	leading bool
	// members are all gateways but this one, by node.
	members map[string]*member
	version uint64
	clients map[string]syncpb.Peer
	rng     *rand.Rand
}

// member is another gateway, with its last report if this process leads.
type member struct {
	*syncpb.Member
	seen  time.Time
	loads []*syncpb.Load
}

func newCluster(self *syncpb.Member, client *http.Client, now func() time.Time, rng *rand.Rand) *cluster {
	return &cluster{
		self: self, now: now, http: client, rng: rng,
		members: make(map[string]*member), clients: make(map[string]syncpb.Peer),
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

// reported notes a report of another gateway.
func (c *cluster) reported(r *syncpb.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[r.Member.Node]
	if m == nil || m.Incarnation != r.Member.Incarnation {
		m = &member{Member: r.Member}
		c.members[r.Member.Node] = m
		c.version++
	}
	m.seen = c.now()
	m.loads = r.Loads
}

// expire forgets gateways that no longer report. It is for the leader.
func (c *cluster) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, m := range c.members {
		if c.now().Sub(m.seen) > memberExpiry {
			delete(c.members, node)
			c.version++
		}
	}
}

// setMembers takes over the leader's list.
func (c *cluster) setMembers(version uint64, list []*syncpb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	c.members = make(map[string]*member, len(list))
	for _, m := range list {
		if m.Node != c.self.Node {
			c.members[m.Node] = &member{Member: m, seen: c.now()}
		}
	}
}

// list returns all members, this one among them, in the order of their nodes.
func (c *cluster) list() ([]*syncpb.Member, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []*syncpb.Member{c.self}
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out, c.version
}

// rank is the place of this gateway among those that may take over from the
// leader, counted from zero.
func (c *cluster) rank() int {
	list, _ := c.list()
	rank := 0
	for _, m := range list {
		if m.Node == c.self.Node {
			return rank
		}
		if l := c.knownLeader(); l == nil || l.Member.Node != m.Node {
			rank++
		}
	}
	return rank
}

// loads returns what all gateways but the given one have in flight, by
// upstream. own is the load of this process.
func (c *cluster) loads(except string, own []*syncpb.Load) map[string]*syncpb.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]*syncpb.Load)
	if except != c.self.Node {
		addLoads(sum, own)
	}
	for node, m := range c.members {
		if node != except && c.now().Sub(m.seen) < reportExpiry {
			addLoads(sum, m.loads)
		}
	}
	return sum
}

func addLoads(sum map[string]*syncpb.Load, loads []*syncpb.Load) {
	for _, l := range loads {
		s := sum[l.Instance]
		if s == nil {
			s = &syncpb.Load{Instance: l.Instance}
			sum[l.Instance] = s
		}
		// The mean work time weighs each report by what it had in flight.
		if total := s.Inflight + l.Inflight; total > 0 && l.WorkUs > 0 {
			s.WorkUs = uint32((float32(s.WorkUs)*s.Inflight + float32(l.WorkUs)*l.Inflight) / total)
		}
		s.Inflight += l.Inflight
		s.SilentMs = max(s.SilentMs, l.SilentMs)
		s.Refused = s.Refused || l.Refused
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

// some returns up to most other gateways in random order.
func (c *cluster) some(most int) []syncpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, m := range c.members {
		addresses = append(addresses, m.Address)
	}
	sort.Strings(addresses)
	c.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var out []syncpb.Peer
	for _, a := range addresses[:min(most, len(addresses))] {
		out = append(out, c.clientLocked(a))
	}
	return out
}

// gateways returns the number of gateways, this one among them.
func (c *cluster) gateways() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) + 1
}
