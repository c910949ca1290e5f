package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// testUpstreams returns a view of n upstreams.
func testUpstreams(n int) *instances.View {
	var list []instances.Instance
	for i := range n {
		list = append(list, instances.Instance{ID: fmt.Sprintf("i-%08x", i*7919%n), Service: "s", Slots: 3})
	}
	return instances.NewView(1, list)
}

// TestFleetRoundTrip checks that loads and work times survive encoding and decoding within the
// precision of a byte.
func TestFleetRoundTrip(t *testing.T) {
	v := newView()
	v.setInstances(9, testUpstreams(50))
	known, version := v.upstreams()
	sum := &fleetSum{
		loads:   map[string]*syncpb.Load{"i-00000003": {Inflight: 5}, "i-00000031": {Inflight: 0.3}, "gone": {Inflight: 7}},
		byChild: map[string][]*syncpb.Load{"g": {{Instance: "i-00000003", Inflight: 2}, {Instance: "gone", Inflight: 1}}},
	}
	workTimes := map[string]worktime.Estimate{
		"i-00000003": {Work: 90 * time.Millisecond, Slowness: 1}, "i-00000007": {Work: 2 * time.Second, Slowness: 2.8},
	}
	m := (&fleetEncoder{}).encode(sum, "g", known, version, workTimes, true)
	loads, decoded, ok := v.decodeFleet(m)
	if !ok || len(loads) != 2 || len(decoded) != 2 {
		t.Fatalf("%v, %v, %v", loads, decoded, ok)
	}
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > want/30 {
			t.Errorf("%s: %g, want %g", what, got, want)
		}
	}
	near("in flight", float64(loads[0].Inflight), 3)
	near("in flight", float64(loads[1].Inflight), 0.3)
	for id, want := range workTimes {
		near("work", decoded[id].Work.Seconds(), want.Work.Seconds())
		near("slowness", decoded[id].Slowness, want.Slowness)
	}
}

// TestRejectionsPassThroughTheTree checks that a rejection reaches the other gateways with its age: the
// time on the way and in the reports counts.
func TestRejectionsPassThroughTheTree(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	head := newCluster(&syncpb.Member{Node: "head"}, nil, clock, nil)
	head.handleReport(&syncpb.SyncRequest{
		Member: &syncpb.Member{Node: "g"}, Loads: []*syncpb.Load{{Instance: "i-00000003", RejectedMs: 100}, {Instance: "i-00000031", RejectedMs: 900}},
	}, true)
	now = now.Add(200 * time.Millisecond)
	if got := head.rejectedElsewhere(); len(got) != 1 || got["i-00000003"] != 300*time.Millisecond {
		t.Errorf("rejections at the head: %v", got)
	}
	v := newView()
	v.setInstances(9, testUpstreams(50))
	known, version := v.upstreams()
	m := (&fleetEncoder{}).encode(head.sum(nil), "other", known, version, nil, false)
	loads, _, ok := v.decodeFleet(m)
	if !ok || len(loads) != 1 || loads[0].Instance != "i-00000003" || loads[0].RejectedMs != 300 {
		t.Fatalf("%v, %v", loads, ok)
	}
	leaf := newCluster(&syncpb.Member{Node: "leaf"}, nil, clock, nil)
	leaf.setParentLoads(loads, nil)
	now = now.Add(100 * time.Millisecond)
	if got := leaf.rejectedElsewhere()["i-00000003"]; got != 400*time.Millisecond {
		t.Errorf("rejection at a leaf: %s ago", got)
	}
	for name, change := range map[string]func(*syncpb.Fleet){
		"sizes differ": func(m *syncpb.Fleet) { m.RejectedGaps = nil },
		"past the end": func(m *syncpb.Fleet) { m.RejectedGaps = []uint32{50} },
		"huge gap":     func(m *syncpb.Fleet) { m.RejectedGaps = []uint32{math.MaxUint32} },
		"one too many": func(m *syncpb.Fleet) { m.Rejected, m.RejectedGaps = []byte{1, 1}, []uint32{49, 0} },
	} {
		bad := &syncpb.Fleet{InstancesVersion: version, Rejected: m.Rejected, RejectedGaps: m.RejectedGaps}
		change(bad)
		if _, _, ok := v.decodeFleet(bad); ok {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestFleetSizeFollowsTheLoad checks that a message grows with the upstreams that have requests and not
// with all of them.
func TestFleetSizeFollowsTheLoad(t *testing.T) {
	size := func(upstreams int) int {
		v, sum := testUpstreams(upstreams), &fleetSum{loads: make(map[string]*syncpb.Load)}
		for i := range 200 {
			sum.loads[v.At(i*upstreams/200).ID] = &syncpb.Load{Inflight: 1}
		}
		return proto.Size((&fleetEncoder{}).encode(sum, "", v, 1, nil, false))
	}
	if few, many := size(1000), size(20_000); many > few+20 {
		t.Errorf("%d bytes at 20,000 upstreams, %d at 1,000, each with 200 in use", many, few)
	}
}

// TestMismatchedFleetIsRejected checks that a message for another version of the upstreams or of
// the wrong size is not applied.
func TestMismatchedFleetIsRejected(t *testing.T) {
	v := newView()
	v.setInstances(9, testUpstreams(5))
	validMessage := func() *syncpb.Fleet {
		return &syncpb.Fleet{InstancesVersion: 9, InFlight: make([]byte, 5), Work: make([]byte, 10)}
	}
	if _, _, ok := v.decodeFleet(validMessage()); !ok {
		t.Error("a valid message is rejected")
	}
	for name, corrupt := range map[string]func(*syncpb.Fleet){
		"version":   func(m *syncpb.Fleet) { m.InstancesVersion = 8 },
		"in flight": func(m *syncpb.Fleet) { m.InFlight = m.InFlight[:4] },
		"gaps":      func(m *syncpb.Fleet) { m.Gaps = []uint32{0, 0, 0, 0} },
		"positions": func(m *syncpb.Fleet) { m.InFlight, m.Gaps = []byte{9, 9}, []uint32{3, 1} },
		"far gap":   func(m *syncpb.Fleet) { m.InFlight, m.Gaps = []byte{9}, []uint32{math.MaxUint32} },
		"work":      func(m *syncpb.Fleet) { m.Work = append(m.Work, 0) },
		"slowness":  func(m *syncpb.Fleet) { m.Slowness = make([]byte, 3) },
	} {
		m := validMessage()
		corrupt(m)
		if _, _, ok := v.decodeFleet(m); ok {
			t.Errorf("accepted although its %s does not match", name)
		}
	}
}

// TestFleetSendRateIsLimited checks that a gateway that keeps asking for other updates is not
// sent the load from other gateways more often than the minimum interval allows.
func TestFleetSendRateIsLimited(t *testing.T) {
	now := time.Now()
	c := clusterOfSize(reporttree.MinGateways, testMember("a", 0, 100), &now)
	report := &syncpb.SyncRequest{Member: testMember("a", 1, 100)}
	sent, workTimesSent := 0, 0
	for range 100 {
		c.handleReport(report, true)
		due, withWorkTimes := c.claimFleetUpdate("a1", 3000)
		if due {
			sent++
		}
		if withWorkTimes {
			workTimesSent++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if sent != 6 || workTimesSent != 1 {
		t.Errorf("sent %d times in a second, with work times %d times", sent, workTimesSent)
	}
}

// TestMemberListVersionRateIsLimited checks that the member list gets only a few versions while
// hundreds of gateways start, and that it is complete in the end.
func TestMemberListVersionRateIsLimited(t *testing.T) {
	now := time.Now()
	c := newCluster(testMember("a", 0, 100), nil, func() time.Time { return now }, nil)
	c.setLeading(true)
	versions := make(map[uint64]bool)
	for i := 1; i < 300; i++ {
		c.handleReport(&syncpb.SyncRequest{Member: testMember("a", i, 100)}, true)
		versions[c.membersVersion()] = true
		now = now.Add(7 * time.Millisecond)
	}
	now = now.Add(time.Second)
	list, last := c.allMembers()
	if len(versions) > 40 || len(list) != 300 || versions[last] {
		t.Errorf("%d versions, %d members", len(versions), len(list))
	}
}

// BenchmarkFleet measures how a leader encodes the load at 3,000 upstreams for one of 300
// gateways, with the sum over all reports recomputed for every tenth message.
func BenchmarkFleet(b *testing.B) {
	now := time.Now()
	c := newCluster(testMember("a", 0, 100), nil, func() time.Time { return now }, nil)
	c.setLeading(true)
	v, workTimes := testUpstreams(3000), make(map[string]worktime.Estimate)
	for inst := range v.All() {
		workTimes[inst.ID] = worktime.Estimate{Work: 90 * time.Millisecond, Slowness: 1}
	}
	for g := range 100 {
		r := &syncpb.SyncRequest{Member: testMember("a", g+1, 100)}
		for i := range 12 {
			r.Loads = append(r.Loads, &syncpb.Load{Instance: v.At((g*30 + i) % 3000).ID, Inflight: 1})
		}
		c.handleReport(r, true)
	}
	encoder, size := &fleetEncoder{}, 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%10 == 0 {
			now = now.Add(sumMaxAge)
		}
		size = proto.Size(encoder.encode(c.sum(nil), "a1", v, 1, workTimes, true))
	}
	b.ReportMetric(float64(size), "bytes")
}
