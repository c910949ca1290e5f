package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var testLimits = Limits{DialTimeout: time.Second, MaxIdleTime: time.Minute, MaxIdleTimeNonIdempotent: time.Minute, MaxIdleConnsPerAddr: 4, MaxHeadBytes: 1 << 16, MaxBodyBytes: 1 << 20}

// server accepts raw connections. It calls the handle function with each request read from a
// connection, until that function returns false.
type server struct {
	addr  string
	conns atomic.Int32
}

func serve(t *testing.T, handle func(conn, request int, r *http.Request, c net.Conn) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for i := 1; ; i++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil || !handle(n, i, r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, EchoHeader: "Id", EchoValue: id}
}

func respond(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func mustDo(t *testing.T, p *Pool, addr, id, want string) {
	t.Helper()
	resp, err := p.Do(context.Background(), addr, newRequest(id))
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	if string(resp.Body) != want {
		t.Fatalf("%s: body %q", id, resp.Body)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	p := New(testLimits, time.Now)
	for i := range 5 {
		mustDo(t, p, s.addr, fmt.Sprint(i), "ok")
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestMismatchedResponseIsSkipped guards against taking an extra response to an earlier request for
// the response to the next one. The right response is accepted and the connection is not reused.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	s := serve(t, func(_, i int, r *http.Request, c net.Conn) bool {
		if i == 2 {
			respond(c, "1", "again")
		}
		respond(c, r.Header.Get("Id"), "mine "+r.Header.Get("Id"))
		return true
	})
	p := New(testLimits, time.Now)
	mustDo(t, p, s.addr, "1", "mine 1")
	mustDo(t, p, s.addr, "2", "mine 2")
	mustDo(t, p, s.addr, "3", "mine 3")
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections were opened, want 2: the connection of the second request is closed", n)
	}
}

// TestOptionalEcho checks which responses are accepted if the server may omit the echo.
func TestOptionalEcho(t *testing.T) {
	for name, c := range map[string]struct {
		// ids are the IDs in the responses to the second request; empty for a response without one.
		firstID   string
		ids       []string
		orNewConn bool
		accepted  int
		conns     int32
	}{
		"echoed":                                {"1", []string{"2"}, false, 0, 1},
		"never echoed":                          {"", []string{""}, false, 0, 1},
		"never echoed, new connection":          {"", []string{""}, true, 0, 2},
		"echoed, no new connection":             {"1", []string{"2"}, true, 0, 1},
		"extra response to another request":     {"1", []string{"1", "2"}, false, 1, 1},
		"extra response without ID":             {"1", []string{"", "2"}, false, 1, 1},
		"another ID from a server without echo": {"", []string{"1", ""}, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_, _ int, r *http.Request, conn net.Conn) bool {
				ids := []string{c.firstID}
				if r.Header.Get("Id") == "2" {
					ids = c.ids
				}
				for n, id := range ids {
					if id == "" {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
						continue
					}
					respond(conn, id, fmt.Sprint(n))
				}
				return true
			})
			p := New(testLimits, time.Now)
			for _, id := range []string{"1", "2"} {
				r := newRequest(id)
				r.EchoOptional, r.EchoOrNewConn = true, c.orNewConn
				resp, err := p.Do(context.Background(), s.addr, r)
				if err != nil {
					t.Fatal(err)
				}
				if id == "2" && string(resp.Body) != fmt.Sprint(c.accepted) {
					t.Errorf("response %s was accepted, want %d", resp.Body, c.accepted)
				}
			}
			if n := s.conns.Load(); n != c.conns {
				t.Errorf("%d connections, want %d", n, c.conns)
			}
		})
	}
}

func TestOnlyMismatchedResponses(t *testing.T) {
	s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
		for range maxMismatched + 1 {
			respond(c, "other", "x")
		}
		return true
	})
	if _, err := New(testLimits, time.Now).Do(context.Background(), s.addr, newRequest("1")); !errors.Is(err, ErrMismatchedResponse) {
		t.Errorf("unexpected error: %v", err)
	}
}

// TestConnectionWithUnreadBytesIsNotReused guards against reading the bytes of an extra response as
// the response to the next request, whether they arrive with the previous response or after it.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	wrote := make(chan bool)
	s := serve(t, func(n, _ int, r *http.Request, c net.Conn) bool {
		respond(c, r.Header.Get("Id"), "ok")
		if n == 1 {
			respond(c, r.Header.Get("Id"), "extra")
			wrote <- true
		}
		return true
	})
	p := New(testLimits, time.Now)
	mustDo(t, p, s.addr, "1", "ok")
	<-wrote
	mustDo(t, p, s.addr, "2", "ok")
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections were opened", n)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, raw := range map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
		"short chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"short head":    "HTTP/1.1 200 OK\r\nId: 1",
		"no protocol":   "what is this\r\n\r\n",
		"nothing":       "",
	} {
		s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, raw)
			return false
		})
		_, err := New(testLimits, time.Now).Do(context.Background(), s.addr, newRequest("1"))
		if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: unexpected error: %v", name, err)
		}
	}
}

// TestResponseWithoutLengthEndsWithConnection checks that a response without a length is complete
// only if its connection was closed, not if it was reset.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		got := make(chan bool, 1)
		s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			got <- true
			return false
		})
		resp, err := New(testLimits, time.Now).Do(context.Background(), s.addr, newRequest("1"))
		<-got
		if reset && err == nil || !reset && (err != nil || string(resp.Body) != "body") {
			t.Errorf("reset %v: %v", reset, err)
		}
	}
}

func TestRequestIsSentOnlyOnce(t *testing.T) {
	var requests atomic.Int32
	s := serve(t, func(_, i int, r *http.Request, c net.Conn) bool {
		requests.Add(1)
		if i == 2 {
			return false
		}
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	p := New(testLimits, time.Now)
	mustDo(t, p, s.addr, "1", "ok")
	if _, err := p.Do(context.Background(), s.addr, newRequest("2")); !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("unexpected error: %v", err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	_, err = New(testLimits, time.Now).Do(context.Background(), addr, newRequest("1"))
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrRefused) {
		t.Errorf("unexpected error: %v", err)
	}
}

// TestCancelResetsConnection checks that the server sees the connection end when the caller
// cancels, so that it can stop working on the request.
func TestCancelResetsConnection(t *testing.T) {
	arrived, ended := make(chan bool), make(chan error, 1)
	s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
		arrived <- true
		_, err := c.Read(make([]byte, 1))
		ended <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := New(testLimits, time.Now).Do(ctx, s.addr, newRequest("1"))
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
		t.Errorf("unexpected error: %v", err)
	}
	if err := <-ended; err == nil {
		t.Error("the server read more bytes instead of the end of the connection")
	}
}

// TestResponseBeforeBodyIsRead checks that a response sent before the server has read a long body
// is accepted, and that the connection is not reused.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c, "1", "early")
				}
			}()
		}
	}()
	p := New(testLimits, time.Now)
	r := newRequest("1")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	for range 2 {
		resp, err := p.Do(context.Background(), l.Addr().String(), r)
		if err != nil || string(resp.Body) != "early" {
			t.Fatalf("%v", err)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestIdleTimeLimits checks that connections are reused for less than the announced timeout, and
// for an even shorter time by requests that must not run twice.
func TestIdleTimeLimits(t *testing.T) {
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	})
	now := time.Now()
	l := testLimits
	l.MaxIdleTimeNonIdempotent = time.Second
	p := New(l, func() time.Time { return now })
	expect := func(conns int32, nonIdempotent bool) {
		t.Helper()
		r := newRequest("1")
		r.NonIdempotent = nonIdempotent
		if _, err := p.Do(context.Background(), s.addr, r); err != nil {
			t.Fatal(err)
		}
		if n := s.conns.Load(); n != conns {
			t.Errorf("%d connections were opened, want %d", n, conns)
		}
	}
	expect(1, false)
	now = now.Add(2 * time.Second)
	expect(1, false)
	now = now.Add(2 * time.Second)
	expect(2, true)
	now = now.Add(3500 * time.Millisecond)
	expect(3, false)
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	mustDo(t, New(testLimits, time.Now), s.addr, "1", "ok")
}

// TestSilentConnectionsCostOneRequest guards against one lost request per idle connection when all
// connections to an address stop responding at the same time.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	const kept = 3
	var together sync.WaitGroup
	together.Add(kept)
	var silent atomic.Bool
	s := serve(t, func(conn, _ int, r *http.Request, c net.Conn) bool {
		if conn <= kept {
			if silent.Load() {
				return true
			}
			together.Done()
			together.Wait()
		}
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	p := New(testLimits, time.Now)
	var all sync.WaitGroup
	for i := range kept {
		all.Go(func() { mustDo(t, p, s.addr, fmt.Sprint(i), "ok") })
	}
	all.Wait()
	silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, s.addr, newRequest("lost")); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("request on a silent connection: %v", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := p.Do(ctx, s.addr, newRequest("next")); err != nil {
		t.Fatalf("the next request reused another silent connection: %v", err)
	}
	if n := s.conns.Load(); n != kept+1 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestOnReadReportsEveryByteOfResponse checks that every byte of head and body is reported as it
// arrives, before the rest has arrived, and that no byte of the next response is.
func TestOnReadReportsEveryByteOfResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n"
	reads := make(chan int, 100)
	s := serve(t, func(_, i int, _ *http.Request, c net.Conn) bool {
		if i > 1 {
			respond(c, "b", "other")
			return true
		}
		for _, part := range []string{head, "01234", "56789"} {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
			// The next part is sent after this one was reported.
			for left := len(part); left > 0; {
				left -= <-reads
			}
		}
		return true
	})
	p := New(testLimits, time.Now)
	r := newRequest("a")
	r.OnRead = func(n int) { reads <- n }
	resp, err := p.Do(context.Background(), s.addr, r)
	if err != nil || string(resp.Body) != "0123456789" {
		t.Fatalf("%v, %v", resp, err)
	}
	mustDo(t, p, s.addr, "b", "other")
	if p.Stats().Reused != 1 || len(reads) > 0 {
		t.Errorf("%d connections reused, OnRead called %d times for another response", p.Stats().Reused, len(reads))
	}
}

// TestTooLargeResponse checks that a response that is too large can be distinguished from a broken
// connection, with and without a length.
func TestTooLargeResponse(t *testing.T) {
	small := testLimits
	small.MaxBodyBytes = 4
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Id") == "length" {
			respond(c, "length", "12345")
			return true
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: end\r\nConnection: close\r\n\r\n12345")
		return false
	})
	for _, id := range []string{"length", "end"} {
		_, err := New(small, time.Now).Do(context.Background(), s.addr, newRequest(id))
		if !errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrBroken) {
			t.Errorf("%s: %v", id, err)
		}
	}
}

// TestHeadWithoutEndIsNotRead guards against responses that fill the memory before their body begins.
func TestHeadWithoutEndIsNotRead(t *testing.T) {
	parts := map[string][2]string{
		"status line":     {"", "x"},
		"header line":     {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"after a gap":     {"\r\n\r\n", "x"},
		"chunk header":    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
		"trailer":         {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nB: ", "x"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	}
	for name, part := range parts {
		t.Run(name, func(t *testing.T) {
			const most = 8 << 20
			var written atomic.Int64
			s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, part[0])
				block := strings.Repeat(part[1], 4096)
				for written.Load() < most {
					n, err := io.WriteString(c, block)
					if written.Add(int64(n)); err != nil {
						return false
					}
				}
				return false
			})
			var read int64
			r := newRequest("a")
			r.OnRead = func(n int) { read += int64(n) }
			_, err := New(testLimits, time.Now).Do(context.Background(), s.addr, r)
			if !errors.Is(err, ErrBroken) || read > testLimits.MaxHeadBytes+readBufferSize {
				t.Errorf("%d bytes read, error %v", read, err)
			}
		})
	}
}

// TestBeforeSendIsCalledAfterConnecting guards against sending a request although the permission
// expired while the connection was opened. Nothing is sent, and the connection is kept.
func TestBeforeSendIsCalledAfterConnecting(t *testing.T) {
	var requests atomic.Int32
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		requests.Add(1)
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	p := New(testLimits, time.Now)
	expired := errors.New("the permission has expired")
	r := newRequest("1")
	r.BeforeSend = func() error { return expired }
	if _, err := p.Do(context.Background(), s.addr, r); !errors.Is(err, expired) || !errors.Is(err, ErrNotSent) {
		t.Errorf("unexpected error: %v", err)
	}
	r.BeforeSend = func() error { return nil }
	if _, err := p.Do(context.Background(), s.addr, r); err != nil {
		t.Error(err)
	}
	if requests.Load() != 1 || s.conns.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 1 on 1", requests.Load(), s.conns.Load())
	}
}

// TestCloseIdleConnections checks that closed idle connections are not reused.
func TestCloseIdleConnections(t *testing.T) {
	s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
		respond(c, r.Header.Get("Id"), "ok")
		return true
	})
	p := New(testLimits, time.Now)
	mustDo(t, p, s.addr, "1", "ok")
	p.CloseIdle()
	mustDo(t, p, s.addr, "2", "ok")
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestLateCopyOfResponseIsNotTakenForNextAttempt guards against a refusal of the first attempt of a request that
// is taken for the answer to the second one, which has run.
func TestLateCopyOfResponseIsNotTakenForNextAttempt(t *testing.T) {
	var first atomic.Int32
	s := serve(t, func(n, _ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		if id == "a" && first.CompareAndSwap(0, int32(n)) {
			respond(c, id, "refused")
			return true
		}
		if id == "a" && first.Load() == int32(n) {
			// The copy arrives where the next response is expected.
			respond(c, id, "refused")
		}
		respond(c, id, "ran")
		return true
	})
	for name, idle := range map[string][]string{"no other connection": nil, "another connection is idle": {"b", "c"}} {
		t.Run(name, func(t *testing.T) {
			first.Store(0)
			p := New(testLimits, time.Now)
			var all sync.WaitGroup
			for _, id := range idle {
				all.Go(func() { mustDo(t, p, s.addr, id, "ran") })
			}
			all.Wait()
			attempts := &Attempts{}
			for _, want := range []string{"refused", "ran"} {
				r := newRequest("a")
				r.Attempts = attempts
				resp, err := p.Do(context.Background(), s.addr, r)
				if err != nil || string(resp.Body) != want {
					t.Fatalf("response %v, error %v, want %s", resp, err, want)
				}
			}
			mustDo(t, p, s.addr, "d", "ran")
		})
	}
}
