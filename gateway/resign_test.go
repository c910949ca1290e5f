package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
)

// TestStoppingLeaderRenewsOnlyDuringResign: while a leader stops, the ordinary loop must not renew the
// lease. Such a renewal may wait for a silent store for longer than the stop has left, and would
// delay its end.
func TestStoppingLeaderRenewsOnlyDuringResign(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	record := newCallCounter()
	b.wrapStoreEndpoint = func(l net.Listener, h http.Handler) (net.Listener, http.Handler) { return l, record.counting(h) }
	b.upstream("i-s0", "status")
	g := b.gateway("g0")
	b.ready()
	const renewals = leaseKind + ".replace"
	before := record.count(renewals)
	b.eventually("the leader renews its lease", func() bool { return record.count(renewals) > before })
	g.elector.resigning.Store(true)
	// A renewal that has already begun is allowed to finish.
	g.elector.leaseWriteMu.Lock()
	before = record.count(renewals)
	g.elector.leaseWriteMu.Unlock()
	time.Sleep(3 * leadership.RenewInterval)
	if n := record.count(renewals) - before; n > 0 {
		t.Errorf("the loop renewed the lease %d times during a stop", n)
	}
}
