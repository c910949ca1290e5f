// Package framing tells whether an HTTP response has arrived whole where net/http does not: it keeps a reset apart
// from the end of a connection, and refuses heads that do not tell how the response is to be read.
package framing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is the client's end of a connection. Its Read returns io.EOF only if the other end has closed its side.
//
// The kernel reports a reset to one call only. If that is a Write, the next read of the socket returns 0 as at the end
// of the stream, and a body without a length would look complete.
type Conn struct {
	net.Conn
	// writing is held during each Write.
	writing sync.Mutex
	// reset is the error with which a Write learned that the connection was reset before the other end had closed
	// its side. It is guarded by writing.
	reset error
}

// NewConn returns a Conn that uses c. All reads and writes must go through it.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. Once Read has returned io.EOF, it may fail with os.ErrDeadlineExceeded.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if isReset(err) {
		c.reset = err
	}
	return n, err
}

// Read implements net.Conn. It returns the error of a Write in place of io.EOF if that was told of a reset.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if reset := c.resetBeforeEnd(); reset != nil {
		return n, fmt.Errorf("reset before the end: %w", reset)
	}
	return n, err
}

// resetBeforeEnd returns the error of a Write that was told of a reset, or nil. A Write that is in progress is
// interrupted: it may be about to return that error, or wait for an end that reads no more.
func (c *Conn) resetBeforeEnd() error {
	if !c.writing.TryLock() {
		// Without the deadline this waits until the write has ended, which is as correct.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.reset
}

// isReset reports whether a write failed because the connection had ended before the other end closed its side. EPIPE
// is the error if that had closed its side before, and if a read was told of the reset.
func isReset(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Reset closes a connection with a TCP reset, which discards unsent and unread bytes. Over TLS it sends no notice of a
// clean end.
func Reset(c net.Conn) {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// If the option cannot be set, the connection is closed normally.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and returns them as a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
