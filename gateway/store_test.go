package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// This file tests how gateways behave when the store fails or holds unexpected content.

// TestLeaderStaysWhenStoreRejectsIt checks that a leader which the store does not serve makes its
// calls through other gateways and stays the leader.
func TestLeaderStaysWhenStoreRejectsIt(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]metastore.Mode{"busy": metastore.Unavailable, "many": metastore.TooManyRequests, "reset": metastore.ResetConnection, "silent": metastore.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			l := b.leader()
			l.storeEndpoint.SetMode(mode)
			b.configure(9)
			b.eventually("new configuration in force on all gateways", func() bool { return b.allHaveConfiguration(9) })
			revision := l.cluster.knownLeader().Revision
			b.eventually("two more lease renewals", func() bool { return l.cluster.knownLeader().Revision > revision+1 })
			if b.leader() != l {
				t.Error("another gateway became the leader")
			}
		})
	}
}

// TestStoreOutageLongerThanLease checks that the leader continues by promises of the other gateways
// during an outage longer than its lease and than any grant, and that owners continue to serve.
func TestStoreOutageLongerThanLease(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetAllModes(metastore.Unresponsive)
	l := b.leader()
	b.eventually("leader acts by promises", l.elector.actsByPromises)
	stop := b.startLoad(b.gateways, http.MethodGet, "/status/x", true)
	time.Sleep(3 * holdDuration)
	if b.leader() != l {
		t.Error("the leader stopped leading during the outage")
	}
	if sent, failed := stop(); failed > 0 || sent == 0 {
		t.Errorf("%d of %d requests failed during the outage", failed, sent)
	}
	b.store.SetAllModes(metastore.Healthy)
	b.eventually("a leader after the outage", func() bool { return b.leader() != nil })
	b.ready()
}

// TestLeaderLostDuringStoreOutage checks that keys are served during the longer grants after the
// leader is lost, and that the next leader waits for these grants to expire: the oracle must not
// see two owners of a key when an owner becomes silent as well.
func TestLeaderLostDuringStoreOutage(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetAllModes(metastore.Unavailable)
	l := b.leader()
	b.eventually("leader acts by promises", l.elector.actsByPromises)
	time.Sleep(renewInterval)
	l.kill()
	b.upstreams["i-s0"].SetMode(instance.Unresponsive)
	b.store.SetAllModes(metastore.Healthy)
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("silent owner owns no keys", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
}

// TestCompactedChangeMissedByWatches checks that a change takes effect even if every watch missed
// it and its history was compacted.
func TestCompactedChangeMissedByWatches(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.SetSuppressEvents(true)
	b.configure(7)
	// Watches that were already in progress end while watches receive nothing.
	time.Sleep(watchWait)
	b.store.Compact()
	b.store.SetSuppressEvents(false)
	b.eventually("missed configuration in force", func() bool { return b.gateways[2].view.table.Load().Version == 7 })
}

// TestInvalidConfigurationIsIgnored checks that the last valid configuration stays in force, and
// that an invalid upstream entry does not hide later ones.
func TestInvalidConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.store.Put(platform.ConfigKind, platform.ConfigName, rawJSON(`{"version":"x"}`))
	b.store.Put(platform.InstancesKind, "i-odd", rawJSON(`[1]`))
	b.upstream("i-p7", "pay")
	b.eventually("upstream added after the invalid entry", func() bool { return b.gateways[0].view.inst.Load().Get("i-p7") != nil })
	b.mustRequest(b.gateways[0], http.MethodGet, "/status/x", 5)
	b.configure(8)
	b.eventually("next valid configuration in force", func() bool { return b.gateways[1].view.table.Load().Version == 8 })
}

// TestOlderConfigurationIsIgnored checks that a configuration with a lower version does not replace
// a newer one, whatever its source.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	b.configure(9)
	b.eventually("version 9 in force on all gateways", func() bool { return b.allHaveConfiguration(9) })
	b.configure(4)
	b.upstream("i-p7", "pay")
	b.eventually("a later change known to all gateways", func() bool {
		for _, g := range b.gateways {
			if g.view.inst.Load().Get("i-p7") == nil {
				return false
			}
		}
		return true
	})
	for _, g := range b.gateways {
		if v := g.view.table.Load().Version; v != 9 {
			t.Errorf("%s: configuration version %d in force, want 9", g.conf.Node, v)
		}
	}
}
