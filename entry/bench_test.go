package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/docstore"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// cpuMicros returns the CPU time of this process in microseconds.
func cpuMicros() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1000
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// BenchmarkBeat measures one heartbeat without observations, as a voter receives it, and
// one with the observations of twelve upstreams, as the controller receives it: the
// CPU time of sender and receiver, and the bytes in both directions.
func BenchmarkBeat(b *testing.B) {
	cluster := newTestCluster(b)
	e := cluster.addEntry("entry-1", "a")
	cluster.awaitVoters("a", 1)
	for i := range 12 {
		e.leases.withLock(func(tracker *lease.Tracker) {
			tracker.RecordAnswer(e.clock(), fmt.Sprintf("upstream-%d", i), control.Status{Boot: "0123456789abcdef.1"})
		})
	}
	var bytes atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e.peerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{l, &bytes}) }()
	defer func() { _ = server.Close() }()
	client := e.peers.Client(l.Addr().String())
	plain, full := e.beatRequest(beatTarget{id: e.self.ID}), e.beatRequest(beatTarget{id: e.self.ID})
	plain.Observations = nil
	full.Observations = e.leases.observationsToProto(e.clock())
	for name, req := range map[string]*peerpb.BeatRequest{"observations=0": plain, "observations=12": full} {
		b.Run(name, func(b *testing.B) {
			bytes.Store(0)
			before := cpuMicros()
			n := 0
			for b.Loop() {
				n++
				if _, err := client.Beat(context.Background(), req); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((cpuMicros()-before)/float64(n), "cpu-us/op")
			b.ReportMetric(float64(bytes.Load())/float64(n), "bytes/op")
		})
	}
}

// BenchmarkRenew measures one lease renewal: the CPU time of sender and receiver,
// and the bytes in both directions.
func BenchmarkRenew(b *testing.B) {
	cluster := newTestCluster(b)
	e := cluster.addEntry("entry-1", "a")
	u := cluster.addUpstream("up", "a", nil)
	var bytes atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: u.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{l, &bytes}) }()
	defer func() { _ = server.Close() }()
	up := cell.Upstream{ID: u.id, Addr: l.Addr().String(), Service: "svc", State: cell.Active}
	c := e.pool.GetOrCreate(up, e.upstreamOptions("svc", 1))
	ctx := context.Background()
	before := cpuMicros()
	for b.Loop() {
		r := control.Renewal{Boot: "0123456789abcdef.1", UntilNanos: 1_000_000_000_000}
		if _, err := c.Renew(ctx, r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((cpuMicros()-before)/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}

// testCell returns a cell document with n ranges and twelve upstreams.
func testCell(n int) *cell.Cell {
	doc := &cell.Cell{Name: "a", Domain: "a", Version: 1, Fence: 1, WriteID: "w"}
	for i := range 12 {
		doc.Upstreams = append(doc.Upstreams, cell.Upstream{
			ID: fmt.Sprintf("upstream-%d", i), Service: "svc", Addr: "127.0.0.1:1000", State: cell.Active, Boot: "0123456789abcdef.1",
		})
	}
	s := doc.EnsureService("svc")
	for i, span := range keyspace.FullSpan().Split(n) {
		s.Ranges = append(s.Ranges, cell.Range{Span: span, Epoch: 7, Phase: cell.Owned, Owner: doc.Upstreams[i%12].ID})
	}
	return doc
}

// BenchmarkCellDocument measures encoding and decoding a cell document.
func BenchmarkCellDocument(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("ranges=%d", n), func(b *testing.B) {
			doc := testCell(n)
			var data []byte
			b.ReportAllocs()
			for b.Loop() {
				var err error
				if data, err = json.Marshal(doc); err != nil {
					b.Fatal(err)
				}
				if _, err := cell.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "document-bytes")
		})
	}
}

type noPlacement struct{}

func (noPlacement) Place(_ *cell.Cell, _ string, spans []keyspace.Span, _ string) []string {
	return make([]string, len(spans))
}

type allCheckFences struct{}

func (allCheckFences) ChecksFences(string) bool { return true }

// BenchmarkStep measures one step of the controller in a cell where nothing changes.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("ranges=%d", n), func(b *testing.B) {
			self := cell.Member{ID: "e#1", Cell: "a", Domain: "a", Peer: "p"}
			doc := testCell(n)
			doc.Quorum.Local = []cell.Member{self}
			core := controller.NewCore(self, controller.DefaultLimits(), noPlacement{}, allCheckFences{}, func() string { return "w" })
			now := time.Unix(1000, 0)
			core.OnDocument(now, doc, 1)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(stepInterval)
				core.Step(now)
			}
		})
	}
}

// BenchmarkLoadReport measures how the controller handles the load report of one
// entry, and the size of the report.
func BenchmarkLoadReport(b *testing.B) {
	for _, n := range []int{200, 800} {
		b.Run(fmt.Sprintf("ranges=%d", n), func(b *testing.B) {
			cluster := newTestCluster(b)
			e := cluster.addEntry("entry-1", "a")
			doc := testCell(n)
			doc.Version = 1000
			e.gate.Apply(doc)
			_, slots := e.gate.Slots()
			for _, s := range slots {
				s.RecordRequest(1000)
			}
			req := e.loadReport()
			ctx := context.Background()
			before := cpuMicros()
			for b.Loop() {
				if _, err := (peerServer{e.Entry}).Beat(ctx, req); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((cpuMicros()-before)/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(proto.Size(req)), "bytes/op")
		})
	}
}

// BenchmarkRosters measures adding the rosters of all cells of a fleet to a document
// store, and the memory that this allocates.
func BenchmarkRosters(b *testing.B) {
	for _, cells := range []int{83, 663} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			docs := make([]*docstore.Document, cells)
			size := 0
			for i := range docs {
				docs[i] = roster(b, i)
				size += len(docs[i].Data)
			}
			b.ReportAllocs()
			for b.Loop() {
				store := docstore.New(func(*docstore.Document) {})
				for _, d := range docs {
					store.Add(d)
				}
			}
			b.ReportMetric(float64(size), "document-bytes")
		})
	}
}

func roster(b *testing.B, i int) *docstore.Document {
	r := cell.Roster{Cell: fmt.Sprintf("cell-%d", i), Domain: "d", Version: 1}
	for m := range 8 {
		r.Members = append(r.Members, cell.Member{
			ID: controller.MemberID(fmt.Sprintf("entry-%d-%d", i, m), time.Unix(1e9, 0)), Domain: "d", Cell: r.Cell, Peer: "10.100.100.100:7001",
		})
	}
	data, err := json.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	d, err := docstore.Parse(docstore.Roster, data)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// plainProxy returns a minimal HTTP proxy to addr as the baseline for an entry.
func plainProxy(addr string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		for name, values := range r.Header {
			out.Header[name] = values
		}
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// BenchmarkProxy compares requests through an entry with requests through a minimal
// proxy and with direct ones, over loopback TCP, one at a time.
func BenchmarkProxy(b *testing.B) {
	cluster := newTestCluster(b)
	e := cluster.addEntry("entry-1", "a")
	u := cluster.addUpstream("up", "a", func(s *upstream.Settings) { s.ReadTime, s.ConnectionCost = 0, 0 })
	cluster.awaitVoters("a", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")
	plain := httptest.NewServer(plainProxy(u.addr))
	defer plain.Close()
	epoch := fmt.Sprint(cluster.epochOf("svc", "k"))
	for _, target := range []struct{ name, addr string }{
		{"direct", u.addr}, {"passthrough", plain.Listener.Addr().String()}, {"entry", e.callers},
	} {
		b.Run(target.name, func(b *testing.B) {
			h := hdrhistogram.New(1, 10_000_000, 3)
			before := cpuMicros()
			for b.Loop() {
				start := time.Now()
				resp := cluster.send(target.addr, http.MethodGet, "svc", "k", nil, header.Idempotent, "true", header.Epoch, epoch)
				if resp.status != http.StatusOK {
					b.Fatalf("%d %s", resp.status, resp.body)
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric((cpuMicros()-before)/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
		})
	}
}
