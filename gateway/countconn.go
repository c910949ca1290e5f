package gateway

import (
	"context"
	"errors"
	"net"

	"github.com/rcrowley/go-metrics"
)

// dialFunc opens a connection, as http.Transport wants it.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countReads returns a dial function whose connections add the bytes that are read
// from them to a counter. Its errors are those of dial.
func countReads(dial dialFunc, read metrics.Counter) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, read: read, written: metrics.NilCounter{}}, nil
	}
}

// writesCounted is a listener whose connections add the bytes that are written to them
// to a counter.
type writeCountingListener struct {
	net.Listener
	written metrics.Counter
}

// Accept implements net.Listener.
func (l writeCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, read: metrics.NilCounter{}, written: l.written}, nil
}

// countedConn is a connection that counts its bytes as this process reads and writes
// them; what waits in the buffers of the kernel is not yet read, or already written.
type countingConn struct {
	net.Conn
	read, written metrics.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Inc(int64(n))
	return n, err
}

// CloseWrite ends the own side only, which the HTTP server does before it closes a
// connection on which bytes may still come. It fails with errors.ErrUnsupported where
// the connection underneath has no such end.
func (c *countingConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}
