package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/transport/framing"
)

// dialFunc opens a connection, with the signature of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countReads returns a dial function whose connections add the bytes that are read from them to
// a counter. Errors of dial are returned unchanged.
func countReads(dial dialFunc, read metrics.Counter) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, read: read, written: metrics.NilCounter{}}, nil
	}
}

// writeCountingListener is a listener whose connections add the bytes that are written to them
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

// countingConn is a connection that counts bytes as this process reads and writes them. Bytes
// in the receive buffer of the kernel are not counted yet; bytes in its send buffer are.
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

// CloseWrite closes the writing side of the connection. The HTTP server does so before it
// closes a connection on which more bytes may arrive. It fails with errors.ErrUnsupported if
// the underlying connection cannot do it.
func (c *countingConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// progressKey is the context key of the function that is called when bytes of a response body
// have been read.
type progressKey struct{}

// withProgress returns a context for a request sent through a progressTransport: onRead is called
// whenever bytes of the response body have been read.
func withProgress(ctx context.Context, onRead func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onRead)
}

// progressTransport is a transport that reports the progress of response bodies to the function
// that withProgress has put into the request's context, if any. It bounds their size if messages is set.
type progressTransport struct {
	base     *framing.Transport
	messages *peerMessages
}

// RoundTrip implements http.RoundTripper. Errors of the base transport are returned unchanged.
func (a *progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if a.messages != nil {
		resp.Body = a.messages.receive(resp.Body)
	}
	if onRead, ok := r.Context().Value(progressKey{}).(func()); ok {
		resp.Body = &progressBody{ReadCloser: resp.Body, onRead: onRead}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base transport. http.Client looks for
// this method.
func (a *progressTransport) CloseIdleConnections() { a.base.CloseIdleConnections() }

// progressBody is a response body that reports when bytes of it have been read.
type progressBody struct {
	io.ReadCloser
	onRead func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onRead()
	}
	return n, err
}
