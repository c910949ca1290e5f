package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/standin/metastore"
)

// inForceWithin is how long after the store has acknowledged a configuration every gateway must
// have it in force.
const inForceWithin = 2 * time.Second

// TestConfigurationByTheOnlyPath guards against configurations that take effect seconds late while
// the store serves only one gateway.
//
// The store becomes silent for the leader and most other gateways, and an operator changes the
// configuration. The leader still reaches the store through other gateways now and then, and stays
// the leader, but its watch waits on one path after the other that delivers nothing. Each silent
// watch costs its whole wait, and the next one may be silent too. Requests were then routed by a
// configuration replaced more than 2.5 s before, and all gateways received the new one from the
// leader at the same moment, up to 5.6 s late. A successful call on another path must not count as
// evidence that the watch is up to date. The test reproduces this situation with three and with
// twelve gateways, of which the store serves one.
func TestConfigurationByTheOnlyPath(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gateways int
		mode     metastore.Mode
	}{
		{3, metastore.Unresponsive}, {12, metastore.Unresponsive}, {12, metastore.Unavailable}, {12, metastore.ResetConnection},
	} {
		t.Run(fmt.Sprint(c.gateways, " gateways, mode ", c.mode), func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			b.upstream("i-s0", "status")
			b.upstream("i-p0", "pay")
			for i := range c.gateways {
				b.gateway(fmt.Sprint("g", i))
			}
			b.ready()
			served := b.gateways[c.gateways-1]
			if served == b.leader() {
				served = b.gateways[0]
			}
			for _, g := range b.gateways {
				if g != served {
					g.storeEndpoint.SetMode(c.mode)
				}
			}
			const first, versions = 3, 4
			for version := uint64(first); version < first+versions; version++ {
				changed := time.Now()
				b.configure(version)
				b.eventually("configuration in force on all gateways", func() bool {
					for _, g := range b.gateways {
						if g.view.table.Load().Version < version {
							return false
						}
					}
					return true
				})
				if took := time.Since(changed); took > inForceWithin {
					t.Errorf("version %d took %s to be in force on all gateways", version, took.Round(time.Millisecond))
				}
			}
		})
	}
}
