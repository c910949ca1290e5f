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

// TestConfigurationByTheOnlyPath is a regression test.
//
// What users saw: requests went by a configuration that had been replaced 2.5 s before and more; all
// gateways took the new one at the same moment, up to 5.6 s late, from the leader.
// Order of events: the store falls silent for the leader and most other gateways and serves the
// rest; an operator changes the configuration; the leader reaches the store now and then by way of
// others and goes on to lead; its watch waits on one path after the other that hears nothing.
// Cause: a call that gets through vouches for the store, and nobody asks how old the watch's last
// word is; a watch that hears nothing costs its whole wait, and the next one may hear nothing, too.
// Evidence: the leader's lines of a played day; with a door to the store at one of twelve gateways
// alone versions arrive seconds late.
func TestConfigurationByTheOnlyPath(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gateways int
		mode     metastore.Mode
	}{
		{3, metastore.Silent}, {12, metastore.Silent}, {12, metastore.Busy}, {12, metastore.Reset},
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
					g.storeDoor.Set(c.mode)
				}
			}
			const first, versions = 3, 4
			for version := uint64(first); version < first+versions; version++ {
				changed := time.Now()
				b.configure(version)
				b.eventually("the configuration in force", func() bool {
					for _, g := range b.gateways {
						if g.view.table.Load().Version < version {
							return false
						}
					}
					return true
				})
				if took := time.Since(changed); took > inForceWithin {
					t.Errorf("version %d in force everywhere after %s", version, took.Round(time.Millisecond))
				}
			}
		})
	}
}
