package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// upstreamsNamed returns a view of so many upstreams.
func testUpstreams(n int) *instances.View {
	var list []instances.Instance
	for i := range n {
		list = append(list, instances.Instance{ID: fmt.Sprintf("i-%08x", i*7919%n), Service: "s", Slots: 3})
	}
	return instances.NewView(1, list)
}

// TestFleetComesBack within the precision of a byte.
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
	loads, told, ok := v.decodeFleet(m)
	if !ok || len(loads) != 2 || len(told) != 2 {
		t.Fatalf("%v, %v, %v", loads, told, ok)
	}
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > want/30 {
			t.Errorf("%s: %g, want %g", what, got, want)
		}
	}
	near("in flight", float64(loads[0].Inflight), 3)
	near("in flight", float64(loads[1].Inflight), 0.3)
	for id, want := range workTimes {
		near("work", told[id].Work.Seconds(), want.Work.Seconds())
		near("slowness", told[id].Slowness, want.Slowness)
	}
}

// TestFleetThatDoesNotFit is not taken over: of another version, or of another size.
func TestMismatchedFleetIsRejected(t *testing.T) {
	v := newView()
	v.setInstances(9, testUpstreams(5))
	sound := func() *syncpb.Fleet {
		return &syncpb.Fleet{InstancesVersion: 9, InFlight: make([]byte, 5), Work: make([]byte, 10)}
	}
	if _, _, ok := v.decodeFleet(sound()); !ok {
		t.Error("a sound one is not taken")
	}
	for name, spoil := range map[string]func(*syncpb.Fleet){
		"version":   func(m *syncpb.Fleet) { m.InstancesVersion = 8 },
		"in flight": func(m *syncpb.Fleet) { m.InFlight = m.InFlight[:4] },
		"work":      func(m *syncpb.Fleet) { m.Work = append(m.Work, 0) },
		"slowness":  func(m *syncpb.Fleet) { m.Slowness = make([]byte, 3) },
	} {
		m := sound()
		spoil(m)
		if _, _, ok := v.decodeFleet(m); ok {
			t.Errorf("taken though its %s does not fit", name)
		}
	}
}

// TestFleetIsToldInTime: a gateway that asks again and again for other news is told what
// others have in flight no more often than it costs.
func TestFleetSendRateIsLimited(t *testing.T) {
	now := time.Now()
	c := testCluster(minTreeSize, testMember("a", 0, 100), &now)
	report := &syncpb.SyncRequest{Member: testMember("a", 1, 100)}
	told, workTimesSent := 0, 0
	for range 100 {
		c.handleReport(report, true)
		due, withWorkTimes := c.claimFleetUpdate("a1", 3000)
		if due {
			told++
		}
		if withWorkTimes {
			workTimesSent++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if told != 6 || workTimesSent != 1 {
		t.Errorf("told %d times in a second, work times %d times", told, workTimesSent)
	}
}

// TestMembersAreListedInTime: while hundreds of gateways start, the list of members is told
// a few times, and in the end it is whole.
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

// BenchmarkFleet is what a leader tells one of 300 gateways of 3,000 upstreams, with the sum
// over all reports made anew for every tenth.
func BenchmarkFleet(b *testing.B) {
	now := time.Now()
	c := newCluster(testMember("a", 0, 100), nil, func() time.Time { return now }, nil)
	c.setLeading(true)
	v, workTimes := testUpstreams(3000), make(map[string]worktime.Estimate)
	for _, id := range v.IDs() {
		workTimes[id] = worktime.Estimate{Work: 90 * time.Millisecond, Slowness: 1}
	}
	for g := range 100 {
		r := &syncpb.SyncRequest{Member: testMember("a", g+1, 100)}
		for i := range 12 {
			r.Loads = append(r.Loads, &syncpb.Load{Instance: v.IDs()[(g*30+i)%3000], Inflight: 1})
		}
		c.handleReport(r, true)
	}
	packer, size := &fleetEncoder{}, 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%10 == 0 {
			now = now.Add(sumMaxAge)
		}
		size = proto.Size(packer.encode(c.sum(nil), "a1", v, 1, workTimes, true))
	}
	b.ReportMetric(float64(size), "bytes")
}
