package gateway

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file keeps the list of gateways: the leader makes it from the reports, the others are
// told it.

// sameMembers reports whether the child and those that report through it are as before.
func (child *child) sameMembers(previous *child) bool {
	return proto.Equal(child.Member, previous.Member) && slices.EqualFunc(child.followers, previous.followers, func(a, b *syncpb.Member) bool { return proto.Equal(a, b) })
}

// gather makes the leader's list of members from the reports.
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
	c.members = next
}

// listPause is the least time between two versions of the list of members, for each that is
// listed: each version goes to all. While 300 gateways start within two seconds, every new
// one made a list of 18 KB for all others, 1.6 GB together.
const memberListInterval = time.Millisecond

// membersVersion returns the version of the list of members, the next one when the leader's
// list has changed and the pause is over.
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

// expire forgets gateways that have stopped to report. It is for the leader.
func (c *cluster) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuildMembers()
}

// followers are the gateways that report through this one.
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

// setMembers takes over the leader's list.
func (c *cluster) setMembers(version uint64, list []*syncpb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	c.members = make(map[string]*syncpb.Member, len(list))
	for _, m := range list {
		if m.Node != c.self.Node {
			c.members[m.Node] = m
		}
	}
}

// before orders gateways by what they can bear: the stronger first.
func stronger(a, b *syncpb.Member) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}
	return a.Node < b.Node
}

// ahead returns the number of gateways of the own failure domain that come before
// this one.
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

// list returns all members, this one among them, the strongest first.
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

// rank is the place of this gateway among those that may take over from the
// leader, counted from zero.
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

// gateways returns the number of gateways, this one among them.
func (c *cluster) gatewayCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := len(c.members) + 1
	if c.now().Before(c.expectedUntil) {
		return max(known, c.expected)
	}
	return known
}

// expectTime is how long a new leader counts with the gateways that the former one knew:
// after all have started again their first reports take a second or two. Until then the
// few that have reported would share out the room and the retries of all.
const expectationTTL = 3 * time.Second

// expect counts with a number of gateways until they have had time to report.
func (c *cluster) expectGateways(gateways int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.expectedUntil = gateways, c.now().Add(expectationTTL)
}
