package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/delta"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/state/spans"
	"github.com/rockcroft/rockcroft/transport/eventlog"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// These benchmarks give the inputs of docs/CAPACITY.md. Both ends of a message run in one
// process, so half of the cost is counted for each.

// newBenchPeer returns a peer server that serves the reports of other gateways as a leader
// does, and its address.
func newBenchPeer(b *testing.B) (*peerServer, string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	self := &syncpb.Member{Node: "leader", Address: l.Addr().String(), Domain: "a"}
	c := newCluster(self, http.DefaultClient, time.Now, nil)
	c.setLeading(true)
	v, log := newView(), slog.New(slog.DiscardHandler)
	p := &peerServer{
		view: v, cluster: c, assignments: &assignmentSupervisor{workTimes: newWorkTimes(v, time.Now), rights: &warmUpRights{view: v, now: time.Now}}, parts: &partCache{}, log: log,
		traffic: newTraffic(settings.DefaultGateway(), time.Now, rand.New(rand.NewPCG(1, 2))), follower: &follower{now: time.Now}, watcher: &watcher{ages: newWatchAges(time.Now, log)}, validator: newPeerValidator(v, time.Now, log, newMeters()), evac: &evacuations{view: v},
		limits: newNamedLimits(v, time.Now, log, newMeters()), suspects: noSuspects(), quotas: noQuotas(),
	}
	server := &http.Server{Handler: syncpb.NewPeerServer(p)}
	b.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return p, l.Addr().String()
}

// BenchmarkReport measures one report with the loads of several upstreams and its response.
func BenchmarkReport(b *testing.B) {
	for _, upstreams := range []int{10, 100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			p, address := newBenchPeer(b)
			// The sender lacks this configuration, so the response is sent at once.
			p.view.setConfiguration(1, []byte("{}"), &routing.Configuration{Version: 1})
			client := syncpb.NewPeerProtobufClient("http://"+address, &http.Client{})
			r := &syncpb.SyncRequest{Member: &syncpb.Member{Node: "g", Address: "127.0.0.1:1", Domain: "a"}, WaitMs: 1}
			for i := range upstreams {
				r.Loads = append(r.Loads, &syncpb.Load{Instance: fmt.Sprintf("i-%08x", i), Inflight: 1, WorkUs: 60000})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Sync(context.Background(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// startBenchUpstream starts a stand-in upstream that responds at once and returns its address.
func startBenchUpstream(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: instance.New("i-1", false, 0, instance.NewOracle())}
	b.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// BenchmarkRenewal measures one control call to an upstream, such as a renewal. It sends a
// release, for which the stand-in keeps little state.
func BenchmarkRenewal(b *testing.B) {
	address := startBenchUpstream(b)
	owners := platform.NewOwners(pool.New(upstreamLimits, time.Now))
	b.ReportAllocs()
	for b.Loop() {
		result, _, err := owners.Release(context.Background(), "i-1", address, spans.KeyRange{Last: 9}, 1)
		if err != nil || result != platform.Granted {
			b.Fatal(err)
		}
	}
}

// BenchmarkNews measures building a response with the complete owners of some spans as a new
// part.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{256, 2048} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := newBenchPeer(b)
			p.view.setInstances(1, instances.NewView(1, nil))
			t := &spans.Table{Service: "s", Version: 1, LastFence: uint64(n)}
			for i := range n {
				width := (spans.MaxKey + 1) / n
				t.Spans = append(t.Spans, spans.Span{
					KeyRange: spans.KeyRange{First: uint16(i * width), Last: uint16((i+1)*width - 1)},
					Owner:    fmt.Sprintf("i-%08x", i%100), Fence: uint64(i + 1),
				})
			}
			p.view.setSpans(t)
			r := &syncpb.SyncRequest{Member: &syncpb.Member{Node: "g", Address: "x"}}
			b.ReportAllocs()
			for b.Loop() {
				p.parts = &partCache{}
				if len(p.buildResponse(r).Parts) != 1 {
					b.Fatal("no news")
				}
			}
		})
	}
}

// BenchmarkConfiguration measures a change of one route in a large configuration: encoding the
// part that carries it and applying that part.
func BenchmarkConfiguration(b *testing.B) {
	base, next := largeConfig(3), largeConfig(4)
	route := next.Routes["read"]
	route.Timeout = secondsAfter
	next.Routes["read"] = route
	specs := make([][]byte, 0, 2)
	for _, c := range []platform.ConfigBody{base, next} {
		spec, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		specs = append(specs, spec)
	}
	for _, encoding := range []struct {
		name string
		base []byte
	}{{"whole", nil}, {"difference", specs[0]}} {
		data, err := delta.Encode(encoding.base, specs[1])
		if err != nil {
			b.Fatal(err)
		}
		b.Run(encoding.name+"/made", func(b *testing.B) {
			for b.Loop() {
				if _, err := delta.Encode(encoding.base, specs[1]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "part-bytes")
		})
		b.Run(encoding.name+"/taken", func(b *testing.B) {
			for b.Loop() {
				spec, err := delta.Decode(encoding.base, data)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := platform.DecodeConfiguration(spec); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkForward measures one request through a gateway and the same request sent directly to
// the upstream over connections of the same kind. The ratio is the overhead of a gateway.
func BenchmarkForward(b *testing.B) {
	address := startBenchUpstream(b)
	ask := func(b *testing.B, to string, conns *pool.Pool) {
		b.Helper()
		h := http.Header{platform.RequestID: {"r"}, platform.Deadline: {"2000"}}
		resp, err := conns.Do(context.Background(), to, &pool.Request{
			Method: http.MethodGet, Target: "/read/x", Host: "h.example", Header: h, EchoHeader: platform.RequestID, EchoValue: "r",
		})
		if err != nil || resp.Status != http.StatusOK {
			b.Fatal(err, resp)
		}
	}
	b.Run("straight", func(b *testing.B) {
		conns := pool.New(upstreamLimits, time.Now)
		for b.Loop() {
			ask(b, address, conns)
		}
	})
	b.Run("gateway", func(b *testing.B) {
		g := startBenchGateway(b, address)
		conns := pool.New(upstreamLimits, time.Now)
		for b.Loop() {
			ask(b, g, conns)
		}
	})
}

// startBenchGateway starts the caller-facing handler of a gateway with one upstream, without a
// store or a leader, and returns its address.
func startBenchGateway(b *testing.B, upstream string) string {
	b.Helper()
	conf := settings.DefaultGateway()
	conf.Domain, conf.RetryWindow, conf.MemoryMB = "a", jsonc.Duration(10*time.Second), 200
	_, addr := startCallerHandler(b, upstream, conf)
	return addr
}

// startCallerHandler starts the caller-facing handler of a gateway as startBenchGateway does, with the
// given settings.
func startCallerHandler(b testing.TB, upstream string, conf settings.Gateway) (*Gateway, string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	open := Listeners{Callers: l, Ready: l, Peers: l}
	g := New(conf, open, eventlog.New(time.Now))
	body, err := json.Marshal(config(1))
	if err != nil {
		b.Fatal(err)
	}
	c, err := platform.DecodeConfiguration(body)
	if err != nil {
		b.Fatal(err)
	}
	g.view.setConfiguration(1, body, c)
	g.view.setInstances(1, instances.NewView(1, []instances.Instance{{ID: "i-1", Service: "pay", Address: upstream, Domain: "a", Slots: 4}}))
	g.proxy.tracer = noop.NewTracerProvider().Tracer("")
	server := &http.Server{Handler: g.proxy, ConnContext: limitSocketBuffers}
	b.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return g, l.Addr().String()
}
