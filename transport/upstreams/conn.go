package upstreams

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/transport/framing"
)

// countingConn counts the bytes written to the connection, to tell whether the peer may have seen a
// failed request.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it writes them, because a failed write may have sent a part.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func dialCounting(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sendTracker reports whether any byte of a request was written.
type sendTracker struct {
	conn        atomic.Pointer[countingConn]
	startOffset atomic.Int64
	sentBefore  atomic.Bool
}

// setConn records the connection of an attempt. Bytes written in earlier attempts still count.
func (s *sendTracker) setConn(conn net.Conn) {
	if s.sent() {
		s.sentBefore.Store(true)
	}
	if framed, ok := conn.(*framing.Conn); ok {
		conn = framed.NetConn()
	}
	c, ok := conn.(*countingConn)
	if !ok {
		s.sentBefore.Store(true)
		return
	}
	s.startOffset.Store(c.written.Load())
	s.conn.Store(c)
}

func (s *sendTracker) sent() bool {
	if s.sentBefore.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && c.written.Load() != s.startOffset.Load()
}
