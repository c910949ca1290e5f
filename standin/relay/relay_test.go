package relay

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// echo answers each line with itself.
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

// silence is how long a test waits to see that nothing comes.
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
	for _, cut := range []Fault{DropToTarget, DropFromTarget, DropBoth} {
		r.SetFault(cut)
		if err := dial(t, r).roundTrip(silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("cut %d: %v", cut, err)
		}
	}
	r.SetFault(None)
	r.SilenceAll()
	if err := established.roundTrip(silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a silent connection: %v", err)
	}
	newer := dial(t, r)
	if err := newer.roundTrip(time.Minute); err != nil {
		t.Errorf("a new connection beside silent ones: %v", err)
	}
	r.ResetAll()
	if err := newer.roundTrip(time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a reset connection: %v", err)
	}
	r.SetFault(Refuse)
	if c, err := net.Dial("tcp", r.Addr()); err == nil {
		if err := (&client{c, bufio.NewReader(c)}).roundTrip(time.Minute); err == nil {
			t.Error("a new connection works although all are refused")
		}
	}
}
