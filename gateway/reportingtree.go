package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file applies package reporttree: which gateway this one reports to, and which of those that
// report to this one should report to another.

const (
	// listedPerDomain is the number of gateways of each failure domain that all gateways know by name.
	// They can be heads, leaders and relays; of the others only the number is known.
	listedPerDomain = 24
	// redirectTime is how long after its first report a gateway that should report to another is sent
	// no large parts. It needs one report to learn of its parent.
	redirectTime = time.Second
	// liveListAge is how long the leader's own list of members is reused.
	liveListAge = 50 * time.Millisecond
)

// memberList is what the gateways know of each other.
type memberList struct {
	// byDomain are the strongest gateways of each failure domain, the strongest first.
	byDomain map[string][]*syncpb.Member
	// sizes is the number of gateways of each failure domain.
	sizes map[string]int
}

// memberList returns the list of the current version. The lock is held.
func (c *cluster) memberList() *memberList {
	version := c.membersVersionLocked()
	if c.listed == nil || c.listedVersion != version {
		c.listed, c.listedVersion = c.buildMemberList(), version
	}
	return c.listed
}

func (c *cluster) buildMemberList() *memberList {
	l := &memberList{byDomain: make(map[string][]*syncpb.Member), sizes: c.domainSizes}
	l.byDomain[c.self.Domain] = append(l.byDomain[c.self.Domain], c.self)
	for _, m := range c.members {
		l.byDomain[m.Domain] = append(l.byDomain[m.Domain], m)
	}
	counted := make(map[string]int, len(l.byDomain))
	for domain, list := range l.byDomain {
		counted[domain] = len(list)
		slices.SortFunc(list, compareStrength)
		l.byDomain[domain] = list[:min(len(list), listedPerDomain)]
	}
	if l.sizes == nil {
		l.sizes = counted
	}
	return l
}

// compareStrength orders gateways by strength, the strongest first.
func compareStrength(a, b *syncpb.Member) int {
	switch {
	case stronger(a, b):
		return -1
	case stronger(b, a):
		return 1
	}
	return 0
}

// messages returns the list as messages.
func (l *memberList) messages() ([]*syncpb.Member, []*syncpb.DomainSize) {
	var members []*syncpb.Member
	var sizes []*syncpb.DomainSize
	for _, list := range l.byDomain {
		members = append(members, list...)
	}
	slices.SortFunc(members, compareStrength)
	for domain, n := range l.sizes {
		sizes = append(sizes, &syncpb.DomainSize{Domain: domain, Gateways: uint32(n)})
	}
	return members, sizes
}

// gateways returns the number of all gateways.
func (l *memberList) gateways() int {
	sum := 0
	for _, n := range l.sizes {
		sum += n
	}
	return sum
}

// memberMessages returns what to tell other gateways, and its version.
func (c *cluster) memberMessages() ([]*syncpb.Member, []*syncpb.DomainSize, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, sizes := c.memberList().messages()
	return members, sizes, c.listedVersion
}

// setMembers applies what another gateway has told about the members.
func (c *cluster) setMembers(version uint64, list []*syncpb.Member, sizes []*syncpb.DomainSize) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.listed = version, nil
	c.members = make(map[string]*syncpb.Member, len(list))
	for _, m := range list {
		if m.Node != c.self.Node {
			c.members[m.Node] = m
		}
	}
	c.domainSizes = nil
	if len(sizes) == 0 {
		return
	}
	c.domainSizes = make(map[string]int, len(sizes))
	for _, s := range sizes {
		c.domainSizes[s.Domain] = int(s.Gateways)
	}
}

// liveList returns the members as the leader knows them now. The list of the current version may lack
// most gateways right after a start of all at once. The lock is held.
func (c *cluster) liveList() *memberList {
	if c.live == nil || c.now().Sub(c.liveAt) >= liveListAge {
		c.live, c.liveAt = c.buildMemberList(), c.now()
	}
	return c.live
}

// position returns where a gateway stands in the reporting tree, and the gateways that may be its parent.
// It leaves out heads that have not answered this gateway lately. The lock is held, and a leader is known.
func (c *cluster) position(of *syncpb.Member, list *memberList) (reporttree.Position, []*syncpb.Member) {
	leader := c.leader.Member
	p := reporttree.Position{
		Node: of.Node, Leader: leader.Node, Gateways: list.gateways(), DomainGateways: list.sizes[of.Domain], LeaderInDomain: of.Domain == leader.Domain,
	}
	var candidates []*syncpb.Member
	for _, m := range list.byDomain[of.Domain] {
		if m.Node != leader.Node && (m.Node == of.Node || c.now().After(c.avoidedUntil[m.Node])) {
			candidates = append(candidates, m)
			p.Candidates = append(p.Candidates, m.Node)
		}
	}
	if head := c.regionHead(of, list); head != nil {
		p.RegionHead = head.Node
		candidates = append(candidates, head)
	}
	return p, candidates
}

// regionHead returns the gateway that reports for the region of the given one: the first head of the
// region's first failure domain. It returns nil if the leader is in the same region or regions are not
// known. The lock is held.
func (c *cluster) regionHead(of *syncpb.Member, list *memberList) *syncpb.Member {
	region := c.regions[of.Domain]
	if region == "" || c.regions[c.leader.Member.Domain] == region {
		return nil
	}
	for _, domain := range slices.Sorted(maps.Keys(list.byDomain)) {
		if c.regions[domain] != region {
			continue
		}
		for _, m := range list.byDomain[domain] {
			if m.Node == of.Node || c.now().After(c.avoidedUntil[m.Node]) {
				return m
			}
		}
	}
	return nil
}

// parent returns the address of the gateway to report to, or "" if none is known. A former leader
// that has restarted may still consider itself the leader. It must not report to itself, because
// its own report would be added to its next one again and again.
func (c *cluster) parent() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil || c.leader.Member.Address == c.self.Address {
		return ""
	}
	p, candidates := c.position(c.self, c.memberList())
	parent := p.Parent()
	for _, m := range candidates {
		if m.Node == parent {
			return m.Address
		}
	}
	return c.leader.Member.Address
}

// servesParts reports whether this gateway sends large parts to a gateway that has reported to it: it
// does not if that has only begun to and should report to another one, from which it gets them. After
// a start of all at once, every gateway reports to the leader once.
func (c *cluster) servesParts(to *syncpb.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	child := c.children[to.Node]
	if !c.leading || c.leader == nil || child == nil || c.now().Sub(child.since) > redirectTime {
		return true
	}
	p, _ := c.position(to, c.liveList())
	return p.Parent() == c.leader.Member.Node
}

// keepFrom takes over from the previous report of a gateway what goes on.
func (c *child) keepFrom(previous *child) {
	if c.Incarnation == previous.Incarnation {
		c.since = previous.since
	}
	if c.followersDigest != 0 && len(c.followers) == 0 && c.followersDigest == previous.followersDigest {
		c.followers = previous.followers
	}
}

// digestOfFollowers returns the digest of a list of members in any order, never zero.
func digestOfFollowers(list []*syncpb.Member) uint64 {
	sum := uint64(1)
	for _, m := range list {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %d %d", m.Node, m.Incarnation, m.Address, m.Domain, m.Strength, m.EvacuationsRevision))
	}
	return max(sum, 1)
}

// setFollowers adds this gateway's followers to a report, unless the receiver has confirmed to have
// them.
func (c *cluster) setFollowers(to string, r *syncpb.SyncRequest) {
	list := c.followers()
	r.FollowersDigest = digestOfFollowers(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedFollowers[to] != r.FollowersDigest {
		r.Followers = list
	}
}

// confirmFollowers records which followers the gateway at an address has. It forgets what others had:
// they drop them once this gateway no longer reports to them.
func (c *cluster) confirmFollowers(by string, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.confirmedFollowers)
	c.confirmedFollowers[by] = digest
}

// followersOf returns the digest of the followers that this gateway has of a gateway that reports to it.
func (c *cluster) followersOf(node string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.children[node]
	if known == nil || len(known.followers) == 0 {
		return 0
	}
	return known.followersDigest
}

// subtreeOf returns a gateway and those that report through it, as far as this one knows them.
func (c *cluster) subtreeOf(node string) map[string]bool {
	nodes := map[string]bool{node: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.children[node]; known != nil {
		for _, m := range known.followers {
			nodes[m.Node] = true
		}
	}
	return nodes
}

// hasChildren reports whether other gateways report to this one.
func (c *cluster) hasChildren() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading || len(c.children) > 0
}

// domainGateways returns the number of gateways of the own failure domain.
func (c *cluster) domainGateways() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memberList().sizes[c.self.Domain]
}
