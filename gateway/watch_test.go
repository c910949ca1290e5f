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

// This file tests what a watcher asks the store for and takes over.

// callRecord counts calls to the store by kind and operation.
type callRecord struct {
	mu    sync.Mutex
	calls map[string]int
}

func newCallRecord() *callRecord { return &callRecord{calls: make(map[string]int)} }

// at counts what goes to a handler.
func (r *callRecord) at(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		kind, operation := platform.Call{Method: q.Method, Target: q.URL.RequestURI()}.KindAndOperation()
		r.mu.Lock()
		r.calls[kind+"."+operation]++
		r.mu.Unlock()
		h.ServeHTTP(w, q)
	})
}

// of returns the number of calls of one kind and operation.
func (r *callRecord) of(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[what]
}

// TestNextLeaderDoesNotListTheConfiguration: one that has the newest goes on from its
// revision, and hears of the next change.
func TestNextLeaderDoesNotListTheConfiguration(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	record := newCallRecord()
	b.atDoor = func(l net.Listener, h http.Handler) (net.Listener, http.Handler) { return l, record.at(h) }
	b.fill()
	b.configure(9)
	b.eventually("version 9 everywhere", func() bool { return b.inForce(9) })
	lists, watches := record.of("config.list"), record.of("config.watch")
	b.leader().kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	b.eventually("watches", func() bool { return record.of("config.watch") > watches+1 })
	if n := record.of("config.list") - lists; n != 0 {
		t.Errorf("listed %d times again", n)
	}
	b.configure(10)
	b.eventually("the next version", func() bool {
		for _, g := range b.gateways {
			if g.running() && g.view.table.Load().Version != 10 {
				return false
			}
		}
		return true
	})
}

// handlerTransport carries calls to a handler in this process.
type handlerTransport struct{ http.Handler }

// Call implements platform.Transport.
func (h handlerTransport) Call(ctx context.Context, c platform.Call) (int, []byte, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, c.Method, c.Target, strings.NewReader(string(c.Body))))
	return w.Code, w.Body.Bytes(), ctx.Err()
}

// watched is a store and a view that is kept up to date from it.
type watched struct {
	store  *metastore.Store
	record *callRecord
	view   *view
	lines  *lineRecord
	// wrap, if set, stands before the store.
	wrap func(platform.Transport) platform.Transport
}

// lineRecord counts log lines by message.
type lineRecord struct {
	slog.Handler
	mu    sync.Mutex
	lines map[string]int
}

func (r *lineRecord) Handle(_ context.Context, line slog.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[line.Message]++
	return nil
}

func (r *lineRecord) Enabled(context.Context, slog.Level) bool { return true }

func (r *lineRecord) of(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[message]
}

// newWatched returns a store with version 2 of the configuration and a view that
// has it.
func newWatched(t *testing.T) *watched {
	t.Helper()
	w := &watched{
		store: metastore.New(), record: newCallRecord(), view: newView(),
		lines: &lineRecord{Handler: slog.DiscardHandler, lines: make(map[string]int)},
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

func (w *watched) put(spec any) uint64 {
	return w.store.Put(platform.ConfigKind, platform.ConfigName, spec)
}

// watcher returns a watcher of the store that has not begun.
func (w *watched) watcher() *watcher {
	var way platform.Transport = handlerTransport{w.record.at(w.store.Door("g"))}
	if w.wrap != nil {
		way = w.wrap(way)
	}
	log, m := slog.New(w.lines), newMeters()
	evac := newEvacuations(w.view, time.Now, log, m)
	one := newWatcher(platform.NewStore(way), w.view, evac, time.Now, log, m, 1)
	one.draining = func(string) bool { return false }
	return one
}

// run watches until the version is in force, and longer until the store has been
// asked for changes again. The limit only ends a test that hangs.
func (w *watched) run(t *testing.T, version uint64) {
	t.Helper()
	one := w.watcher()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { one.run(ctx) })
	defer running.Wait()
	defer cancel()
	for limit := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		if w.view.table.Load().Version == version && w.record.of("config.watch") > 1 {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("version %d never in force", version)
		}
	}
}

// TestWatcherGoesOnFromTheViewsRevision, and what it has missed comes by the watch.
func TestWatcherGoesOnFromTheViewsRevision(t *testing.T) {
	t.Parallel()
	w := newWatched(t)
	w.put(config(3))
	w.run(t, 3)
	if n := w.record.of("config.list"); n != 0 {
		t.Errorf("listed %d times", n)
	}
}

// TestWatcherListsAfterCompaction: the history after the view's revision is gone.
func TestWatcherListsAfterCompaction(t *testing.T) {
	t.Parallel()
	w := newWatched(t)
	w.put(config(3))
	w.store.Compact()
	w.run(t, 3)
	if n := w.record.of("config.list"); n != 1 {
		t.Errorf("listed %d times", n)
	}
}

// TestWatcherDecodesTheNewestStep of several.
func TestWatcherDecodesTheNewestStep(t *testing.T) {
	t.Parallel()
	w := newWatched(t)
	known := w.view.configuration().revision
	for version := range uint64(4) {
		w.put(config(3 + version))
	}
	one := w.watcher()
	changes, next, err := one.store.Watch(t.Context(), platform.ConfigKind, known, 0)
	if err != nil || len(changes) != 4 {
		t.Fatalf("%d changes, %v", len(changes), err)
	}
	one.configurationEvents(changes, next)
	if n, version := w.lines.of("configuration in force"), w.view.table.Load().Version; n != 1 || version != 6 {
		t.Errorf("%d versions came in force, the last is %d", n, version)
	}
}

// TestWatcherTakesTheLastGoodStep: what cannot be read and what is older stands aside.
func TestWatcherTakesTheLastGoodStep(t *testing.T) {
	t.Parallel()
	w := newWatched(t)
	w.put(config(7))
	w.put(rawJSON(`{"version":"x"}`))
	w.put(config(1))
	w.run(t, 7)
}

// endlessWatch carries calls, and fails the first watch of the configuration for the
// size of its answer.
type endlessWatch struct {
	platform.Transport
	once sync.Once
}

// Call implements platform.Transport.
func (e *endlessWatch) Call(ctx context.Context, c platform.Call) (status int, body []byte, err error) {
	if kind, operation := c.KindAndOperation(); kind == platform.ConfigKind && operation == "watch" {
		e.once.Do(func() { err = errTooLong })
	}
	if err != nil {
		return 0, nil, err
	}
	return e.Transport.Call(ctx, c)
}

// TestWatcherListsWhatIsTooMuchForAWatch: all steps since the view's revision do not
// arrive in time, the newest alone does.
func TestWatcherListsWhatIsTooMuchForAWatch(t *testing.T) {
	t.Parallel()
	w := newWatched(t)
	w.put(config(3))
	w.wrap = func(inner platform.Transport) platform.Transport { return &endlessWatch{Transport: inner} }
	w.run(t, 3)
	if n := w.record.of("config.list"); n != 1 {
		t.Errorf("listed %d times", n)
	}
}
