package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/platform"
)

// testTimeout bounds the waits in tests. It is far above the expected times so that
// tests also pass on a busy machine.
const testTimeout = 30 * time.Second

// switchableStore is an in-memory store that can be made to fail.
type switchableStore struct {
	*platform.Memory
	down atomic.Bool
	// failAfter is called for each cell document written. If it returns true,
	// the store fails from then on, even before the writer has the result.
	failAfter func(*cell.Cell) bool
}

var errStoreDown = fmt.Errorf("the platform is down")

func (s *switchableStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if s.down.Load() {
		return platform.Object{}, errStoreDown
	}
	return s.Memory.Get(ctx, kind, name)
}

func (s *switchableStore) List(ctx context.Context, kind string) (platform.Batch, error) {
	if s.down.Load() {
		return platform.Batch{}, errStoreDown
	}
	return s.Memory.List(ctx, kind)
}

func (s *switchableStore) Put(ctx context.Context, obj platform.Object, expect uint64) (uint64, error) {
	if s.down.Load() {
		return 0, errStoreDown
	}
	version, err := s.Memory.Put(ctx, obj, expect)
	if err == nil && s.failAfter != nil && obj.Kind == platform.KindCell {
		if doc, err := cell.Decode(obj.Value); err == nil && s.failAfter(doc) {
			s.down.Store(true)
		}
	}
	return version, err
}

func (s *switchableStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Batch, error) {
	if s.down.Load() {
		return platform.Batch{}, errStoreDown
	}
	return s.Memory.Watch(ctx, kind, after, min(wait, 100*time.Millisecond))
}

// testCluster runs entries and upstreams in the test process, connected over
// loopback TCP.
type testCluster struct {
	t            testing.TB
	store        *switchableStore
	entries      []*runningEntry
	upstreams    []*runningUpstream
	client       *http.Client
	editSettings func(*settings.Entry)
}

type runningEntry struct {
	*Entry
	callers string
	stop    context.CancelFunc
	done    chan error
}

type runningUpstream struct {
	*upstream.Server
	id, cell string
	addr     string
	stop     context.CancelFunc
	listener net.Listener
}

func newTestCluster(t testing.TB) *testCluster {
	return &testCluster{
		t:      t,
		store:  &switchableStore{Memory: platform.NewMemory()},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func loopback() jsonc.Addr {
	return jsonc.Addr{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
}

// addEntry starts an entry in a cell, with the entries started before as its seeds.
func (cluster *testCluster) addEntry(id, cellName string) *runningEntry {
	cluster.t.Helper()
	conf := settings.DefaultEntry()
	conf.ID, conf.Domain, conf.Cell = id, cellName, cellName
	conf.Callers, conf.Peers, conf.Admin = loopback(), loopback(), loopback()
	conf.Platform = loopback()
	conf.DrainNotice = 0
	for _, e := range cluster.entries {
		_, peers, _ := e.Addresses()
		conf.Seeds = append(conf.Seeds, jsonc.Addr{AddrPort: netip.MustParseAddrPort(peers)})
	}
	if cluster.editSettings != nil {
		cluster.editSettings(&conf)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	e, err := Provision(context.Background(), conf, cluster.store, log)
	if err != nil {
		cluster.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	callers, _, _ := e.Addresses()
	r := &runningEntry{Entry: e, callers: callers, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- e.Serve(ctx) }()
	cluster.t.Cleanup(cancel)
	cluster.entries = append(cluster.entries, r)
	return r
}

// addUpstream starts a stand-in upstream.
func (cluster *testCluster) addUpstream(id, cellName string, editSettings func(*upstream.Settings)) *runningUpstream {
	cluster.t.Helper()
	conf := upstream.DefaultSettings()
	conf.ID = id
	conf.ReadTime, conf.WriteTime = jsonc.Duration(time.Millisecond), jsonc.Duration(time.Millisecond)
	if editSettings != nil {
		editSettings(&conf)
	}
	s, err := upstream.New(conf, upstream.NewBootID())
	if err != nil {
		cluster.t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cluster.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningUpstream{Server: s, id: id, cell: cellName, addr: l.Addr().String(), stop: cancel, listener: l}
	go func() { _ = s.ServeListener(ctx, l) }()
	cluster.t.Cleanup(cancel)
	cluster.upstreams = append(cluster.upstreams, r)
	return r
}

// eventually polls f until it returns nil, and fails the test after testTimeout.
func (cluster *testCluster) eventually(what string, f func() error) {
	cluster.t.Helper()
	limit := time.Now().Add(testTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			cluster.t.Fatalf("%s: %v%s", what, err, cluster.controllerStates())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// controllerStates describes what each entry's controller is waiting for.
func (cluster *testCluster) controllerStates() string {
	var out strings.Builder
	for _, e := range cluster.entries {
		e.control.mu.Lock()
		fmt.Fprintf(&out, "\n%s may_send=%v %s", e.self.ID, e.gate.MaySend(), e.control.core.Explain(e.clock()))
		e.control.mu.Unlock()
	}
	return out.String()
}

func (cluster *testCluster) operator() operator { return operator{cluster.entries[0].Entry} }

func (cluster *testCluster) serviceSpec(name string, checks bool) intent.Spec {
	conf := service.Default()
	conf.Name = name
	conf.ChecksFences = checks
	spec := intent.Spec{Kind: intent.CreateService, Service: &conf}
	for _, u := range cluster.upstreams {
		spec.Upstreams = append(spec.Upstreams, u.spec(name))
	}
	return spec
}

func (u *runningUpstream) spec(name string) intent.Upstream {
	return intent.Upstream{
		ID: u.id, Service: name, Cell: u.cell,
		Addr: jsonc.Addr{AddrPort: netip.MustParseAddrPort(u.addr)},
	}
}

// create creates an intent.
func (cluster *testCluster) create(spec intent.Spec) (*intent.Intent, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	resp, err := cluster.operator().CreateIntent(context.Background(), &operatorpb.CreateIntentRequest{Spec: data})
	if err != nil {
		return nil, err
	}
	return intent.Decode(resp.Intent)
}

func (cluster *testCluster) confirm(id string) (*intent.Intent, error) {
	resp, err := cluster.operator().ConfirmIntent(context.Background(), &operatorpb.IntentRequest{Id: id})
	if err != nil {
		return nil, err
	}
	return intent.Decode(resp.Intent)
}

// createAndConfirm creates an intent and confirms it, again if its plan has become
// stale.
func (cluster *testCluster) createAndConfirm(spec intent.Spec) string {
	cluster.t.Helper()
	i, err := cluster.create(spec)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.eventually("confirm", func() error {
		_, err := cluster.confirm(i.ID)
		return err
	})
	return i.ID
}

// awaitDone waits until an intent is done.
func (cluster *testCluster) awaitDone(id string) {
	cluster.t.Helper()
	cluster.eventually("intent "+id, func() error {
		resp, err := cluster.operator().GetIntent(context.Background(), &operatorpb.IntentRequest{Id: id})
		if err != nil {
			return err
		}
		i, err := intent.Decode(resp.Intent)
		if err == nil && i.State != intent.Done {
			err = fmt.Errorf("state %s, finished in cells %v", i.State, i.CompletedCells)
		}
		return err
	})
}

// awaitVoters waits until a cell has n local voters.
func (cluster *testCluster) awaitVoters(cellName string, n int) {
	cluster.t.Helper()
	cluster.eventually("voters of "+cellName, func() error {
		obj, err := cluster.store.Memory.Get(context.Background(), platform.KindCell, cellName)
		if err != nil {
			return err
		}
		c, err := cell.Decode(obj.Value)
		if err == nil && len(c.Quorum.Local) != n {
			err = fmt.Errorf("%d voters, want %d", len(c.Quorum.Local), n)
		}
		return err
	})
}

// awaitServed waits until every entry serves requests for a sample of keys.
func (cluster *testCluster) awaitServed(name string) {
	cluster.t.Helper()
	for _, e := range cluster.entries {
		for k := range 32 {
			cluster.eventually("service "+name, func() error {
				resp := cluster.send(e.callers, http.MethodGet, name, fmt.Sprintf("key-%d", k), nil)
				if resp.status != http.StatusOK {
					return fmt.Errorf("%s answers %d %s", e.self.ID, resp.status, resp.body)
				}
				return nil
			})
		}
	}
}

type response struct {
	status int
	header http.Header
	body   string
}

// send sends one request with a key and further headers, given as name and value
// pairs.
func (cluster *testCluster) send(addr, method, name, key string, body io.Reader, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+addr+"/"+name+"/op", body)
	if err != nil {
		return response{body: err.Error()}
	}
	if key != "" {
		req.Header.Set("Rockcroft-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := cluster.client.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, strings.TrimSpace(string(data))}
}

// runs returns the requests that all upstreams ran.
func (cluster *testCluster) runs() []upstream.Run {
	var out []upstream.Run
	for _, u := range cluster.upstreams {
		out = append(out, u.Runs()...)
	}
	return out
}

// twoCells starts two cells of two entries and two upstreams each, with one
// service.
func twoCells(t testing.TB, checks bool) *testCluster {
	cluster := newTestCluster(t)
	for _, c := range []string{"a", "b"} {
		for i := range 2 {
			cluster.addEntry(fmt.Sprintf("entry-%s%d", c, i), c)
			cluster.addUpstream(fmt.Sprintf("up-%s%d", c, i), c, func(s *upstream.Settings) { s.ChecksFences = checks })
		}
	}
	cluster.awaitVoters("a", 2)
	cluster.awaitVoters("b", 2)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", checks)))
	cluster.awaitServed("svc")
	return cluster
}

// parallel runs f in n goroutines and waits for all of them.
func parallel(n int, f func(i int)) {
	var wait sync.WaitGroup
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f(i)
		}()
	}
	wait.Wait()
}

func hashOf(key string) keyspace.Hash { return keyspace.HashKey(key) }

var frozenFaults = upstream.Faults{Frozen: true}
