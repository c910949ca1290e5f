package gateway

import (
	"testing"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestPreviousOwnersAreBounded checks that the kept versions of a service's key owners take a bounded
// number of spans, however many spans a version has, and that small tables are kept as often as before.
func TestPreviousOwnersAreBounded(t *testing.T) {
	for size, want := range map[int]int{16: maxPreviousVersions, 512: maxPreviousVersions, 4096: maxPreviousSpans / 4096, 65536: 2} {
		v := newView()
		for version := range uint64(2 * maxPreviousVersions) {
			v.setSpans(&spans.Table{Service: "s", Version: version + 1, Spans: make([]spans.Span, size)})
		}
		if got := len(v.previousSpans["s"]); got != want {
			t.Errorf("%d versions of %d spans kept, want %d", got, size, want)
		}
		if v.previousTable("s", 2*maxPreviousVersions-1) == nil {
			t.Errorf("the version before the newest one is not kept at %d spans", size)
		}
	}
}

// TestLeafKeepsFewVersions checks that a gateway to which no other reports keeps only the versions of the
// upstreams that its own parent may refer to, and more once another reports to it.
func TestLeafKeepsFewVersions(t *testing.T) {
	v, receivers := newView(), false
	v.hasReceivers = func() bool { return receivers }
	version := uint64(0)
	add := func(n int) {
		for range n {
			version++
			v.setInstances(version, instances.NewView(version, nil))
		}
	}
	add(100)
	if len(v.previousInst) != ownVersions || v.previousInstances(version) == nil {
		t.Errorf("%d versions kept, want the newest %d", len(v.previousInst), ownVersions)
	}
	receivers = true
	add(100)
	if len(v.previousInst) != maxPreviousVersions {
		t.Errorf("%d versions kept for others, want %d", len(v.previousInst), maxPreviousVersions)
	}
}

// TestRepeatedVersionStaysApplicable guards against dropping the version in use, which came before from another gateway.
func TestRepeatedVersionStaysApplicable(t *testing.T) {
	for _, receivers := range []bool{false, true} {
		for versions := range uint64(6) {
			testRepeatedVersions(t, receivers, versions+1)
		}
	}
}

func testRepeatedVersions(t *testing.T, receivers bool, versions uint64) {
	v := newView()
	v.hasReceivers = func() bool { return receivers }
	serving := instances.Instance{ID: "a", Service: "s", Address: "a:1"}
	for n := range uint64(4 * maxPreviousVersions) {
		version := 1 + n%versions
		v.setInstances(version, instances.NewView(1, []instances.Instance{serving}))
		if v.previousInstances(version) == nil {
			t.Errorf("%d versions by turns, receivers %t: the version in use is not kept after %d views", versions, receivers, n+1)
			return
		}
	}
	_, base := v.upstreams()
	leaving := &syncpb.Instance{Id: "a", Service: "s", Address: "a:1", Leaving: true, Revision: 2}
	err := v.applyInstances(&syncpb.Instances{Revision: 2, Version: versions + 1, Base: base, List: []*syncpb.Instance{leaving}})
	if err != nil || !v.inst.Load().Get("a").Leaving {
		t.Errorf("%d versions by turns, receivers %t: a change of the version in use was not applied: %v", versions, receivers, err)
	}
}
