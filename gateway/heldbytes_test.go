package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
)

// sizedUpstream returns an upstream whose responses have as many bytes as the header X-Size says. It ends
// the connection midway through a response if X-Broken is set. If X-Endless is set, it sends bytes until the
// gateway closes the connection; if X-Claim is set, it announces as many bytes as X-Claim says and sends none.
func sizedUpstream(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(r.Header.Get("X-Size"))
		if err != nil {
			t.Errorf("X-Size: %v", err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		id := r.Header.Get(platform.RequestID)
		w.Header().Set(platform.RequestID, id)
		w.Header().Set(platform.Signature, "sig-"+id)
		if r.Header.Get("X-Endless") != "" {
			sendUntilClosed(w)
			return
		}
		if claim := r.Header.Get("X-Claim"); claim != "" {
			w.Header().Set("Content-Length", claim)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		body := bytes.Repeat([]byte("x"), size)
		if r.Header.Get("X-Broken") != "" {
			_, _ = w.Write(body[:size/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// sendUntilClosed sends a body until the other end closes the connection.
func sendUntilClosed(w http.ResponseWriter) {
	block := bytes.Repeat([]byte("x"), 32<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// byteGateway is a gateway with one upstream of sized responses.
type byteGateway struct {
	*Gateway
	t    *testing.T
	addr string
	mu   sync.Mutex
	ids  int
}

func newByteGateway(t *testing.T, memoryMB int, linkMbps float64) *byteGateway {
	t.Helper()
	conf := settings.DefaultGateway()
	conf.Domain, conf.RetryWindow, conf.MemoryMB, conf.LinkMbps = "a", jsonc.Duration(10*time.Second), memoryMB, linkMbps
	g, addr := startCallerHandler(t, sizedUpstream(t), conf)
	return &byteGateway{Gateway: g, t: t, addr: addr}
}

// send sends a request without reading the response.
func (g *byteGateway) send(path string, size int, headers string) net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	g.mu.Lock()
	g.ids++
	id := g.ids
	g.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: b%d\r\n%s: 2000\r\nX-Size: %d\r\n%s\r\n",
		path, platform.RequestID, id, platform.Deadline, size, headers); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// sendSlow is send for a caller with a small receive buffer, so that what it does not read stays at the
// gateway.
func (g *byteGateway) sendSlow(path string, size int) net.Conn {
	g.t.Helper()
	conn := g.send(path, size, "")
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// ask sends a request and reads the whole response.
func (g *byteGateway) ask(path string, size int, headers string) (status, got int, retryAfter string) {
	g.t.Helper()
	conn := g.send(path, size, headers)
	defer func() { _ = conn.Close() }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		g.t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		g.t.Errorf("response of %d bytes ended after %d: %v", size, n, err)
	}
	return resp.StatusCode, int(n), resp.Header.Get("Retry-After")
}

func (g *byteGateway) held() int64 { return g.proxy.bytes.Stats().Held }

// eventually waits until the condition holds. The deadline only ends a test that hangs.
func (g *byteGateway) eventually(what string, condition func() bool) {
	g.t.Helper()
	(&testCluster{t: g.t}).eventually(what, condition)
}

// TestSlowReadersBesideOrdinaryRequests guards against readers of 1 KB/s that make a gateway hold more and
// more: the bytes held must stay bounded, ordinary requests must be served, and further large ones must
// be refused as not run with a time to come back.
func TestSlowReadersBesideOrdinaryRequests(t *testing.T) {
	t.Parallel()
	// 16 MB allow 4 MB of requests and responses, 2 MB of them in large responses.
	g := newByteGateway(t, 16, 0)
	const large = 512 << 10
	for range 40 {
		if status, got, _ := g.ask("/read/x", large, ""); status != http.StatusOK || got != large {
			t.Fatalf("status %d with %d bytes while nothing else is held", status, got)
		}
		if status, got, _ := g.ask("/pay/x", 100, "Content-Length: 0\r\n"); status != http.StatusOK || got != 100 {
			t.Fatalf("status %d with %d bytes while nothing else is held", status, got)
		}
	}
	end := make(chan struct{})
	var readers sync.WaitGroup
	var conns []net.Conn
	for range 60 {
		conn := g.sendSlow("/read/x", large)
		conns = append(conns, conn)
		readers.Go(func() {
			buffer := make([]byte, 1<<10)
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Second):
				}
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		})
	}
	g.eventually("large requests are refused", func() bool { return g.proxy.bytes.Stats().Refused >= 50 })
	for range 200 {
		if status, got, _ := g.ask("/pay/x", 100, "Content-Length: 0\r\n"); status != http.StatusOK || got != 100 {
			t.Fatalf("an ordinary request: status %d with %d bytes", status, got)
		}
		if held := g.held(); held > 2<<20+128<<10 {
			t.Fatalf("%d bytes are held, more than half of the bound for large responses", held)
		}
	}
	if status, _, after := g.ask("/read/x", large, ""); status != http.StatusServiceUnavailable || after == "" {
		t.Errorf("a large request beyond the bound: status %d, Retry-After %q", status, after)
	}
	close(end)
	// A reader that was refused waits for more on its open connection.
	for _, conn := range conns {
		_ = conn.Close()
	}
	readers.Wait()
}

// TestReaderThatStopsIsGivenUp guards against callers that take nothing and keep the bytes of their
// responses held for good.
func TestReaderThatStopsIsGivenUp(t *testing.T) {
	t.Parallel()
	g := newByteGateway(t, 16, 0)
	g.proxy.maxWriteStall = 300 * time.Millisecond
	const large = 2 << 20
	conn := g.sendSlow("/read/x", large)
	g.eventually("the response is held", func() bool { return g.held() >= large })
	g.eventually("nothing is held", func() bool { return g.held() == 0 })
	if n, err := io.Copy(io.Discard, conn); n >= large {
		t.Errorf("the reader got %d bytes, error %v", n, err)
	}
	if n := g.meters.counter(responsesNotWritten).Count(); n != 1 {
		t.Errorf("%d responses were not written", n)
	}
}

// TestUpstreamThatEndsMidwayLeavesNothingHeld guards against bytes that stay counted after an upstream has
// ended in the middle of a response, with which a gateway refuses more and more.
func TestUpstreamThatEndsMidwayLeavesNothingHeld(t *testing.T) {
	t.Parallel()
	g := newByteGateway(t, 16, 0)
	for range 3 {
		if status, _, _ := g.ask("/pay/x", 1<<20, "Content-Length: 0\r\nX-Broken: 1\r\n"); status != http.StatusBadGateway {
			t.Errorf("status %d", status)
		}
	}
	g.eventually("nothing is held", func() bool { return g.held() == 0 })
}

// TestLinkOfAGatewayBoundsDownloads guards against downloads that are admitted beyond what the link
// carries in time, and against a bound where the link is not known.
func TestLinkOfAGatewayBoundsDownloads(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		mbps    float64
		refused bool
	}{{10, true}, {0, false}} {
		g := newByteGateway(t, 64, c.mbps)
		const size = 300 << 10
		for range 40 {
			// The size is learned one response at a time.
			if status, _, _ := g.ask("/read/x", size, ""); status != http.StatusOK {
				t.Fatalf("%v Mbit/s: status %d on the idle link", c.mbps, status)
			}
			// The caller has the whole response before the gateway releases it.
			g.eventually("nothing is held", func() bool { return g.held() == 0 })
		}
		if !c.refused {
			for i := range 10 {
				g.sendSlow("/read/x", size)
				// Requests that are still at the upstream would leave no room for another one.
				g.eventually("the response has arrived", func() bool {
					return g.meters.counter(fillPattern(routeTries, "read")).Count() > int64(40+i) && g.traffic.explain(g.traffic.get("pay"), "").OwnInflight == 0
				})
			}
			status, _, retryAfter := g.ask("/read/x", size, "")
			if stats := g.proxy.bytes.Stats(); status != http.StatusOK || stats.RefusedLink > 0 {
				t.Errorf("the link is not known: status %d, Retry-After %q, %+v", status, retryAfter, stats)
			}
			continue
		}
		g.eventually("downloads are refused for the link", func() bool {
			g.sendSlow("/read/x", size)
			return g.proxy.bytes.Stats().RefusedLink > 0
		})
	}
}

// TestBytesFromOtherDomainsAreCounted guards against counting the traffic within a failure domain as
// crossing, and against missing what crosses.
func TestBytesFromOtherDomainsAreCounted(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		domain   string
		min, max int64
	}{{"a", 0, 0}, {"b", 10000, 11000}} {
		g := newByteGateway(t, 16, 0)
		g.proxy.domain = c.domain
		if status, _, _ := g.ask("/read/x", 10000, ""); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if n := g.meters.counter(fillPattern(bytesCrossed, "pools")).Count(); n < c.min || n > c.max {
			t.Errorf("%d bytes crossed to domain %s", n, c.domain)
		}
	}
}

// TestUselessResponsesLeaveRoomForOthers guards against requests that are refused for the bytes of endless or announced bodies of others.
func TestUselessResponsesLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	for name, header := range map[string]string{"without an end": "X-Endless: 1\r\n", "announced": "X-Claim: 16000000\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// 16 MB allow 4 MB of requests and responses.
			g := newByteGateway(t, 16, 0)
			go g.traffic.run(t.Context())
			var useless []net.Conn
			for range 2 {
				useless = append(useless, g.send("/read/x", 0, header))
			}
			g.eventually("bodies are being read", func() bool { return g.responses.Stats().Used > 0 })
			for range 100 {
				g.ask("/pay/x", 100, "Content-Length: 0\r\n")
				if refused := g.proxy.bytes.Stats().Refused; refused > 0 {
					t.Fatal("refused for the bytes held")
				}
				if used := g.responses.Stats().Used; used > 16*megabyte/responsesDivisor {
					t.Fatalf("%d bytes of memory", used)
				}
			}
			for _, conn := range useless {
				_ = conn.Close()
			}
		})
	}
}
