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

// TestStartGoesToTheStore: a gateway that has just started and finds nobody with
// fresh news goes to the store at once, for its view and for the lease. What others
// that have just started answer is no news. (After all were killed each waited
// 0.7 s: trouble-3 and scale-2 on Merrimack.)
func TestStartGoesToTheStore(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, began: now}
	if f.needsStore(time.Time{}) || f.alone() {
		t.Error("to the store before others were asked")
	}
	f.noteNews(&syncpb.SyncResponse{NewsMs: milliseconds(f.newsAge(time.Time{}))})
	now = now.Add(seedWait + time.Millisecond)
	if !f.needsStore(time.Time{}) || !f.alone() {
		t.Error("an answer without news holds it back")
	}
	f.noteNews(&syncpb.SyncResponse{NewsMs: 50})
	if f.needsStore(time.Time{}) || f.alone() {
		t.Error("to the store although another has news")
	}
}

// TestHeadStart: without news a gateway waits longer the more come before it, and
// once it watches it goes on until it hears from a leader.
func TestHeadStart(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, began: now, heard: now, ahead: 2}
	f.view.table.Store(&routing.Table{})
	now = now.Add(orphanAfter + headStart)
	if f.needsStore(time.Time{}) {
		t.Error("no head start for those before it")
	}
	now = now.Add(headStart + time.Millisecond)
	if !f.needsStore(time.Time{}) {
		t.Error("never to the store")
	}
	watched := now
	now = now.Add(time.Second)
	f.noteNews(&syncpb.SyncResponse{})
	if !f.needsStore(watched) {
		t.Error("the watch ends although no leader was heard")
	}
}

// TestSeedsStartFirst: of gateways that all start at once the seeds go to the store
// and the others wait for their news. (All of 90 listed the upstreams after each loss
// of power: 3,700 store calls on mvmss-gw-grown trouble-2.)
func TestSeedsStartFirst(t *testing.T) {
	now := time.Now()
	f := &follower{view: newView(), now: func() time.Time { return now }, began: now, seeds: []string{"10.0.0.1:1"}}
	now = now.Add(seedWait + time.Millisecond)
	if f.needsStore(time.Time{}) || !f.alone() {
		t.Error("no head start for the seeds, or the lease waits for them")
	}
	now = now.Add(seedHeadStart)
	if !f.needsStore(time.Time{}) {
		t.Error("never to the store when no seed has news")
	}
	f.seed, f.began = true, now.Add(-seedWait-time.Millisecond)
	if !f.needsStore(time.Time{}) {
		t.Error("a seed waits")
	}
}

// TestSilentPeers: when a report gets no answer, the other connections to gateways are
// not used any more: they may have fallen silent with that one.
func TestSilentPeers(t *testing.T) {
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
		t.Fatal("no connection was kept")
	}
	b.eventually("the other connections are closed", func() bool { return r.Open() == 0 })
}

// TestSeekFindsALeader: a look for a leader ends when one becomes known, also while
// others that are asked do not answer. (After a loss of power each gateway waited 0.4 s
// for dark machines: mvmss-gw trouble-1.)
func TestSeekFindsALeader(t *testing.T) {
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
		view: newView(), cluster: c, now: now, log: slog.New(slog.DiscardHandler), meters: newMeters(), began: now(),
		sieve: newSieve(newView(), now, slog.New(slog.DiscardHandler), newMeters()), evac: &evacuations{view: newView()},
		seeds: []string{dark.Addr().String()}, fetcher: newFetcher(c.client, nil, now, slog.New(slog.DiscardHandler), newMeters()),
	}
	go func() {
		if conn, err := dark.Accept(); err == nil {
			// Asked, and silent; the lease names the leader meanwhile.
			defer func() { _ = conn.Close() }()
			c.setLeader(&syncpb.Leader{Member: &syncpb.Member{Node: "l", Address: "127.0.0.1:2"}, Term: 1})
			<-t.Context().Done()
		}
	}()
	if !f.seek(t.Context()) {
		t.Error("the leader is not found")
	}
	if f.seek(t.Context()) {
		t.Error("a leader that was known before is found again")
	}
}
