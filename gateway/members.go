package gateway

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file maintains the list of gateways. The leader builds it from the reports; the other
// gateways receive it from the leader.

// sameMembers reports whether the child and the gateways that report through it are unchanged.
func (c *child) sameMembers(previous *child) bool {
	return proto.Equal(c.Member, previous.Member) && slices.EqualFunc(c.followers, previous.followers, func(a, b *syncpb.Member) bool { return proto.Equal(a, b) })
}

// rebuildMembers builds the leader's list of members from the reports. The lock is held.
func (c *cluster) rebuildMembers() {
	next := make(map[string]*syncpb.Member, len(c.members))
	for node, child := range c.children {
		if c.now().Sub(child.lastReport) > memberExpiry {
			delete(c.children, node)
			continue
		}
		for _, m := range append([]*syncpb.Member{child.Member}, child.followers...) {
			if m.Node != c.self.Node {
				next[m.Node] = m
			}
		}
	}
	c.membersChanged = c.membersChanged || !sameMembers(c.members, next)
	c.members, c.domainSizes = next, nil
}

// memberListInterval, times the number of members, is the minimum time between two versions of
// the member list, because each version is sent to every gateway. Without it, when 300 gateways
// started within two seconds, each new one caused a list of 18 KB to be sent to all others, 1.6
// GB in total.
const memberListInterval = time.Millisecond

// membersVersion returns the version of the member list. It starts a new version if the leader's
// list has changed and the minimum interval has passed.
func (c *cluster) membersVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membersVersionLocked()
}

func (c *cluster) membersVersionLocked() uint64 {
	if c.membersChanged && c.now().Sub(c.membersListed) >= time.Duration(len(c.members))*memberListInterval {
		c.version++
		c.membersChanged, c.membersListed = false, c.now()
	}
	return c.version
}

func sameMembers(a, b map[string]*syncpb.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for node, m := range a {
		if other := b[node]; other == nil || other.Incarnation != m.Incarnation || other.Address != m.Address {
			return false
		}
	}
	return true
}

// expire removes gateways that no longer report. Only the leader calls it.
func (c *cluster) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuildMembers()
}

// followers returns the gateways that report through this one.
func (c *cluster) followers() []*syncpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*syncpb.Member
	for node, child := range c.children {
		if c.now().Sub(child.lastReport) > memberExpiry {
			delete(c.children, node)
			continue
		}
		out = append(out, child.Member)
		out = append(out, child.followers...)
	}
	return out
}

// stronger reports whether a comes before b in order of strength; ties are broken by node name.
func stronger(a, b *syncpb.Member) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}
	return a.Node < b.Node
}

// strongerInDomain returns the number of gateways in this one's failure domain that are stronger
// than this one.
func (c *cluster) strongerInDomain() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.members {
		if m.Domain == c.self.Domain && stronger(m, c.self) {
			n++
		}
	}
	return n
}

// allMembers returns all members including this one, the strongest first, and the version of the
// list.
func (c *cluster) allMembers() ([]*syncpb.Member, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []*syncpb.Member{c.self}
	for _, m := range c.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return stronger(out[i], out[j]) })
	return out, c.membersVersionLocked()
}

// rank returns this gateway's position, counted from zero, in the order in which gateways take
// over from the leader.
func (c *cluster) rank() int {
	list, _ := c.allMembers()
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

// gatewayCount returns the number of gateways including this one.
func (c *cluster) gatewayCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := len(c.members) + 1
	if c.domainSizes != nil && !c.leading {
		known = c.memberList().gateways()
	}
	if c.now().Before(c.expectedUntil) {
		return max(known, c.expected)
	}
	return known
}

// expectationTTL is how long a new leader assumes the number of gateways that its predecessor
// knew. After a restart of all gateways the first reports take a second or two; until then the
// few gateways that have reported would divide the upstreams' capacity and the retry budget of
// all among themselves.
const expectationTTL = 3 * time.Second

// expectGateways assumes a number of gateways until they have had time to report.
func (c *cluster) expectGateways(gateways int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.expectedUntil = gateways, c.now().Add(expectationTTL)
}
