package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/relay"
	"github.com/rockcroft/rockcroft/state/routing"
)

// TestStartWithoutPeerStateReadsStore: a gateway that has just started and finds no peer with recent
// state reads its view and the lease from the store at once. Answers of peers that have just
// started themselves carry no state and must not delay it. When they did, each gateway waited 0.7 s
// after all had been killed.
func TestStartWithoutPeerStateReadsStore(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, startedAt: now}
	if f.needsStore(time.Time{}) || f.startedAlone() {
		t.Error("reads the store before other gateways were asked")
	}
	f.recordUpdate(&syncpb.SyncResponse{NewsMs: milliseconds(f.maxViewAge(time.Time{}))})
	now = now.Add(startupPeerWait + time.Millisecond)
	if !f.needsStore(time.Time{}) || !f.startedAlone() {
		t.Error("an answer without recent state delays reading the store")
	}
	f.recordUpdate(&syncpb.SyncResponse{NewsMs: 50})
	if f.needsStore(time.Time{}) || f.startedAlone() {
		t.Error("reads the store although another gateway has recent state")
	}
}

// TestStoreWatchWaitsForPeersAhead: without new state a gateway waits longer the more peers rank
// before it. Once it watches the store, it continues until it is in contact with a leader.
func TestStoreWatchWaitsForPeersAhead(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, startedAt: now, leaderHeardAt: now, domainPeersAhead: 2}
	f.view.table.Store(&routing.Table{})
	now = now.Add(leaderSilenceTimeout + headStartPerPeer)
	if f.needsStore(time.Time{}) {
		t.Error("no head start for the gateways ranked before it")
	}
	now = now.Add(headStartPerPeer + time.Millisecond)
	if !f.needsStore(time.Time{}) {
		t.Error("never watches the store")
	}
	watched := now
	now = now.Add(time.Second)
	f.recordUpdate(&syncpb.SyncResponse{})
	if !f.needsStore(watched) {
		t.Error("the watch ends before a leader was heard")
	}
}

// TestSeedsReadTheStoreFirst: when all gateways start at once, the seeds read the store and the others
// wait for the seeds. Without that, each of 90 gateways listed all upstreams after a power loss, with
// 3,700 store calls in total.
func TestSeedsReadTheStoreFirst(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, startedAt: now, seeds: []string{"10.0.0.1:1"}}
	now = now.Add(startupPeerWait + time.Millisecond)
	if f.needsStore(time.Time{}) || !f.startedAlone() {
		t.Error("seeds get no head start, or the lease is not read in time")
	}
	now = now.Add(seedHeadStart)
	if !f.needsStore(time.Time{}) {
		t.Error("never reads the store when no seed has state")
	}
	f.isSeed, f.startedAt = true, now.Add(-startupPeerWait-time.Millisecond)
	if !f.needsStore(time.Time{}) {
		t.Error("a seed waits for other seeds")
	}
}

// TestReportTimeoutClosesIdleConnections: when a report gets no answer, the other idle connections to
// gateways are closed, as they may have gone silent together with that one.
func TestReportTimeoutClosesIdleConnections(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.keepIdle = true
	b.startStandard()
	leader := b.leader()
	var f *follower
	for _, g := range b.gateways {
		if g != leader {
			f = g.follower
		}
	}
	r, err := relay.New(leader.listeners.Peers.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	const wait = 100 * time.Millisecond
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { f.report(context.Background(), r.Addr(), wait) })
	}
	all.Wait()
	r.SilenceAll()
	if ok, _ := f.report(context.Background(), r.Addr(), wait); ok {
		t.Fatal("the report opened a new connection instead of reusing a silent one")
	}
	b.eventually("the other connections are closed", func() bool { return r.OpenConnections() == 0 })
}

// TestSeekEndsWhenALeaderIsFound: a search for a leader ends when one becomes known, even while other
// gateways that were asked have not answered. Otherwise each gateway waited 0.4 s for machines that
// were still down after a power loss.
func TestSeekEndsWhenALeaderIsFound(t *testing.T) {
	t.Parallel()
	now := time.Now
	self := &syncpb.Member{Node: "g", Address: "127.0.0.1:1", Domain: "a"}
	c := newCluster(self, &http.Client{}, now, nil)
	dark, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dark.Close() }()
	f := &follower{
		view: newView(), cluster: c, now: now, log: slog.New(slog.DiscardHandler), meters: newMeters(), startedAt: now(),
		validator: newPeerValidator(newView(), now, slog.New(slog.DiscardHandler), newMeters()), evac: &evacuations{view: newView()},
		seeds: []string{dark.Addr().String()}, fetcher: newFetcher(c.client, nil, now, slog.New(slog.DiscardHandler), newMeters()),
	}
	go func() {
		if conn, err := dark.Accept(); err == nil {
			// The gateway asked stays silent. Meanwhile the leader becomes known from the lease.
			defer func() { _ = conn.Close() }()
			c.setLeader(&syncpb.Leader{Member: &syncpb.Member{Node: "l", Address: "127.0.0.1:2"}, Term: 1})
			<-t.Context().Done()
		}
	}()
	if !f.seekLeader(t.Context()) {
		t.Error("leader not found")
	}
	if f.seekLeader(t.Context()) {
		t.Error("a leader that was already known ended the search")
	}
}
