package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestKeyRequestsKeepTheirWork guards against owners that are balanced by the number of requests: the
// work of a request's route must reach the leader, in no bytes if all have the mean. Work from a wrong
// message is bounded.
func TestKeyRequestsKeepTheirWork(t *testing.T) {
	requests := []keyRequest{{1, 0.77}, {2, 1}, {2, 1.24}}
	m := encodeKeys("s", requests)
	if diff := cmp.Diff(requests, decodeKeys(m), cmp.AllowUnexported(keyRequest{})); diff != "" {
		t.Error(diff)
	}
	if m := encodeKeys("s", []keyRequest{{1, 1}, {2, 1.004}}); m.Work != nil {
		t.Errorf("work %v of requests of the mean", m.Work)
	}
	wrong := &syncpb.KeyCounts{Service: "s", Keys: []uint32{7, 1 << 20}, Work: []uint32{1 << 30, 100}}
	if got := decodeKeys(wrong); got[0].work != 5 || got[1].key != spans.MaxKey {
		t.Errorf("decoded %v", got)
	}
	short := &syncpb.KeyCounts{Service: "s", Keys: []uint32{7, 8}, Work: []uint32{300}}
	if got := decodeKeys(short); got[0].work != 1 || got[1].work != 1 {
		t.Errorf("decoded %v from a message with too few values", got)
	}
}
