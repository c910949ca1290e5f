package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/platform"
)

// spanCollector is a fake OTLP trace collector. It keeps the names of the spans of
// each trace.
type spanCollector struct {
	mu    sync.Mutex
	spans map[string][]string
}

func (s *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var req collector.ExportTraceServiceRequest
	if proto.Unmarshal(data, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range req.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			for _, span := range ss.Spans {
				id := fmt.Sprintf("%x", span.TraceId)
				s.spans[id] = append(s.spans[id], span.Name)
			}
		}
	}
}

// TestTracesHaveASpanForEachHop sends a request with a trace context to an entry of
// the wrong cell, so that it passes through two entries and an upstream.
func TestTracesHaveASpanForEachHop(t *testing.T) {
	received := &spanCollector{spans: make(map[string][]string)}
	server := httptest.NewServer(received)
	defer server.Close()
	cluster := newTestCluster(t)
	cluster.editSettings = func(s *settings.Entry) {
		s.Trace = settings.Trace{
			Exporter: "otlp", SampleShare: 0,
			Endpoint: jsonc.Addr{AddrPort: netip.MustParseAddrPort(server.Listener.Addr().String())},
		}
	}
	cluster.addEntry("entry-a", "a")
	cluster.addEntry("entry-b", "b")
	cluster.addUpstream("up-a", "a", nil)
	cluster.awaitVoters("a", 1)
	cluster.awaitVoters("b", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	const id = "0af7651916cd43dd8448eb211c80319c"
	resp := cluster.send(cluster.entries[1].callers, http.MethodGet, "svc", "k", nil,
		"Traceparent", "00-"+id+"-b7ad6b7169203331-01")
	if resp.status != http.StatusOK {
		t.Fatalf("%d %s", resp.status, resp.body)
	}
	for _, e := range cluster.entries {
		e.stop()
		<-e.done
	}
	received.mu.Lock()
	defer received.mu.Unlock()
	count := make(map[string]int)
	for _, name := range received.spans[id] {
		count[name]++
	}
	if count["entry"] != 2 || count["forward"] != 1 || count["upstream"] != 1 {
		t.Errorf("spans %v", count)
	}
}

// configurationVersion returns the configuration version in force at an entry.
func configurationVersion(e *runningEntry, name string) uint64 {
	if conf := e.docs.Service(name); conf != nil {
		return conf.Version
	}
	return 0
}

// TestConfigurationReachesAllAndNeverReverts checks that a new configuration reaches
// all entries, that the previous one does not replace it when it arrives again, and
// that an entry that starts while the platform is down gets the new one.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	cluster := twoCells(t, true)
	conf := service.Default()
	conf.Name = "svc"
	conf.QueueLength = 7
	previous := cluster.entries[0].docs.All()
	cluster.createAndConfirm(intent.Spec{Kind: intent.Configure, Service: &conf})
	everywhere := func() error {
		for _, e := range cluster.entries {
			if v := configurationVersion(e, "svc"); v != 2 {
				return fmt.Errorf("%s uses version %d", e.self.ID, v)
			}
		}
		return nil
	}
	cluster.eventually("configuration everywhere", everywhere)
	for _, d := range previous {
		cluster.entries[1].addEncodedDocument(d.Kind, d.Data)
	}
	cluster.store.down.Store(true)
	cluster.addEntry("entry-late", "b")
	cluster.eventually("configuration at the late entry", everywhere)
	cluster.store.down.Store(false)
}

// TestInvalidConfigurationIsRefused checks that a configuration with inconsistent
// values is neither accepted nor stored.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.addEntry("entry", "a")
	cluster.awaitVoters("a", 1)
	spec := cluster.serviceSpec("svc", true)
	spec.Service.MaxDeadline = 0
	if _, err := cluster.create(spec); err == nil {
		t.Error("invalid configuration accepted")
	}
	if _, err := cluster.store.Get(context.Background(), platform.KindService, "svc"); err == nil {
		t.Error("invalid configuration stored")
	}
}

// TestCreateAssignsEachSpanToOneCell checks that a service in two cells is created
// with a single directory write. If a span were assigned to one cell first and to
// another later, the first cell could already have granted it.
func TestCreateAssignsEachSpanToOneCell(t *testing.T) {
	cluster := twoCells(t, true)
	for _, e := range cluster.entries {
		if v := e.docs.Directory("svc").Version; v != 1 {
			t.Errorf("%s: directory version %d, want 1", e.self.ID, v)
		}
		for _, r := range e.gate.Doc().Service("svc").Ranges {
			if r.Epoch != 1 {
				t.Errorf("%s: range %s has epoch %d, want 1: it was granted before", e.self.ID, r.Span, r.Epoch)
			}
		}
	}
}

// TestEvictedCellIsTakenOver checks that when a whole cell is lost and an operator
// confirms its eviction, the other cell serves its keys at higher epochs.
func TestEvictedCellIsTakenOver(t *testing.T) {
	cluster := twoCells(t, true)
	half := keyspace.FullSpan().Split(2)[1]
	for _, e := range cluster.entries[2:] {
		e.stop()
		<-e.done
	}
	for _, u := range cluster.upstreams[2:] {
		u.SetFaults(frozenFaults)
	}
	cluster.entries = cluster.entries[:2]
	cluster.createAndConfirm(intent.Spec{Kind: intent.EvictCell, Names: []string{"b"}})
	cluster.awaitServed("svc")
	if d := cluster.entries[0].docs.Directory("svc"); len(d.Segments) == 0 || d.Segments[0].Cell != "a" {
		t.Errorf("directory %+v", d)
	}
	for _, s := range cluster.entries[0].gate.Doc().Service("svc").Ranges {
		if half.Covers(s.Span) && s.Epoch < 3 {
			t.Errorf("range %s has epoch %d, want at least 3: the lost cell may have granted 2", s.Span, s.Epoch)
		}
	}
}
