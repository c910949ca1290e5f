package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
)

// TestStoppingLeaderRenewsInItsStopOnly: a renewal by the ordinary loop, which may wait for a
// silent store for longer than the stop has left, would keep the stop from ending in time.
func TestStoppingLeaderRenewsInItsStopOnly(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	record := newCallRecord()
	b.wrapStoreDoor = func(l net.Listener, h http.Handler) (net.Listener, http.Handler) { return l, record.at(h) }
	b.upstream("i-s0", "status")
	g := b.gateway("g0")
	b.ready()
	const renewals = leaseKind + ".replace"
	before := record.of(renewals)
	b.eventually("it renews", func() bool { return record.of(renewals) > before })
	g.leading.resigned.Store(true)
	// One that has begun ends.
	g.leading.writing.Lock()
	before = record.of(renewals)
	g.leading.writing.Unlock()
	time.Sleep(3 * leadership.RenewInterval)
	if n := record.of(renewals) - before; n > 0 {
		t.Errorf("the loop renewed the lease %d times in a stop", n)
	}
}
