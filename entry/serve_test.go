package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/bench/check"
	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/intent"
)

func TestRefusals(t *testing.T) {
	cluster := twoCells(t, true)
	tests := []struct {
		name    string
		service string
		key     string
		body    string
		headers []string
		want    answer.Kind
	}{
		{name: "no key", service: "svc", want: answer.NoKey},
		{name: "key too long", service: "svc", key: strings.Repeat("k", 2000), want: answer.BadRequest},
		{name: "unknown service", service: "none", key: "k", want: answer.UnknownService},
		{name: "body too large", service: "svc", key: "k", body: strings.Repeat("x", 2<<20), want: answer.TooLarge},
		{name: "deadline past", service: "svc", key: "k", headers: []string{header.Timeout, "-1s"}, want: answer.DeadlinePassed},
		{name: "deadline without unit", service: "svc", key: "k", headers: []string{header.Timeout, "5"}, want: answer.BadRequest},
		{name: "bad flag", service: "svc", key: "k", headers: []string{header.Idempotent, "maybe"}, want: answer.BadRequest},
		{name: "bad importance", service: "svc", key: "k", headers: []string{header.Importance, "urgent"}, want: answer.BadRequest},
		{name: "repeat without id", service: "svc", key: "k", headers: []string{header.Repeat, "3"}, want: answer.BadRequest},
		{
			name: "repeat under another epoch", service: "svc", key: "k",
			headers: []string{header.Repeat, "99", header.RequestID, "r"}, want: answer.RepeatUnsafe,
		},
	}
	before := len(cluster.runs())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := cluster.send(cluster.entries[0].callers, http.MethodPost, tt.service, tt.key, strings.NewReader(tt.body), tt.headers...)
			if got := answer.Kind(resp.header.Get(header.Kind)); got != tt.want {
				t.Fatalf("kind %q, want %q: %s", got, tt.want, resp.body)
			}
			if resp.status != tt.want.Response().Status {
				t.Errorf("status %d, want %d", resp.status, tt.want.Response().Status)
			}
		})
	}
	if after := len(cluster.runs()); after != before {
		t.Errorf("%d refused requests ran, want none", after-before)
	}
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.addEntry("entry", "a")
	resp := cluster.send(e.callers, http.MethodGet, "svc", "k", nil, "X-Large", strings.Repeat("x", 64<<10))
	if resp.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", resp.status)
	}
}

// outcomes collects the responses that callers received, for the history check.
type outcomes struct {
	mu   sync.Mutex
	list []load.Outcome
}

func (o *outcomes) send(cluster *testCluster, addr, name, key, id string, idempotent bool) response {
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	start := time.Now()
	resp := cluster.send(addr, method, name, key, nil, header.RequestID, id)
	out := load.ParseOutcome(load.Outcome{
		Service: name, Key: key, RequestID: id, Idempotent: idempotent,
		Start: start.UnixNano(), End: time.Now().UnixNano(),
	}, resp.status, resp.header, []byte(resp.body))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, out)
	return resp
}

// sendUntil sends requests through all entries until stop is set.
func (o *outcomes) sendUntil(cluster *testCluster, workers int, stop *atomic.Bool) {
	parallel(workers, func(worker int) {
		for n := 0; !stop.Load(); n++ {
			addr := cluster.entries[(worker+n)%len(cluster.entries)].callers
			key := fmt.Sprintf("key-%d", (worker*31+n)%64)
			o.send(cluster, addr, "svc", key, fmt.Sprintf("r-%d-%d", worker, n), n%3 != 0)
		}
	})
}

func (o *outcomes) verify(t *testing.T, cluster *testCluster) {
	t.Helper()
	r := check.History(o.list, cluster.runs())
	if len(r.Violations) > 0 {
		t.Errorf("%d violations, first: %v", len(r.Violations), r.Violations[0])
	}
	if got := check.Owners(o.list, testTimeout); got != check.Linearizable {
		t.Errorf("history of owners as seen by callers: %s", got)
	}
	if r.Outcomes == 0 || r.Runs == 0 {
		t.Errorf("nothing was checked: %+v", r)
	}
}

// TestPlannedMovesAnswerEveryRequest checks that every request succeeds while ranges
// move within and across cells and an upstream is drained.
func TestPlannedMovesAnswerEveryRequest(t *testing.T) {
	cluster := twoCells(t, true)
	var stop atomic.Bool
	var results outcomes
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		results.sendUntil(cluster, 8, &stop)
	}()
	for _, to := range []string{"up-a0", "up-b1", "up-a1"} {
		for _, key := range []string{"key-1", "key-2"} {
			cluster.awaitDone(cluster.createAndConfirm(intent.Spec{Kind: intent.Move, ServiceName: "svc", Key: key, To: to}))
		}
	}
	cluster.awaitDone(cluster.createAndConfirm(intent.Spec{Kind: intent.Leave, Names: []string{"up-b0"}}))
	stop.Store(true)
	wait.Wait()
	for _, o := range results.list {
		if !o.OK() {
			t.Errorf("request %s, key %s: %d %s", o.RequestID, o.Key, o.Status, o.Kind)
		}
	}
	results.verify(t, cluster)
	for _, u := range cluster.upstreams {
		if u.id == "up-b0" && !u.Empty() {
			t.Error("the drained upstream still owns ranges")
		}
	}
}

// TestGracefulStopFailsNoRequest stops an entry and then an upstream under load, and
// checks that every request succeeds. All requests go to another entry, as callers
// that reach a stopping entry move on to the next one.
func TestGracefulStopFailsNoRequest(t *testing.T) {
	cluster := twoCells(t, true)
	var stop atomic.Bool
	var failed atomic.Int64
	addr := cluster.entries[1].callers
	var wait sync.WaitGroup
	for worker := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; !stop.Load(); n++ {
				resp := cluster.send(addr, http.MethodPost, "svc", fmt.Sprintf("key-%d", n%64), nil,
					header.RequestID, fmt.Sprintf("g-%d-%d", worker, n))
				if resp.status != http.StatusOK {
					failed.Add(1)
					t.Errorf("%d %s", resp.status, resp.body)
				}
			}
		}()
	}
	cluster.entries[0].stop()
	if err := <-cluster.entries[0].done; err != nil {
		t.Error(err)
	}
	cluster.upstreams[2].stop()
	cluster.eventually("drained", func() error {
		if !cluster.upstreams[2].Empty() {
			return fmt.Errorf("the upstream still owns ranges")
		}
		return nil
	})
	stop.Store(true)
	wait.Wait()
}

func TestConfirmIntent(t *testing.T) {
	cluster := twoCells(t, true)
	move := func(to string) *intent.Intent {
		i, err := cluster.create(intent.Spec{Kind: intent.Move, ServiceName: "svc", Key: "key-1", To: to})
		if err != nil {
			t.Fatal(err)
		}
		return i
	}
	kind := func(err error) answer.Kind {
		if rpc, ok := err.(twirp.Error); ok {
			return answer.Kind(rpc.Meta("kind"))
		}
		return ""
	}
	t.Run("twice", func(t *testing.T) {
		i := move("up-a0")
		for range 2 {
			if _, err := cluster.confirm(i.ID); err != nil {
				t.Fatal(err)
			}
		}
		cluster.awaitDone(i.ID)
	})
	t.Run("racing", func(t *testing.T) {
		i := move("up-a1")
		var confirmed atomic.Int64
		parallel(4, func(int) {
			if _, err := cluster.confirm(i.ID); err == nil {
				confirmed.Add(1)
			} else if kind(err) != answer.Conflict {
				t.Errorf("kind %q: %v", kind(err), err)
			}
		})
		if confirmed.Load() == 0 {
			t.Error("no confirm succeeded")
		}
		cluster.awaitDone(i.ID)
	})
	t.Run("stale", func(t *testing.T) {
		stale, err := cluster.create(intent.Spec{Kind: intent.Leave, Names: []string{"up-a0"}})
		if err != nil {
			t.Fatal(err)
		}
		other := move("up-b0")
		if _, err := cluster.confirm(other.ID); err != nil {
			t.Fatal(err)
		}
		cluster.awaitDone(other.ID)
		staleMove := move("up-a0")
		if _, err := cluster.confirm(stale.ID); err != nil {
			t.Fatal(err)
		}
		cluster.awaitDone(stale.ID)
		if _, err := cluster.confirm(staleMove.ID); kind(err) != answer.NotFound {
			t.Errorf("kind %q: %v", kind(err), err)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		i := move("up-a1")
		if _, err := cluster.operator().CancelIntent(context.Background(), &operatorpb.IntentRequest{Id: i.ID}); err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.confirm(i.ID); kind(err) != answer.Conflict {
			t.Errorf("kind %q: %v", kind(err), err)
		}
	})
}

func TestLargeBodyIsProxied(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.addEntry("entry", "a")
	cluster.addUpstream("up", "a", nil)
	cluster.awaitVoters("a", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	body := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	resp := cluster.send(e.callers, http.MethodPost, "svc", "k", bytes.NewReader(body), header.RequestID, "large")
	if resp.status != http.StatusOK {
		t.Fatalf("%d %s", resp.status, resp.body)
	}
	if diff := cmp.Diff("large", load.ParseOutcome(load.Outcome{}, resp.status, resp.header, []byte(resp.body)).ResponseID); diff != "" {
		t.Error(diff)
	}
}

// epochOf returns the epoch of the range that a key belongs to.
func (cluster *testCluster) epochOf(name, key string) uint64 {
	for _, e := range cluster.entries {
		if r := e.gate.Route(name, hashOf(key)); r.Slot != nil {
			return r.Slot.Epoch
		}
	}
	return 0
}
