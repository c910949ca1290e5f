package gateway

import (
	"slices"
	"time"

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

// position returns where a gateway stands in the reporting tree. It leaves out heads that have not
// answered this gateway lately. The lock is held, and a leader is known.
func (c *cluster) position(of *syncpb.Member) (reporttree.Position, []*syncpb.Member) {
	leader, list := c.leader.Member, c.memberList()
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
	return p, candidates
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
	p, candidates := c.position(c.self)
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
	p, _ := c.position(to)
	return p.Parent() == c.leader.Member.Node
}
