package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/standin/rawhttp"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// echoServer starts a server that sends each line back and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = fmt.Fprintln(c, lines.Text())
				}
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

type client struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, r *Relay) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// silencePeriod is how long a test waits to verify that nothing arrives.
const silencePeriod = 50 * time.Millisecond

func (c *client) roundTrip(wait time.Duration) error {
	if _, err := fmt.Fprintln(c, "hello"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := c.lines.ReadString('\n')
	return err
}

// TestFaults checks the effect of each fault on open and on new connections.
func TestFaults(t *testing.T) {
	r, err := New(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	established := dial(t, r)
	if err := established.roundTrip(time.Minute); err != nil {
		t.Fatalf("without a fault: %v", err)
	}
	for _, fault := range []Fault{DropToTarget, DropFromTarget, DropBoth} {
		r.SetFault(fault)
		if err := dial(t, r).roundTrip(silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("fault %d: got error %v, want a timeout", fault, err)
		}
	}
	r.SetFault(None)
	r.SilenceAll()
	if err := established.roundTrip(silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silenced connection: got error %v, want a timeout", err)
	}
	newer := dial(t, r)
	if err := newer.roundTrip(time.Minute); err != nil {
		t.Errorf("new connection after SilenceAll: %v", err)
	}
	r.ResetAll()
	if err := newer.roundTrip(time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reset connection: got error %v, want a reset", err)
	}
	r.SetFault(Refuse)
	if c, err := net.Dial("tcp", r.Addr()); err == nil {
		if err := (&client{c, bufio.NewReader(c)}).roundTrip(time.Minute); err == nil {
			t.Error("a new connection works although the relay refuses connections")
		}
	}
}

// TestResetWhileClientWritesIsNoEnd guards against a relay that turns the reset of a target into a clean end, because the
// direction from the client is told of it.
func TestResetWhileClientWritesIsNoEnd(t *testing.T) {
	const plays, upload = 20, 8 << 20
	for _, form := range rawhttp.Broken("", "body") {
		if !form.ReachesWriter() {
			continue
		}
		s, err := rawhttp.Serve(form)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r, err := New(s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		for range plays {
			c := framing.NewConn(dial(t, r).Conn)
			go func() {
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", upload, make([]byte, upload))
			}()
			if data, err := io.ReadAll(c); err == nil {
				t.Errorf("%s: the connection ended cleanly after %d bytes", form.Name, len(data))
			}
		}
	}
}
