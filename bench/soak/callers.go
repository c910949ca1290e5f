package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// callers is the number of callers, each with one request at a time.
	callers = 12
	// callerPause is the time between the requests of one: some 200 a second in all.
	callerPause = 40 * time.Millisecond
	// patience is how long a caller waits: the timeout of the routes, and as long
	// again.
	patience = 4 * time.Second
	// wantedTime is what a caller says that it waits, in milliseconds.
	wantedTime = "2000"
)

// outcome is how a request ended for its caller.
type outcome string

// The outcomes.
const (
	served  outcome = "served"
	refused outcome = "refused"
	failed  outcome = "failed"
	noWay   outcome = "no connection"
)

// watcher checks what callers and upstreams see while the faults go on.
type watcher struct {
	site   *site
	client *http.Client
	began  time.Time
	next   atomic.Int64

	mu         sync.Mutex
	violations []string
	counts     map[int]map[outcome]int
	// refusedIDs are requests that must never run.
	refusedIDs []string
	versions   map[string]uint64
	asks       *asks
}

func newWatcher(s *site) *watcher {
	return &watcher{
		site: s, began: time.Now(), counts: make(map[int]map[outcome]int), versions: make(map[string]uint64),
		asks:   newAsks(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}},
	}
}

func (w *watcher) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%.1f s: ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *watcher) count(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := int(time.Since(w.began).Seconds())
	if w.counts[second] == nil {
		w.counts[second] = make(map[outcome]int)
	}
	w.counts[second][o]++
}

// call sends requests until ctx ends. A caller goes on with the same connections until
// the gateway closes them.
func (w *watcher) call(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		g := pick(w.site.gateways, n+i/8)
		w.count(w.ask(ctx, g, i%3 == 2, (i*7919+n*131)%(spans.MaxKey+1)))
		time.Sleep(callerPause)
	}
}

// ask sends one request and checks its answer.
func (w *watcher) ask(ctx context.Context, g *gateway, unsafe bool, key int) outcome {
	id := fmt.Sprintf("r%d", w.next.Add(1))
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	method, path, body := http.MethodGet, "/status/x", io.Reader(nil)
	if unsafe {
		method, path, body = http.MethodPost, "/pay/x", strings.NewReader("body of "+id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, body)
	if err != nil {
		w.violate("request %s cannot be made: %v", id, err)
		return failed
	}
	r.Host = host
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, wantedTime)
	if !unsafe {
		r.Header.Set(platform.ShardKey, fmt.Sprint(key))
	}
	kills := g.kills()
	one := asked{gateway: g, sent: time.Now()}
	w.asks.add(id, one)
	resp, err := w.client.Do(r)
	if err != nil {
		return w.noAnswer(ctx, g, id, kills, err)
	}
	if resp.Header.Get(platform.LeavingHeader) != "" {
		one.told, one.by = time.Now(), resp.Header.Get(instance.IncarnationHeader)
		w.asks.add(id, one)
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return w.noAnswer(ctx, g, id, kills, errors.Join(err, closeErr))
	}
	return w.check(id, unsafe, resp.StatusCode, string(data))
}

// noAnswer checks a request whose connection ended. One that has run is lost, unless
// its gateway was killed, or the caller's own patience was over.
func (w *watcher) noAnswer(ctx context.Context, g *gateway, id string, kills int, err error) outcome {
	if ctx.Err() == nil && g.kills() == kills && w.site.oracle.Runs(id) > 0 {
		w.violate("request %s has run and %s closed its connection without an answer: %v", id, g.name, err)
	}
	return noWay
}

// check compares an answer with what the upstreams did.
func (w *watcher) check(id string, unsafe bool, status int, body string) outcome {
	runs := w.site.oracle.Runs(id)
	switch {
	case status == http.StatusOK:
		if !strings.HasPrefix(body, "done "+id+" by ") {
			w.violate("request %s got the answer %q", id, body)
		}
		return served
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if unsafe {
			w.mu.Lock()
			w.refusedIDs = append(w.refusedIDs, id)
			w.mu.Unlock()
		}
		if unsafe && runs > 0 {
			w.violate("request %s was refused as not run and ran", id)
		}
		return refused
	case status < http.StatusInternalServerError:
		w.violate("request %s got status %d", id, status)
	}
	return failed
}

// checkRefused looks at the end whether refused requests ran later.
func (w *watcher) checkRefused() {
	w.mu.Lock()
	ids := w.refusedIDs
	w.mu.Unlock()
	for _, id := range ids {
		if w.site.oracle.Runs(id) > 0 {
			w.violate("request %s was refused as not run and ran later", id)
		}
	}
}

// versionsPause is the time between looks at the configuration in force.
const versionsPause = 300 * time.Millisecond

// watchVersions checks that no process goes back to an older configuration.
func (w *watcher) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, g := range w.site.gateways {
			pid, err := g.pid()
			version, ok := w.versionOf(ctx, g)
			if again, errAgain := g.pid(); err != nil || errAgain != nil || again != pid || !ok {
				continue
			}
			process := fmt.Sprintf("%s of process %d", g.name, pid)
			if before := w.versions[process]; version < before {
				w.violate("%s went back from configuration %d to %d", process, before, version)
			}
			w.versions[process] = version
		}
		time.Sleep(versionsPause)
	}
}

// versionOf reads the configuration in force from the gateway's metrics.
func (w *watcher) versionOf(ctx context.Context, g *gateway) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.metrics+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, false
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(data), "\n") {
		if _, err := fmt.Sscanf(line, "view.configuration_version %d", &version); err == nil {
			return version, true
		}
	}
	return 0, false
}
