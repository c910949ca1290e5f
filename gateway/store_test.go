package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// This file tests what gateways do when the store fails or what it holds is odd.

// TestStoreTurnsTheLeaderAway: calls go by way of other gateways, and the
// leader stays.
func TestStoreTurnsTheLeaderAway(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]metastore.Mode{"busy": metastore.Busy, "many": metastore.Many, "reset": metastore.Reset, "silent": metastore.Silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			l := b.leader()
			l.storeDoor.Set(mode)
			b.configure(9)
			b.eventually("new configuration everywhere", func() bool { return b.allHaveConfiguration(9) })
			revision := l.cluster.knownLeader().Revision
			b.eventually("two more renewals", func() bool { return l.cluster.knownLeader().Revision > revision+1 })
			if b.leader() != l {
				t.Error("the leader has changed")
			}
		})
	}
}

// TestStoreAway: the leader goes on by promises through an outage that is longer
// than its lease and than any grant, and owners serve on.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetAll(metastore.Silent)
	l := b.leader()
	b.eventually("promises", l.leading.byPromises)
	stop := b.startLoad(b.gateways, http.MethodGet, "/status/x", true)
	time.Sleep(3 * holdTime)
	if b.leader() != l {
		t.Error("the leader does not go on")
	}
	if sent, failed := stop(); failed > 0 || sent == 0 {
		t.Errorf("%d of %d failed in the outage", failed, sent)
	}
	b.store.SetAll(metastore.Open)
	b.eventually("a leader", func() bool { return b.leader() != nil })
	b.ready()
}

// TestLeaderLostWhileStoreAway: keys are served on by the longer grants, and the
// next leader counts with these: the oracle sees no two owners when an owner falls
// silent as well.
func TestLeaderLostWhileStoreAway(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetAll(metastore.Busy)
	l := b.leader()
	b.eventually("promises", l.leading.byPromises)
	time.Sleep(renewInterval)
	l.kill()
	b.upstreams["i-s0"].Set(instance.Silent)
	b.store.SetAll(metastore.Open)
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("nothing owned by the lost one", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
}

// TestCompactionWhileWatchesAreDeaf: a change that no watch showed is in force
// all the same.
func TestCompactionWhileWatchesAreDeaf(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetDeaf(true)
	b.configure(7)
	// A watch that began before ends in the deaf time.
	time.Sleep(watchWait)
	b.store.Compact()
	b.store.SetDeaf(false)
	b.eventually("the configuration in force", func() bool { return b.gateways[2].view.table.Load().Version == 7 })
}

// TestBadConfiguration: the last good version stays in force.
func TestBadConfiguration(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.Put(platform.ConfigKind, platform.ConfigName, rawJSON(`{"version":"x"}`))
	b.store.Put(platform.InstancesKind, "i-odd", rawJSON(`[1]`))
	b.upstream("i-p7", "pay")
	b.eventually("the upstream after the bad one", func() bool { return b.gateways[0].view.inst.Load().Get("i-p7") != nil })
	b.mustRequest(b.gateways[0], http.MethodGet, "/status/x", 5)
	b.configure(8)
	b.eventually("the next good version", func() bool { return b.gateways[1].view.table.Load().Version == 8 })
}

// TestConfigurationNeverGoesBack, whoever says so.
func TestConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.configure(9)
	b.eventually("version 9 everywhere", func() bool { return b.allHaveConfiguration(9) })
	b.configure(4)
	b.upstream("i-p7", "pay")
	b.eventually("a later change everywhere", func() bool {
		for _, g := range b.gateways {
			if g.view.inst.Load().Get("i-p7") == nil {
				return false
			}
		}
		return true
	})
	for _, g := range b.gateways {
		if v := g.view.table.Load().Version; v != 9 {
			t.Errorf("%s: version %d", g.conf.Node, v)
		}
	}
}
