package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// fleetLeader returns the cluster state of a leader to which all gateways of a fleet in five failure
// domains have reported once.
func fleetLeader(each int, now *time.Time) *cluster {
	self := testMember("a", 0, 900)
	c := newCluster(self, nil, func() time.Time { return *now }, nil)
	c.setLeader(&syncpb.Leader{Member: self, Term: 1})
	c.setLeading(true)
	for i := range each {
		for _, domain := range []string{"a", "b", "c", "d", "e"} {
			if m := testMember(domain, i, 100); m.Node != self.Node {
				c.handleReport(&syncpb.SyncRequest{Member: m}, true)
			}
		}
	}
	*now = now.Add(time.Duration(5*each) * memberListInterval)
	c.expire()
	return c
}

// TestMemberListDoesNotGrowWithTheFleet checks that the list which every gateway gets has the same size
// at 2,000 gateways as at 200, and that the number of gateways and the parents are known from it.
func TestMemberListDoesNotGrowWithTheFleet(t *testing.T) {
	sizes := make(map[int]int)
	for _, each := range []int{40, 400} {
		now := time.Unix(1000, 0)
		leader := fleetLeader(each, &now)
		members, domains, version := leader.memberMessages()
		sizes[each] = proto.Size(&syncpb.SyncResponse{Members: members, Domains: domains})
		follower := newCluster(testMember("b", each-1, 100), nil, func() time.Time { return now }, nil)
		follower.setLeader(&syncpb.Leader{Member: testMember("a", 0, 900), Term: 1})
		follower.setMembers(version, members, domains)
		if got := follower.gatewayCount(); got != 5*each {
			t.Errorf("%d gateways known, want %d", got, 5*each)
		}
		if got := follower.parent(); got == "a0:1" || got[0] != 'b' {
			t.Errorf("%d gateways: %s reports to %s, want a head of its failure domain", 5*each, follower.self.Node, got)
		}
	}
	if float64(sizes[400]) > 1.3*float64(sizes[40]) {
		t.Errorf("%d bytes at 2,000 gateways, %d at 200", sizes[400], sizes[40])
	}
}

// TestLeaderSendsLargePartsOnlyToItsChildren checks that a gateway that should report to a head of its
// failure domain is not sent large parts by the leader, unless it keeps reporting to it.
func TestLeaderSendsLargePartsOnlyToItsChildren(t *testing.T) {
	now := time.Unix(1000, 0)
	c := fleetLeader(40, &now)
	first, other := testMember("b", 0, 100), testMember("b", 39, 100)
	for _, m := range []*syncpb.Member{first, other} {
		delete(c.children, m.Node)
		c.handleReport(&syncpb.SyncRequest{Member: m}, true)
	}
	if !c.servesParts(first) {
		t.Error("the first head of a failure domain gets no large parts from the leader")
	}
	if c.servesParts(other) {
		t.Error("a gateway that should report to a head gets large parts from the leader")
	}
	now = now.Add(2 * redirectTime)
	if !c.servesParts(other) {
		t.Error("a gateway that keeps reporting to the leader gets no large parts")
	}
}

// TestDomainSizesComeWithTheMembers checks that a list without domain sizes, from a gateway of an earlier
// version, counts the members themselves.
func TestDomainSizesComeWithTheMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCluster(testMember("a", 1, 100), nil, func() time.Time { return now }, nil)
	var list []*syncpb.Member
	for i := range 30 {
		list = append(list, testMember(fmt.Sprintf("%c", 'a'+i%3), i/3, 100))
	}
	c.setMembers(1, list, nil)
	if got := c.gatewayCount(); got != 30 {
		t.Errorf("%d gateways, want 30", got)
	}
}

// TestSearchesDoNotGrowWithTheDomain checks that the gateways of a failure domain that is cut off ask each
// of the two gateways that all of them ask at most 500 times a second.
func TestSearchesDoNotGrowWithTheDomain(t *testing.T) {
	for _, gateways := range []int{1, 15, 60, 230, 884} {
		perSecond := float64(gateways) * float64(time.Second) / float64(seekInterval(gateways))
		if perSecond > 500 {
			t.Errorf("%d gateways: %.0f searches a second", gateways, perSecond)
		}
	}
}
