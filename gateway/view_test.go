package gateway

import (
	"testing"

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
