package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// patientLimits are testLimits for many connections beside other tests, which may take long to open.
var patientLimits = func() Limits {
	limits := testLimits
	limits.DialTimeout = time.Minute
	return limits
}()

// endlessForms are the ways in which an upstream sends bytes without an end: what comes once, and what is
// repeated until the other end closes the connection.
var endlessForms = map[string]struct{ start, repeated string }{
	"status line":             {"", "x"},
	"header line":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header lines":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"empty lines":             {"", "\r\n"},
	"zero bytes":              {"", "\x00"},
	"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"chunked body":            {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"chunks of one byte":      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"one large chunk":         {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
	"chunk size":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":         {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer line":            {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nB: ", "x"},
	"trailer lines":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "B: c\r\n"},
	"body until the end":      {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
	"body with a length":      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	"body of another request": {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
	"responses to others":     {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000)},
}

// sendEndlessly writes a form until the connection is closed.
func sendEndlessly(c net.Conn, start, repeated string) {
	block := strings.Repeat(repeated, max(1, 16<<10/len(repeated)))
	for _, err := io.WriteString(c, start); err == nil; {
		_, err = io.WriteString(c, block)
	}
}

// TestBytesWithoutEndEndTheConnection guards against heads and bodies that are read for as long as the upstream sends.
func TestBytesWithoutEndEndTheConnection(t *testing.T) {
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
				sendEndlessly(c, form.start, form.repeated)
				close(closed)
				return false
			})
			var read int64
			r := newRequest("a")
			r.OnRead = func(n int) { read += int64(n) }
			_, err := New(patientLimits, time.Now).Do(context.Background(), s.addr, r)
			// The framing of chunks of one byte takes five bytes more for each.
			if most := testLimits.MaxHeadBytes + 6*testLimits.MaxBodyBytes + readBufferSize; err == nil || read > most {
				t.Errorf("%d bytes read, at most %d are allowed, error %v", read, most, err)
			}
			<-closed
		})
	}
}

// TestAnnouncedLengthIsGivenNoMemory guards against memory for long bodies that are announced and do not come.
func TestAnnouncedLengthIsGivenNoMemory(t *testing.T) {
	const requests, sent, mostEach = 20, 1000, 128 << 10
	var arrived sync.WaitGroup
	arrived.Add(requests)
	s := serve(t, func(_, _ int, _ *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", testLimits.MaxBodyBytes, strings.Repeat("x", sent))
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	p := New(patientLimits, time.Now)
	m := NewMemory(1 << 40)
	p.ShareMemory(m)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			r := newRequest("a")
			left := len("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1048576\r\n\r\n") + sent
			r.OnRead = func(n int) {
				if left -= n; left == 0 {
					arrived.Done()
				}
			}
			if _, err := p.Do(ctx, s.addr, r); !errors.Is(err, context.Canceled) {
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
	arrived.Wait()
	if used := m.Stats().Used; used > requests*mostEach {
		t.Errorf("%d bytes of memory for %d responses of which %d bytes have arrived", used, requests, sent)
	}
	cancel()
	all.Wait()
	if s := m.Stats(); s.Used != 0 || s.Ended != 0 {
		t.Errorf("after the end: %+v", s)
	}
}

// TestSumOfResponsesIsBounded guards against responses that fill the memory together, each within the limits of one.
func TestSumOfResponsesIsBounded(t *testing.T) {
	const limit, requests, ordinary = 3 << 20, 30, 200
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(_, _ int, r *http.Request, c net.Conn) bool {
				if r.Header.Get("Id") != "a" {
					respond(c, r.Header.Get("Id"), "ok")
					return true
				}
				sendEndlessly(c, form.start, form.repeated)
				return false
			})
			p := New(patientLimits, time.Now)
			m := NewMemory(limit)
			p.ShareMemory(m)
			var all sync.WaitGroup
			for range requests {
				all.Go(func() {
					r := newRequest("a")
					r.OnRead = func(int) {
						if used := m.Stats().Used; used > limit {
							t.Errorf("%d bytes of memory, the limit is %d", used, limit)
						}
					}
					if resp, _ := p.Do(context.Background(), s.addr, r); resp != nil {
						t.Errorf("response of %d bytes", len(resp.Body))
					}
				})
			}
			for i := range ordinary {
				mustDo(t, p, s.addr, fmt.Sprint("r", i), "ok")
			}
			all.Wait()
			if used := m.Stats().Used; used != 0 {
				t.Errorf("%d bytes are counted after the end", used)
			}
		})
	}
}
