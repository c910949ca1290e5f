package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/transport/platform"
)

// TestNonIdempotentIsSentOnce checks that a request that is not idempotent is not
// sent again if the upstream runs it but breaks the connection before the response.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.addEntry("entry", "a")
	u := cluster.addUpstream("up", "a", nil)
	cluster.awaitVoters("a", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	u.SetFaults(upstream.Faults{BreakEvery: 1})
	tests := []struct {
		name    string
		method  string
		headers []string
	}{
		{"post", http.MethodPost, nil},
		{"post with a key that net/http repeats", http.MethodPost, []string{"Idempotency-Key", "x"}},
		{"get declared not idempotent", http.MethodGet, []string{header.Idempotent, "false"}},
		{"get declared not idempotent, with a key", http.MethodGet, []string{header.Idempotent, "false", "X-Idempotency-Key", "x"}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id := fmt.Sprintf("once-%d", i)
			resp := cluster.send(e.callers, tt.method, "svc", "k", nil, append(tt.headers, header.RequestID, id)...)
			if got := resp.header.Get(header.Ran); got != string(answer.ExecutionUnknown) {
				t.Errorf("ran %q, want unknown", got)
			}
			if resp.header.Get(header.Epoch) == "" {
				t.Error("the response has no epoch to repeat the request with")
			}
			if n := u.Attempts(id); n != 1 {
				t.Errorf("the upstream saw %d attempts, want 1", n)
			}
		})
	}
	u.SetFaults(upstream.Faults{})
	// Repeated with the epoch, the owner returns the stored response.
	resp := cluster.send(e.callers, http.MethodPost, "svc", "k", nil, header.RequestID, "once-0",
		header.Repeat, fmt.Sprint(cluster.epochOf("svc", "k")))
	if resp.status != http.StatusOK {
		t.Errorf("repeated request: %d %s", resp.status, resp.body)
	}
	ran := 0
	for _, r := range u.Runs() {
		if r.RequestID == "once-0" {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("the request ran %d times, want once", ran)
	}
}

// TestIdempotentIsRetried checks that idempotent requests succeed although the
// upstream breaks the connection before every other response.
func TestIdempotentIsRetried(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.addEntry("entry", "a")
	u := cluster.addUpstream("up", "a", nil)
	cluster.awaitVoters("a", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	u.SetFaults(upstream.Faults{BreakEvery: 2})
	for i := range 10 {
		resp := cluster.send(e.callers, http.MethodGet, "svc", "k", nil)
		if resp.status != http.StatusOK {
			t.Errorf("request %d: %d %s", i, resp.status, resp.body)
		}
	}
}

// TestStartWithPlatformDown checks that an entry that starts during a platform outage
// gets the configuration and the range owners from its peers and serves.
func TestStartWithPlatformDown(t *testing.T) {
	cluster := twoCells(t, true)
	cluster.store.down.Store(true)
	cluster.addEntry("entry-late", "a")
	cluster.awaitServed("svc")
	late := cluster.entries[len(cluster.entries)-1]
	if late.gate.Version() != cluster.entries[0].gate.Version() {
		t.Errorf("cell document version %d, want %d as at the other entries", late.gate.Version(), cluster.entries[0].gate.Version())
	}
	cluster.store.down.Store(false)
	cluster.awaitVoters("a", 3)
}

// TestEntryLossDuringPlatformOutage checks that one of two entries of a cell keeps
// serving when the other stops while the platform is down.
func TestEntryLossDuringPlatformOutage(t *testing.T) {
	cluster := twoCells(t, true)
	cluster.eventually("witnesses", func() error {
		if q := cluster.entries[1].gate.Doc().Quorum; len(q.Wide) < 4 {
			return fmt.Errorf("%d witnesses, want at least 4", len(q.Wide))
		}
		return nil
	})
	cluster.store.down.Store(true)
	cluster.entries[0].stop()
	<-cluster.entries[0].done
	cluster.entries = cluster.entries[1:]
	cluster.awaitServed("svc")
	cluster.store.down.Store(false)
	cluster.awaitVoters("a", 1)
	cluster.awaitServed("svc")
}

// TestSoleVoterStopsWhileAnotherJoins guards against a cell that is left without a
// controller. The only voter writes a document that adds a second voter, and stops
// while the store is down, before it can write that the former quorum no longer
// counts. The second voter has received nothing but that document.
func TestSoleVoterStopsWhileAnotherJoins(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { testSoleVoterStops(t) })
	t.Run("with another cell", func(t *testing.T) { testSoleVoterStops(t, "entry-b0", "entry-b1") })
}

// testSoleVoterStops runs the scenario with the given entries in another cell.
func testSoleVoterStops(t *testing.T, otherEntries ...string) {
	cluster := newTestCluster(t)
	cluster.store.failAfter = func(doc *cell.Cell) bool {
		return doc.Name == "a" && len(doc.Quorum.Local) == 2 && len(doc.Previous) > 0
	}
	for _, id := range otherEntries {
		cluster.addEntry(id, "b")
	}
	if len(otherEntries) > 0 {
		cluster.awaitVoters("b", len(otherEntries))
	}
	first := cluster.addEntry("entry-a0", "a")
	cluster.addUpstream("up-a0", "a", func(s *upstream.Settings) { s.ChecksFences = true })
	cluster.awaitVoters("a", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	second := cluster.addEntry("entry-a1", "a")
	cluster.eventually("the second entry to be a voter", func() error {
		doc := second.gate.Doc()
		if doc == nil || !doc.Quorum.HasLocal(second.self.ID) {
			return fmt.Errorf("the second entry does not know it is a voter")
		}
		return nil
	})
	if len(second.gate.Doc().Previous) == 0 {
		t.Fatal("the former quorum has already been removed")
	}
	first.stop()
	<-first.done
	cluster.entries = slices.DeleteFunc(cluster.entries, func(e *runningEntry) bool { return e == first })
	cluster.store.down.Store(false)
	cluster.awaitVoters("a", 1)
	cluster.awaitServed("svc")
}

// TestLostUpstream checks that the history of the requests has no violations when an
// upstream freezes under load and later returns.
func TestLostUpstream(t *testing.T) {
	cluster := twoCells(t, true)
	var stop atomic.Bool
	var results outcomes
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		results.sendUntil(cluster, 8, &stop)
	}()
	frozen := cluster.upstreams[0]
	frozen.SetFaults(upstream.Faults{Frozen: true})
	cluster.eventually("loss of "+frozen.id, func() error {
		u := cluster.entries[0].gate.Doc().Upstream(frozen.id)
		if u.State != cell.Lost {
			return fmt.Errorf("is %s", u.State)
		}
		return nil
	})
	cluster.awaitServed("svc")
	frozen.SetFaults(upstream.Faults{})
	cluster.eventually("return of "+frozen.id, func() error {
		u := cluster.entries[0].gate.Doc().Upstream(frozen.id)
		if u.State != cell.Active || u.Boot == "" {
			return fmt.Errorf("is %s", u.State)
		}
		return nil
	})
	stop.Store(true)
	wait.Wait()
	results.verify(t, cluster)
}

// TestMalformedObjectsAreIgnored checks that the cluster keeps working when the store
// holds objects that cannot be parsed.
func TestMalformedObjectsAreIgnored(t *testing.T) {
	cluster := twoCells(t, true)
	ctx := context.Background()
	for _, kind := range []string{platform.KindService, platform.KindDirectory, platform.KindRoster, platform.KindIntent} {
		for name, value := range map[string]string{"bad1": `{`, "bad2": `{"version":-1}`, "bad3": `[]`} {
			_, err := cluster.store.Put(ctx, platform.Object{Kind: kind, Name: name, Value: []byte(value)}, 0)
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	cluster.awaitDone(cluster.createAndConfirm(intent.Spec{Kind: intent.Move, ServiceName: "svc", Key: "key-1", To: "up-a0"}))
	cluster.awaitServed("svc")
}

// TestPromisesAreBoundToTheIncarnation checks that a voter grants no promise and
// raises no fence for a call that is addressed to another incarnation of it.
func TestPromisesAreBoundToTheIncarnation(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.addEntry("entry", "a")
	cluster.awaitVoters("a", 1)
	sender := &peerpb.Member{Id: "x#1", Cell: "a", Domain: "a", Peer: "127.0.0.1:1"}
	resp, err := peerServer{e.Entry}.Beat(context.Background(), &peerpb.BeatRequest{
		To: "entry#0000000000000001", Cell: "a", Version: 100, Sender: sender,
	})
	if err != nil {
		t.Fatal(err)
	}
	if resp.Granted {
		t.Error("granted a promise for an earlier incarnation")
	}
	if _, err := (peerServer{e.Entry}).Apply(context.Background(), &peerpb.ApplyRequest{To: "entry#1", Cell: "a", Fence: 9}); err == nil {
		t.Error("raised a fence for another incarnation")
	}
}
