package upstreams

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes that were handed to the connection, so that a
// failed request can be told from one that the peer may have seen.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a failed write may have sent a part.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func dialCounted(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// sentCounter reports whether any byte of one request was written.
type sentCounter struct {
	conn atomic.Pointer[countedConn]
	from atomic.Int64
	any  atomic.Bool
}

// gotConn notes the connection of a try. Earlier tries stay noted.
func (s *sentCounter) gotConn(conn net.Conn) {
	if s.sent() {
		s.any.Store(true)
	}
	c, ok := conn.(*countedConn)
	if !ok {
		s.any.Store(true)
		return
	}
	s.from.Store(c.written.Load())
	s.conn.Store(c)
}

func (s *sentCounter) sent() bool {
	if s.any.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && c.written.Load() != s.from.Load()
}
