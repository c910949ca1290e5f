package gateway

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/settings"
)

// laggingFollower is a follower without connections, whose view has revision 5.
type laggingFollower struct {
	*follower
	now time.Time
}

func newLaggingFollower() *laggingFollower {
	l := &laggingFollower{now: time.Unix(1000, 0)}
	clock := func() time.Time { return l.now }
	m, log, v := newMeters(), slog.New(slog.DiscardHandler), newView()
	self := &syncpb.Member{Node: "g1", Address: "g1:1", Domain: "a"}
	l.follower = &follower{
		view: v, now: clock, log: log, meters: m, cluster: newCluster(self, nil, clock, rand.New(rand.NewPCG(1, 1))),
		traffic: newTraffic(settings.DefaultGateway(), clock, rand.New(rand.NewPCG(1, 1))), fetcher: newFetcher(nil, nil, clock, log, m),
		evac: newEvacuations(v, clock, log, m), validator: newPeerValidator(v, clock, log, m), startedAt: l.now,
	}
	present := instances.NewView(5, []instances.Instance{{ID: "a", Service: "s", Address: "a:1"}})
	l.view.setInstances(present.Version(), present)
	return l
}

// answered applies a response of a parent that is in contact with the leader.
func (l *laggingFollower) answered(resp *syncpb.SyncResponse) {
	l.recordDoubt(resp)
	l.applyResponse("g0:1", resp, l.now)
	l.view.confirmRevision(resp.InstancesVersion, resp.InstancesRevision)
	l.recordLag("g0:1", resp)
	l.recordCurrent(resp)
	l.mu.Lock()
	l.leaderHeardAt, l.updatedAt = l.now, l.now
	l.mu.Unlock()
	l.now = l.now.Add(maxReportInterval)
}

// TestWithheldUpstreamsConfirmNothing guards against taking upstreams for complete that a parent has later ones of.
func TestWithheldUpstreamsConfirmNothing(t *testing.T) {
	f := newLaggingFollower()
	_, version := f.view.upstreamsVersion()
	for range 4 {
		f.answered(&syncpb.SyncResponse{InstancesRevision: 7, InstancesVersion: version})
	}
	if revision, _ := f.view.upstreamsVersion(); revision != 7 || f.needsStore(time.Time{}) {
		t.Errorf("revision %d of the upstreams that a parent has at revision 7", revision)
	}
	current := f.now.Add(-maxReportInterval)
	for range 4 {
		f.answered(&syncpb.SyncResponse{InstancesRevision: 9, InstancesVersion: version + 1})
	}
	if earliest := f.traffic.currency.EarliestChange(f.now); earliest.After(current) {
		t.Errorf("the upstreams count as complete %s after they were", earliest.Sub(current))
	}
	if behind := f.request(0).InstancesBehindMs; behind < milliseconds(maxWithheld) {
		t.Errorf("the gateway says that it is behind for %d ms", behind)
	}
	if !(&peerServer{}).servesParts(f.request(0)) {
		t.Error("the gateway is not offered large parts")
	}
	if !f.needsStore(time.Time{}) {
		t.Error("the gateway does not watch the store")
	}
}

// TestDifferenceFromUnknownBaseIsReplacedByAll guards against being sent again a difference that cannot be applied.
func TestDifferenceFromUnknownBaseIsReplacedByAll(t *testing.T) {
	f := newLaggingFollower()
	_, version := f.view.upstreamsVersion()
	if asked := f.request(0).InstancesVersion; asked != version {
		t.Errorf("asked for the changes since version %d, want %d", asked, version)
	}
	const unknown = 3
	f.answered(&syncpb.SyncResponse{InstancesRevision: 7, InstancesVersion: 4, Instances: &syncpb.Instances{Revision: 7, Version: 4, Base: unknown}})
	if asked := f.request(0).InstancesVersion; asked != 0 {
		t.Errorf("asked for the changes since version %d after a difference that could not be applied", asked)
	}
	f.answered(&syncpb.SyncResponse{InstancesRevision: 4, InstancesVersion: 2})
	if asked := f.request(0).InstancesVersion; asked != version {
		t.Errorf("asked for the changes since version %d of a parent that has none to send, want %d", asked, version)
	}
	all := &syncpb.Instances{Revision: 7, Version: 4, List: []*syncpb.Instance{{Id: "a", Service: "s", Address: "a:1", Leaving: true}}}
	f.answered(&syncpb.SyncResponse{InstancesRevision: 7, InstancesVersion: 4, Instances: all})
	if asked := f.request(0).InstancesVersion; asked != 4 || !f.view.inst.Load().Get("a").Leaving {
		t.Errorf("asked for the changes since version %d after all upstreams were applied", asked)
	}
}
