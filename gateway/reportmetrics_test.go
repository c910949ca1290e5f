package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/settings"
)

// halfResponseBytes is how many bytes of a body a parent sends before it stalls.
const halfResponseBytes = 64 << 10

// fakeParent is a parent gateway whose responses to reports are set by the test.
type fakeParent struct {
	syncpb.Peer
	// heardMs is the time since it heard from the leader, as it reports it.
	heardMs atomic.Uint32
	// handler replaces the default handling of reports while it is set.
	handler atomic.Pointer[http.HandlerFunc]
}

// Sync implements syncpb.Peer.
func (p *fakeParent) Sync(context.Context, *syncpb.SyncRequest) (*syncpb.SyncResponse, error) {
	return &syncpb.SyncResponse{HeardMs: p.heardMs.Load()}, nil
}

// ServeHTTP implements http.Handler.
func (p *fakeParent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := p.handler.Load(); h != nil {
		(*h)(w, r)
		return
	}
	syncpb.NewPeerServer(p).ServeHTTP(w, r)
}

// answer sets the handler of reports; nil restores Sync.
func (p *fakeParent) answer(h http.HandlerFunc) {
	if h == nil {
		p.handler.Store(nil)
		return
	}
	p.handler.Store(&h)
}

// stall sends part of a response and waits until the report is cancelled.
func stall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", strconv.Itoa(2*halfResponseBytes))
	_, _ = w.Write(make([]byte, halfResponseBytes))
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// fail responds with an internal server error.
func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// newReportingFollower returns a follower, the address of the parent to report to, and the
// follower's log.
func newReportingFollower(t *testing.T, p *fakeParent) (f *follower, parent string, log *bytes.Buffer) {
	t.Helper()
	m, now := newMeters(), time.Now
	server := httptest.NewUnstartedServer(p)
	server.Listener = writeCountingListener{server.Listener, m.counter(newsBytesOut)}
	server.Start()
	t.Cleanup(server.Close)
	transport := &http.Transport{DialContext: countReads((&net.Dialer{}).DialContext, m.counter(newsBytesIn))}
	t.Cleanup(transport.CloseIdleConnections)
	self := &syncpb.Member{Node: "g", Address: "127.0.0.1:1", Domain: "a"}
	log = &bytes.Buffer{}
	rng := rand.New(rand.NewPCG(1, 1))
	c := newCluster(self, &http.Client{Transport: transport}, now, rng)
	return &follower{
		validator: newPeerValidator(newView(), now, slog.New(slog.DiscardHandler), m), evac: &evacuations{view: newView()},
		view: newView(), cluster: c, fetcher: newFetcher(c.client, nil, now, slog.New(slog.DiscardHandler), m),
		traffic: newTraffic(settings.DefaultGateway(), now, rng), now: now,
		log: slog.New(slog.NewJSONHandler(log, nil)), meters: m, startedAt: now(),
		setOwnReport: func(*localReport) {}, limits: noLimits(), suspects: noSuspects(), quotas: noQuotas(),
	}, server.Listener.Addr().String(), log
}

// refusingAddress returns an address that refuses connections: a local port that is in use by
// an established connection.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), l.Close() })
	return conn.LocalAddr().String()
}

// takeLogLines decodes and removes the lines of a log.
func takeLogLines(t *testing.T, log *bytes.Buffer) []map[string]any {
	t.Helper()
	var out []map[string]any
	for d := json.NewDecoder(log); ; {
		var line map[string]any
		err := d.Decode(&line)
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, line)
	}
}

// TestReportsAreCounted: reports must be counted by outcome. A line must be logged when they
// begin to fail and when they succeed again, and none in between.
func TestReportsAreCounted(t *testing.T) {
	t.Parallel()
	p := &fakeParent{}
	f, parent, log := newReportingFollower(t, p)
	unreachable := refusingAddress(t)
	const long = 2 * uint32(leaderSilenceTimeout/time.Millisecond)
	for _, c := range []struct {
		name, to string
		handler  http.HandlerFunc
		heardMs  uint32
		counter  string
		line     string
	}{
		{"first report", parent, nil, 0, "reports.ok", ""},
		{"incomplete response", parent, stall, 0, "reports.late", "reports to other gateways fail"},
		{"connection refused", unreachable, nil, 0, "reports.refused", ""},
		{"server error", parent, fail, 0, "reports.failed", ""},
		{"parent without leader", parent, nil, long, "reports.stale", ""},
		{"success again", parent, nil, 0, "reports.ok", "reports succeed again"},
		{"second success", parent, nil, 0, "reports.ok", ""},
		{"parent without leader after success", parent, nil, long, "reports.stale", "reports to other gateways fail"},
	} {
		p.heardMs.Store(c.heardMs)
		p.answer(c.handler)
		before := f.meters.counter(c.counter).Count()
		ok, _ := f.report(t.Context(), c.to, 0)
		if ok != (c.counter == "reports.ok") {
			t.Errorf("%s: success %t", c.name, ok)
		}
		if got := f.meters.counter(c.counter).Count(); got != before+1 {
			t.Errorf("%s: %s rose by %d", c.name, c.counter, got-before)
		}
		lines := takeLogLines(t, log)
		if c.line == "" {
			if len(lines) != 0 {
				t.Errorf("%s: lines %v", c.name, lines)
			}
			continue
		}
		if len(lines) != 1 || lines[0]["msg"] != c.line || lines[0]["to"] != c.to {
			t.Fatalf("%s: lines %v", c.name, lines)
		}
		fields := []string{"cause", "took_ms", "heard_ms_ago"}
		if ok {
			fields = []string{"failed_for_ms", "failures"}
		}
		for _, field := range fields {
			if lines[0][field] == nil {
				t.Errorf("%s: no %s in %v", c.name, field, lines[0])
			}
		}
		if n := lines[0]["failures"]; ok && n != 4.0 {
			t.Errorf("%s: %v failures", c.name, n)
		}
	}
	if n := reportCount(f.meters); n != 8 {
		t.Errorf("%d reports counted", n)
	}
}

// reportCount returns the number of reports counted with any outcome.
func reportCount(m *meters) (n int64) {
	for _, end := range []string{reportOK, reportLate, reportRefused, reportFailed, reportStale} {
		n += m.counter(fillPattern(reportAnswer, end)).Count()
	}
	return n
}

// TestLeaderSearchReportsAreCounted: reports sent in a search for the leader are counted like
// others. They do not go to a parent, so no line is logged. Reports cancelled by a stop are not
// counted.
func TestLeaderSearchReportsAreCounted(t *testing.T) {
	t.Parallel()
	p := &fakeParent{}
	f, parent, log := newReportingFollower(t, p)
	f.seeds = []string{parent, refusingAddress(t)}
	f.askCandidates(t.Context())
	for _, end := range []string{reportOK, reportRefused} {
		if n := f.meters.counter(fillPattern(reportAnswer, end)).Count(); n != 1 {
			t.Errorf("%s: %d", end, n)
		}
	}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	f.askCandidates(stopped)
	f.report(stopped, parent, 0)
	if n := reportCount(f.meters); n != 2 {
		t.Errorf("%d reports counted, want 2", n)
	}
	if lines := takeLogLines(t, log); len(lines) != 0 {
		t.Errorf("unexpected log lines: %v", lines)
	}
}

// TestSyncResponseBytesAreCounted: the bytes of responses must be counted at both ends, also those
// of a response that never became complete.
func TestSyncResponseBytesAreCounted(t *testing.T) {
	t.Parallel()
	p := &fakeParent{}
	f, parent, _ := newReportingFollower(t, p)
	in, out := f.meters.counter(newsBytesIn), f.meters.counter(newsBytesOut)
	if ok, _ := f.report(t.Context(), parent, 0); !ok {
		t.Fatal("the report got no response")
	}
	firstResponse := in.Count()
	if firstResponse <= 0 || firstResponse >= halfResponseBytes {
		t.Errorf("%d bytes counted for a small response", firstResponse)
	}
	ended := make(chan struct{})
	p.answer(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		stall(w, r)
	})
	if ok, _ := f.report(t.Context(), parent, 0); ok {
		t.Fatal("a report with an incomplete response succeeded")
	}
	<-ended
	if got := in.Count() - firstResponse; got < halfResponseBytes || got >= 2*halfResponseBytes {
		t.Errorf("%d bytes read of %d", got, halfResponseBytes)
	}
	if got := out.Count(); got < in.Count() {
		t.Errorf("%d bytes written, %d read", got, in.Count())
	}
}

// TestSyncBytesBetweenGatewaysMatch: the bytes that gateways read from each other must be counted as
// written by the others.
func TestSyncBytesBetweenGatewaysMatch(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	sum := func(name string) (n int64) {
		for _, g := range b.gateways {
			n += g.meters.counter(name).Count()
		}
		return n
	}
	b.configure(3)
	b.eventually("all gateways have version 3", func() bool {
		for _, g := range b.gateways {
			if g.view.table.Load().Version != 3 {
				return false
			}
		}
		return true
	})
	spec, err := json.Marshal(config(3))
	if err != nil {
		t.Fatal(err)
	}
	read := sum(newsBytesIn)
	if read < int64(len(spec)) {
		t.Errorf("%d bytes read, a configuration has %d", read, len(spec))
	}
	b.eventually("the bytes read are counted as written", func() bool { return sum(newsBytesOut) >= read })
}

// TestCountingConnCloseWrite: CloseWrite of a counting connection must close the writing side
// of the underlying connection, or return an error if that is not supported.
func TestCountingConnCloseWrite(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if err := (&countingConn{Conn: near}).CloseWrite(); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("pipe: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	m := newMeters()
	dial := countReads((&net.Dialer{}).DialContext, m.counter(newsBytesIn))
	client, err := dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := writeCountingListener{l, m.counter(newsBytesOut)}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	closer, ok := client.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("the connection has no CloseWrite")
	}
	if err := closer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(server); err != nil || len(data) != 0 {
		t.Errorf("read %q, %v", data, err)
	}
	if _, err := server.Write([]byte("news")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, make([]byte, len("news"))); err != nil {
		t.Fatal(err)
	}
	if in, out := m.counter(newsBytesIn).Count(), m.counter(newsBytesOut).Count(); in != 4 || out != 4 {
		t.Errorf("%d bytes read, %d written", in, out)
	}
}
