package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// sendEndlessly serves connections with the given start of a response and then the repeated bytes, until the
// other end closes. It sends the number of bytes that were taken.
func sendEndlessly(t *testing.T, start, repeated string) (addr string, taken <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		total, err := io.WriteString(c, start)
		for block := bytes.Repeat([]byte(repeated), 4<<10); err == nil; {
			var n int
			n, err = c.Write(block)
			total += n
		}
		sent <- total
	}()
	return l.Addr().String(), sent
}

// TestResponsesWithoutEndAreNotRead guards against responses that fill the memory of an entry, in their head or their body.
func TestResponsesWithoutEndAreNotRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	upstream := func(addr string) *upstreams.Upstream {
		return upstreams.NewPool(time.Now).GetOrCreate(cell.Upstream{ID: "u", Addr: addr}, upstreams.Options{Connections: 1})
	}
	callers := map[string]func(addr string) error{
		"request": func(addr string) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
			if err != nil {
				return err
			}
			resp, done, _, err := upstream(addr).Send(r)
			if err == nil {
				_ = resp.Body.Close()
			}
			done()
			return err
		},
		"control call": func(addr string) error {
			_, err := upstream(addr).Renew(ctx, control.Renewal{})
			return err
		},
		"platform": func(addr string) error {
			_, err := platform.NewClient(addr, time.Minute).List(ctx, "cell")
			return err
		},
		"other entry": func(addr string) error {
			_, err := peers.NewPool(nil, time.Now).Client(addr).Beat(ctx, &peerpb.BeatRequest{})
			return err
		},
	}
	const headStart, inHead = "HTTP/1.1 200 OK\r\n", 4 << 20
	for name, call := range callers {
		t.Run(name+"/head", func(t *testing.T) {
			addr, taken := sendEndlessly(t, headStart, "A: b\r\n")
			if err := call(addr); err == nil {
				t.Error("a head without an end was accepted")
			}
			if n := <-taken; n > inHead {
				t.Errorf("%d bytes of a head were taken, want at most %d", n, inHead)
			}
		})
	}
	delete(callers, "request")
	// A body of the platform has at most 64 MB; the rest is in the buffers of the kernel, which grow while it is read.
	const inBody = 128 << 20
	for name, call := range callers {
		t.Run(name+"/body", func(t *testing.T) {
			addr, taken := sendEndlessly(t, headStart+"Content-Type: application/protobuf\r\n\r\n", "xxxx")
			if err := call(addr); err == nil {
				t.Error("a body without an end was accepted")
			}
			if n := <-taken; n > inBody {
				t.Errorf("%d bytes of a body were taken, want at most %d", n, inBody)
			}
		})
	}
}

// TestMessagesWithoutEndAreNotRead guards against the same in requests of other entries and of operators.
func TestMessagesWithoutEndAreNotRead(t *testing.T) {
	e := &Entry{}
	for path, handler := range map[string]http.Handler{
		peerpb.PeerPathPrefix + "Beat":                 e.peerHandler(),
		operatorpb.OperatorPathPrefix + "CreateIntent": e.adminHandler(),
	} {
		body := &endlessBody{}
		r := httptest.NewRequest(http.MethodPost, path, body)
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		// One read more than the limit shows that there is more.
		if most := int64(peers.MaxMessageBytes + 64<<10); body.read == 0 || body.read > most || w.Code == http.StatusOK {
			t.Errorf("%s: %d bytes were read, want at most %d, status %d", path, body.read, most, w.Code)
		}
	}
}

// endlessBody is a body without an end, of which it ends the test to read 100 MB.
type endlessBody struct{ read int64 }

func (b *endlessBody) Read(data []byte) (int, error) {
	if b.read += int64(len(data)); b.read > 100<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	return len(data), nil
}
