package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// This file tests what a watcher requests from the store and applies to the view.

// callCounter counts calls to the store by kind and operation.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
}

func newCallCounter() *callCounter { return &callCounter{calls: make(map[string]int)} }

// counting returns a handler that counts the calls to h.
func (r *callCounter) counting(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		kind, operation := platform.Call{Method: q.Method, Target: q.URL.RequestURI()}.KindAndOperation()
		r.mu.Lock()
		r.calls[kind+"."+operation]++
		r.mu.Unlock()
		h.ServeHTTP(w, q)
	})
}

// count returns the number of calls of one kind and operation.
func (r *callCounter) count(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[what]
}

// TestNextLeaderResumesConfigurationWatch checks that a new leader which has the newest
// configuration watches from its revision, without listing it, and receives the next change.
func TestNextLeaderResumesConfigurationWatch(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	counter := newCallCounter()
	b.wrapStoreEndpoint = func(l net.Listener, h http.Handler) (net.Listener, http.Handler) { return l, counter.counting(h) }
	b.startStandard()
	b.configure(9)
	b.eventually("version 9 in force on all gateways", func() bool { return b.allHaveConfiguration(9) })
	lists, watches := counter.count("config.list"), counter.count("config.watch")
	b.leader().kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("configuration watched by the next leader", func() bool { return counter.count("config.watch") > watches+1 })
	if n := counter.count("config.list") - lists; n != 0 {
		t.Errorf("the next leader listed the configuration %d times", n)
	}
	b.configure(10)
	b.eventually("version 10 in force on all gateways", func() bool {
		for _, g := range b.gateways {
			if g.running() && g.view.table.Load().Version != 10 {
				return false
			}
		}
		return true
	})
}

// handlerTransport passes calls to a handler in this process.
type handlerTransport struct{ http.Handler }

// Call implements platform.Transport.
func (h handlerTransport) Call(ctx context.Context, c platform.Call) (int, []byte, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, c.Method, c.Target, strings.NewReader(string(c.Body))))
	return w.Code, w.Body.Bytes(), ctx.Err()
}

// watcherFixture holds a store and a view that a watcher updates from it.
type watcherFixture struct {
	store   *metastore.Store
	counter *callCounter
	view    *view
	lines   *logCounter
	// wrap, if set, wraps the transport to the store.
	wrap func(platform.Transport) platform.Transport
}

// logCounter counts log lines by message.
type logCounter struct {
	slog.Handler
	mu    sync.Mutex
	lines map[string]int
}

func (r *logCounter) Handle(_ context.Context, line slog.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[line.Message]++
	return nil
}

func (r *logCounter) Enabled(context.Context, slog.Level) bool { return true }

func (r *logCounter) count(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[message]
}

// newWatcherFixture returns a fixture whose store holds version 2 of the configuration and whose
// view has it in force.
func newWatcherFixture(t *testing.T) *watcherFixture {
	t.Helper()
	w := &watcherFixture{
		store: metastore.New(), counter: newCallCounter(), view: newView(),
		lines: &logCounter{Handler: slog.DiscardHandler, lines: make(map[string]int)},
	}
	revision := w.put(config(2))
	spec := w.store.Spec(platform.ConfigKind, platform.ConfigName)
	c, err := platform.DecodeConfiguration(spec)
	if err != nil {
		t.Fatal(err)
	}
	w.view.setConfiguration(revision, spec, c)
	return w
}

func (w *watcherFixture) put(spec any) uint64 {
	return w.store.Put(platform.ConfigKind, platform.ConfigName, spec)
}

// watcher returns a watcher of the store that is not started.
func (w *watcherFixture) watcher() *watcher {
	var transport platform.Transport = handlerTransport{w.counter.counting(w.store.Endpoint("g"))}
	if w.wrap != nil {
		transport = w.wrap(transport)
	}
	log, m := slog.New(w.lines), newMeters()
	evac := newEvacuations(w.view, time.Now, log, m)
	watcher := newWatcher(platform.NewStore(transport), w.view, evac, time.Now, log, m)
	return watcher
}

// run watches until the version is in force and the store has been watched more than once. The time
// limit only ends a test that hangs.
func (w *watcherFixture) run(t *testing.T, version uint64) {
	t.Helper()
	watcher := w.watcher()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { watcher.run(ctx) })
	defer running.Wait()
	defer cancel()
	for limit := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		if w.view.table.Load().Version == version && w.counter.count("config.watch") > 1 {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("version %d did not take effect", version)
		}
	}
}

// TestWatcherResumesFromViewRevision checks that a watcher starts from the view's revision, and
// that the watch delivers the changes since then.
func TestWatcherResumesFromViewRevision(t *testing.T) {
	t.Parallel()
	w := newWatcherFixture(t)
	w.put(config(3))
	w.run(t, 3)
	if n := w.counter.count("config.list"); n != 0 {
		t.Errorf("the configuration was listed %d times", n)
	}
}

// TestWatcherListsAfterCompaction checks that the configuration is listed if the history after the
// view's revision is gone.
func TestWatcherListsAfterCompaction(t *testing.T) {
	t.Parallel()
	w := newWatcherFixture(t)
	w.put(config(3))
	w.store.Compact()
	w.run(t, 3)
	if n := w.counter.count("config.list"); n != 1 {
		t.Errorf("the configuration was listed %d times", n)
	}
}

// TestWatcherDecodesOnlyNewestConfiguration checks that only the newest of several changes is
// decoded.
func TestWatcherDecodesOnlyNewestConfiguration(t *testing.T) {
	t.Parallel()
	w := newWatcherFixture(t)
	known := w.view.configuration().revision
	for version := range uint64(4) {
		w.put(config(3 + version))
	}
	watcher := w.watcher()
	changes, next, err := watcher.store.Watch(t.Context(), platform.ConfigKind, known, 0)
	if err != nil || len(changes) != 4 {
		t.Fatalf("%d changes, error %v", len(changes), err)
	}
	watcher.configurationChanged(changes, next)
	if n, version := w.lines.count("configuration in force"), w.view.table.Load().Version; n != 1 || version != 6 {
		t.Errorf("%d versions took effect, the last is %d", n, version)
	}
}

// TestWatcherAppliesNewestValidConfiguration checks that invalid and older configurations are
// skipped.
func TestWatcherAppliesNewestValidConfiguration(t *testing.T) {
	t.Parallel()
	w := newWatcherFixture(t)
	w.put(config(7))
	w.put(rawJSON(`{"version":"x"}`))
	w.put(config(1))
	w.run(t, 7)
}

// tooLargeWatch passes calls on, but fails the first watch of the configuration as if its response
// were too large.
type tooLargeWatch struct {
	platform.Transport
	once sync.Once
}

// Call implements platform.Transport.
func (e *tooLargeWatch) Call(ctx context.Context, c platform.Call) (status int, body []byte, err error) {
	if kind, operation := c.KindAndOperation(); kind == platform.ConfigKind && operation == "watch" {
		e.once.Do(func() { err = errCallTooLong })
	}
	if err != nil {
		return 0, nil, err
	}
	return e.Transport.Call(ctx, c)
}

// TestWatcherListsAfterTooLargeWatch checks that the configuration is listed if all changes since
// the view's revision do not arrive in time: the newest alone does.
func TestWatcherListsAfterTooLargeWatch(t *testing.T) {
	t.Parallel()
	w := newWatcherFixture(t)
	w.put(config(3))
	w.wrap = func(inner platform.Transport) platform.Transport { return &tooLargeWatch{Transport: inner} }
	w.run(t, 3)
	if n := w.counter.count("config.list"); n != 1 {
		t.Errorf("the configuration was listed %d times", n)
	}
}
