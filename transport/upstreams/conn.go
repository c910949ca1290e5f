package upstreams

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes that were handed to the connection, so that a
// failed request can be told from one that the peer may have seen.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a failed write may have sent a part.
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

// sendTracker reports whether any byte of one request was written.
type sendTracker struct {
	conn        atomic.Pointer[countingConn]
	startOffset atomic.Int64
	sentBefore  atomic.Bool
}

// setConn notes the connection of a try. Earlier tries stay noted.
func (s *sendTracker) setConn(conn net.Conn) {
	if s.sent() {
		s.sentBefore.Store(true)
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
