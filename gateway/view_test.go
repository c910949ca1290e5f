package gateway

import (
	"testing"

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
