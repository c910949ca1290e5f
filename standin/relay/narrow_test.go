package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// sendToEach accepts connections and sends size bytes over each.
func sendToEach(l net.Listener, size int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_, _ = c.Write(make([]byte, size))
		}()
	}
}

// TestLimitRate checks that nothing is sent at rate zero, and that all bytes of all
// connections arrive once a rate is set.
func TestLimitRate(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const size, rate, connections = 100 << 10, 1 << 20, 2
	link := LimitRate(inner, 0)
	defer func() { _ = link.Close() }()
	go sendToEach(link, size)
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	if err := conns[0].SetReadDeadline(time.Now().Add(silencePeriod)); err != nil {
		t.Fatal(err)
	}
	if n, err := conns[0].Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("read %d bytes over a link with rate zero, error %v", n, err)
	}
	if err := conns[0].SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	link.SetRate(rate)
	for _, c := range conns {
		if data, err := io.ReadAll(c); err != nil || len(data) != size {
			t.Errorf("read %d of %d bytes, error %v", len(data), size, err)
		}
	}
	if n := link.BytesSent(); n != connections*size {
		t.Errorf("BytesSent() = %d", n)
	}
}

// TestLinkRateIsShared checks that the data of all connections leaves the link at its rate,
// except for a burst after the link was idle.
func TestLinkRateIsShared(t *testing.T) {
	t.Parallel()
	const rate = 1 << 10
	now := time.Now()
	link := LimitRate(nil, rate)
	link.now = func() time.Time { return now }
	if wait, _, ok := link.reserve(linkBurst); !ok || wait > 0 {
		t.Errorf("a burst on an idle link waits %s", wait)
	}
	for n := range 3 {
		if wait, _, _ := link.reserve(rate); wait != time.Duration(n+1)*time.Second {
			t.Errorf("chunk %d waits %s", n, wait)
		}
	}
	now = now.Add(5 * time.Second)
	if wait, _, _ := link.reserve(rate); wait > 0 {
		t.Errorf("a chunk waits %s for an idle link", wait)
	}
	link.SetRate(2 * rate)
	if wait, _, _ := link.reserve(linkBurst + 2*rate); wait != time.Second {
		t.Errorf("at twice the rate, data waits %s", wait)
	}
	if wait, _, ok := LimitRate(nil, Unlimited).reserve(1 << 30); !ok || wait > 0 {
		t.Errorf("data waits %s for an unlimited link", wait)
	}
}
