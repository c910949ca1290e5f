package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/smallfloat"
)

func node(domain string, n int, strength uint32) *syncpb.Member {
	name := fmt.Sprintf("%s%d", domain, n)
	return &syncpb.Member{Node: name, Address: name + ":1", Domain: domain, Incarnation: name, Strength: strength}
}

// fleet returns the cluster of one gateway among size gateways in domains a, b
// and c, led by a0.
func fleet(size int, self *syncpb.Member, now *time.Time) *cluster {
	c := newCluster(self, nil, func() time.Time { return *now }, rand.New(rand.NewPCG(1, 2)))
	var all []*syncpb.Member
	for i := range size {
		all = append(all, node(string(rune('a'+i%3)), i/3, 100))
	}
	c.setMembers(1, all)
	c.setLeader(&syncpb.Leader{Member: node("a", 0, 100), Term: 1})
	return c
}

func TestParents(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		size int
		self *syncpb.Member
		want string
	}{
		{treeLeast - 1, node("b", 3, 100), "a0:1"},
		{treeLeast, node("a", 3, 100), "a0:1"},
		{treeLeast, node("b", 3, 100), "b0:1"},
		{treeLeast, node("b", 0, 100), "a0:1"},
		{treeLeast, node("b", 3, 900), "a0:1"},
	} {
		if got := fleet(c.size, c.self, &now).parent(); got != c.want {
			t.Errorf("%d gateways, %s: parent %s, want %s", c.size, c.self.Node, got, c.want)
		}
	}
}

// TestSilentHeadIsPassedOver for a while.
func TestSilentHeadIsPassedOver(t *testing.T) {
	now := time.Now()
	c := fleet(treeLeast, node("b", 3, 100), &now)
	c.avoid("b0:1")
	if got := c.parent(); got != "b1:1" {
		t.Errorf("parent %s", got)
	}
	now = now.Add(avoidTime + 1)
	if got := c.parent(); got != "b0:1" {
		t.Errorf("parent %s after the time", got)
	}
}

// TestLoadsAreCountedOnce: what a head tells each side is what the other side and
// it have, and nothing twice.
func TestLoadsAreCountedOnce(t *testing.T) {
	now := time.Now()
	head := fleet(treeLeast, node("b", 0, 100), &now)
	load := func(n float32) []*syncpb.Load { return []*syncpb.Load{{Instance: "i", Inflight: n}} }
	head.reported(&syncpb.SyncRequest{Member: node("b", 1, 100), Loads: load(1)}, true)
	head.reported(&syncpb.SyncRequest{Member: node("b", 2, 100), Loads: load(2)}, true)
	head.setAbove(load(10), nil)
	own := load(4)
	if got := head.below(own)["i"].Inflight; got != 7 {
		t.Errorf("told the leader %v, want 1+2+4", got)
	}
	v, packer := instances.NewView(1, []instances.Instance{{ID: "a"}, {ID: "i"}}), &fleetPacker{}
	told := packer.pack(head.sum(own), "b1", v, 7, map[string]worktime.Estimate{"i": {Work: 90 * time.Millisecond, Slowness: 1}}, true)
	if got := smallfloat.FromByte(told.InFlight[1]); got != 16 || told.InFlight[0] != 0 {
		t.Errorf("told a child %v, want 2+4+10", got)
	}
	if got := head.inFlightElsewhere()["i"]; got != 13 {
		t.Errorf("others of the head have %v, want 1+2+10", got)
	}
	now = now.Add(reportExpiry + 1)
	if got := head.below(own)["i"].Inflight; got != 4 {
		t.Errorf("old reports still count: %v", got)
	}
}

// TestLeaderKnowsAllGateways: also those that report through others, until they
// are silent.
func TestLeaderKnowsAllGateways(t *testing.T) {
	now := time.Now()
	c := newCluster(node("a", 0, 100), nil, func() time.Time { return now }, rand.New(rand.NewPCG(1, 2)))
	c.setLeading(true)
	r := &syncpb.SyncRequest{Member: node("b", 0, 100), Followers: []*syncpb.Member{node("b", 1, 100), node("b", 2, 100)}}
	c.reported(r, true)
	if n := c.gateways(); n != 4 {
		t.Errorf("%d gateways", n)
	}
	_, before := c.list()
	c.reported(r, true)
	if _, after := c.list(); after != before {
		t.Error("the same report makes a new version")
	}
	now = now.Add(memberExpiry + 1)
	c.expire()
	if n := c.gateways(); n != 1 {
		t.Errorf("%d gateways after silence", n)
	}
}

// TestNobodyReportsToItself: a former leader that has started again takes itself
// for the leader until another is known. (trouble-3: it added its own report to its
// next one until all upstreams seemed full, for 1.5 s after it led again.)
func TestNobodyReportsToItself(t *testing.T) {
	now := time.Now()
	for _, size := range []int{3, treeLeast} {
		if got := fleet(size, node("a", 0, 100), &now).parent(); got != "" {
			t.Errorf("%d gateways: parent %s", size, got)
		}
	}
	c := fleet(3, node("a", 0, 100), &now)
	load := []*syncpb.Load{{Instance: "i", Inflight: 3}}
	c.reported(&syncpb.SyncRequest{Member: node("a", 0, 100), Loads: load}, true)
	c.reported(&syncpb.SyncRequest{Member: node("b", 0, 100), Loads: load}, false)
	if got := c.below(load)["i"].Inflight; got != 3 {
		t.Errorf("reports %v in flight, has 3", got)
	}
}

// TestOlderLeaderIsNotTaken.
func TestOlderLeaderIsNotTaken(t *testing.T) {
	now := time.Now()
	c := fleet(3, node("b", 0, 100), &now)
	if !c.setLeader(&syncpb.Leader{Member: node("c", 0, 100), Term: 2}) || c.setLeader(&syncpb.Leader{Member: node("a", 0, 100), Term: 1}) {
		t.Error("an older term is taken, or a newer one is not")
	}
	if l := c.knownLeader(); l.Member.Node != "c0" {
		t.Errorf("leader %s", l.Member.Node)
	}
}

// TestStrongestRelayFirst: calls to the store go by way of a gateway with the widest link
// first, any of these, and then by way of any other: when the few strong ones are lost
// together, a weaker one is asked.
func TestStrongestRelayFirst(t *testing.T) {
	now := time.Now()
	c := newCluster(node("a", 0, 160), &http.Client{}, func() time.Time { return now }, rand.New(rand.NewPCG(1, 2)))
	strong := map[string]bool{"b0:1": true, "c0:1": true}
	var all []*syncpb.Member
	for i := range 12 {
		m := node(string(rune('a'+i%3)), 1+i/3, 160)
		all = append(all, m)
	}
	all = append(all, node("b", 0, 800), node("c", 0, 800))
	c.setMembers(1, all)
	address := make(map[syncpb.Peer]string)
	for _, m := range all {
		address[c.client(m.Address)] = m.Address
	}
	first, second := make(map[string]int), make(map[string]int)
	const draws = 400
	for range draws {
		got := c.some(maxRelays)
		if len(got) != maxRelays || !strong[address[got[0]]] || got[0] == got[1] {
			t.Fatalf("%s and %s of %d", address[got[0]], address[got[1]], len(got))
		}
		first[address[got[0]]]++
		second[address[got[1]]]++
	}
	if len(first) != len(strong) || len(second) != len(all) {
		t.Errorf("some are never asked: first %v, second %v", first, second)
	}
}
