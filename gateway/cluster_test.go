package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

func testMember(domain string, n int, strength uint32) *syncpb.Member {
	name := fmt.Sprintf("%s%d", domain, n)
	return &syncpb.Member{Node: name, Address: name + ":1", Domain: domain, Incarnation: name, Strength: strength}
}

// clusterOfSize returns the cluster state of one gateway among size gateways in the failure domains
// a, b and c, led by a0.
func clusterOfSize(size int, self *syncpb.Member, now *time.Time) *cluster {
	c := newCluster(self, nil, func() time.Time { return *now }, rand.New(rand.NewPCG(1, 2)))
	var all []*syncpb.Member
	for i := range size {
		all = append(all, testMember(string(rune('a'+i%3)), i/3, 100))
	}
	c.setMembers(1, all, nil)
	c.setLeader(&syncpb.Leader{Member: testMember("a", 0, 100), Term: 1})
	return c
}

func TestParentSelection(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		size int
		self *syncpb.Member
		want string
	}{
		{reporttree.MinGateways - 1, testMember("b", 3, 100), "a0:1"},
		{reporttree.MinGateways, testMember("a", 3, 100), "a0:1"},
		{reporttree.MinGateways, testMember("b", 3, 100), "b0:1"},
		{reporttree.MinGateways, testMember("b", 0, 100), "a0:1"},
		{reporttree.MinGateways, testMember("b", 3, 900), "a0:1"},
	} {
		if got := clusterOfSize(c.size, c.self, &now).parent(); got != c.want {
			t.Errorf("%d gateways, %s: parent %s, want %s", c.size, c.self.Node, got, c.want)
		}
	}
}

// TestUnresponsiveHeadIsAvoided checks that a head that did not answer is skipped for
// avoidDuration.
func TestUnresponsiveHeadIsAvoided(t *testing.T) {
	now := time.Now()
	c := clusterOfSize(reporttree.MinGateways, testMember("b", 3, 100), &now)
	c.avoid("b0:1")
	if got := c.parent(); got != "b1:1" {
		t.Errorf("parent %s", got)
	}
	now = now.Add(avoidDuration + 1)
	if got := c.parent(); got != "b0:1" {
		t.Errorf("parent %s after avoidDuration", got)
	}
}

// TestLoadsAreCountedOnce checks that the head of a failure domain reports to the leader the load
// of its children and itself, and sends to each child the load of all others, with nothing
// counted twice.
func TestLoadsAreCountedOnce(t *testing.T) {
	now := time.Now()
	head := clusterOfSize(reporttree.MinGateways, testMember("b", 0, 100), &now)
	load := func(n float32) []*syncpb.Load { return []*syncpb.Load{{Instance: "i", Inflight: n}} }
	head.handleReport(&syncpb.SyncRequest{Member: testMember("b", 1, 100), Loads: load(1)}, true)
	head.handleReport(&syncpb.SyncRequest{Member: testMember("b", 2, 100), Loads: load(2)}, true)
	head.setParentLoads(load(10), nil)
	own := load(4)
	if got := head.subtreeLoads(own)["i"].Inflight; got != 7 {
		t.Errorf("reported %v to the leader, want 1+2+4", got)
	}
	v, encoder := instances.NewView(1, []instances.Instance{{ID: "a"}, {ID: "i"}}), &fleetEncoder{}
	sent := encoder.encode(head.sum(own), "b1", v, 7, map[string]worktime.Estimate{"i": {Work: 90 * time.Millisecond, Slowness: 1}}, true)
	if got, ok := loadsFromMessage(sent, v); !ok || len(got) != 1 || got[0].Instance != "i" || got[0].Inflight != 16 {
		t.Errorf("sent %v to a child, want 2+4+10 at i", got)
	}
	if got := head.inFlightElsewhere()["i"]; got != 13 {
		t.Errorf("in flight at gateways other than the head: %v, want 1+2+10", got)
	}
	now = now.Add(reportExpiry + 1)
	if got := head.subtreeLoads(own)["i"].Inflight; got != 4 {
		t.Errorf("expired reports are still counted: %v", got)
	}
}

// TestLeaderKnowsAllGateways checks that the leader also lists the gateways that report through
// others, until they stop reporting.
func TestLeaderKnowsAllGateways(t *testing.T) {
	now := time.Now()
	c := newCluster(testMember("a", 0, 100), nil, func() time.Time { return now }, rand.New(rand.NewPCG(1, 2)))
	c.setLeading(true)
	r := &syncpb.SyncRequest{Member: testMember("b", 0, 100), Followers: []*syncpb.Member{testMember("b", 1, 100), testMember("b", 2, 100)}}
	c.handleReport(r, true)
	if n := c.gatewayCount(); n != 4 {
		t.Errorf("%d gateways", n)
	}
	_, before := c.allMembers()
	c.handleReport(r, true)
	if _, after := c.allMembers(); after != before {
		t.Error("an unchanged report creates a new version")
	}
	now = now.Add(memberExpiry + 1)
	c.expire()
	if n := c.gatewayCount(); n != 1 {
		t.Errorf("%d gateways after all others stopped reporting", n)
	}
}

// TestGatewayDoesNotReportToItself guards against a former leader that has restarted and considers
// itself the leader until it learns of another one. It added its own report to its next one again
// and again until all upstreams seemed full, which lasted until 1.5 s after it led again.
func TestGatewayDoesNotReportToItself(t *testing.T) {
	now := time.Now()
	for _, size := range []int{3, reporttree.MinGateways} {
		if got := clusterOfSize(size, testMember("a", 0, 100), &now).parent(); got != "" {
			t.Errorf("%d gateways: parent %s", size, got)
		}
	}
	c := clusterOfSize(3, testMember("a", 0, 100), &now)
	load := []*syncpb.Load{{Instance: "i", Inflight: 3}}
	c.handleReport(&syncpb.SyncRequest{Member: testMember("a", 0, 100), Loads: load}, true)
	c.handleReport(&syncpb.SyncRequest{Member: testMember("b", 0, 100), Loads: load}, false)
	if got := c.subtreeLoads(load)["i"].Inflight; got != 3 {
		t.Errorf("reports %v in flight, has 3", got)
	}
}

// TestLeaderOfOlderTermIsRejected checks that a leader replaces the known one only if its term is
// not older.
func TestLeaderOfOlderTermIsRejected(t *testing.T) {
	now := time.Now()
	c := clusterOfSize(3, testMember("b", 0, 100), &now)
	if !c.setLeader(&syncpb.Leader{Member: testMember("c", 0, 100), Term: 2}) || c.setLeader(&syncpb.Leader{Member: testMember("a", 0, 100), Term: 1}) {
		t.Error("an older term is accepted, or a newer one is rejected")
	}
	if l := c.knownLeader(); l.Member.Node != "c0" {
		t.Errorf("leader %s", l.Member.Node)
	}
}

// TestStrongestRelayFirst checks that calls to the store are relayed first through one of the
// gateways with the widest links, chosen at random, and then through any other one. If the few
// strong gateways are lost together, a weaker one is asked.
func TestStrongestRelayFirst(t *testing.T) {
	now := time.Now()
	c := newCluster(testMember("a", 0, 160), &http.Client{}, func() time.Time { return now }, rand.New(rand.NewPCG(1, 2)))
	strong := map[string]bool{"b0:1": true, "c0:1": true}
	var all []*syncpb.Member
	for i := range 12 {
		m := testMember(string(rune('a'+i%3)), 1+i/3, 160)
		all = append(all, m)
	}
	all = append(all, testMember("b", 0, 800), testMember("c", 0, 800))
	c.setMembers(1, all, nil)
	address := make(map[syncpb.Peer]string)
	for _, m := range all {
		address[c.client(m.Address)] = m.Address
	}
	first, second := make(map[string]int), make(map[string]int)
	const draws = 400
	for range draws {
		got := c.relayCandidates(maxRelays)
		if len(got) != maxRelays || !strong[address[got[0]]] || got[0] == got[1] {
			t.Fatalf("%s and %s of %d", address[got[0]], address[got[1]], len(got))
		}
		first[address[got[0]]]++
		second[address[got[1]]]++
	}
	if len(first) != len(strong) || len(second) != len(all) {
		t.Errorf("some gateways are never chosen: first %v, second %v", first, second)
	}
}
