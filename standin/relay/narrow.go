package relay

import (
	"net"
	"sync"
	"time"
)

const (
	// linkBurst is the number of bytes that a rate-limited link accepts at once after it
	// was idle, as the queue of a network card does.
	linkBurst = 16 << 10
	// linkChunk is the maximum number of bytes that one connection sends before others get
	// a turn: about three packets, so that connections share a link evenly.
	linkChunk = 4 << 10
)

// Unlimited is the rate of a link that is not limited.
const Unlimited = -1

// Link simulates the sending direction of a machine's network link: all connections of
// its listener share one rate. It is safe for concurrent use.
type Link struct {
	net.Listener
	now func() time.Time

	mu sync.Mutex
	// rate is in bytes per second. At zero nothing is sent, and a negative rate is unlimited.
	rate int
	// idleAt is the time at which the link has sent all bytes accepted so far.
	idleAt    time.Time
	bytesSent int64
	// rateChanged is closed and replaced when the rate changes.
	rateChanged chan struct{}
}

// LimitRate limits the connections that l accepts to sending bytesPerSecond together, or
// does not limit them if that is Unlimited. At zero they send nothing and stay open. The
// receiving direction is not limited.
func LimitRate(l net.Listener, bytesPerSecond int) *Link {
	return &Link{Listener: l, now: time.Now, rate: bytesPerSecond, rateChanged: make(chan struct{})}
}

// SetRate changes the rate, also for open connections.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.idleAt = bytesPerSecond, time.Time{}
	close(l.rateChanged)
	l.rateChanged = make(chan struct{})
}

// BytesSent returns the number of bytes sent so far by all connections.
func (l *Link) BytesSent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSent
}

// Accept implements net.Listener. Connections that it returns share the rate of the link.
func (l *Link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, link: l, closed: make(chan struct{})}, nil
}

// reserve reserves the link for n bytes and returns how long to wait before sending them.
// If the rate is zero, ok is false and nothing is reserved. rateChanged is closed when the
// rate changes, which invalidates the reservation.
func (l *Link) reserve(n int) (wait time.Duration, rateChanged <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.rate < 0:
		return 0, l.rateChanged, true
	case l.rate == 0:
		return 0, l.rateChanged, false
	}
	timePerByte := float64(time.Second) / float64(l.rate)
	now := l.now()
	if idle := now.Add(-time.Duration(linkBurst * timePerByte)); l.idleAt.Before(idle) {
		l.idleAt = idle
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) * timePerByte))
	return l.idleAt.Sub(now), l.rateChanged, true
}

func (l *Link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesSent += int64(n)
}

// limitedConn is one connection over a link.
type limitedConn struct {
	net.Conn
	link   *Link
	once   sync.Once
	closed chan struct{}
}

// Write sends the data in chunks and waits for the link before each of them.
func (c *limitedConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+linkChunk, len(data))]
		if !c.waitTurn(len(chunk)) {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(chunk)
		written += n
		c.link.count(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// waitTurn waits until the link can take n bytes. It returns false if the connection is
// closed in the meantime.
func (c *limitedConn) waitTurn(n int) bool {
	for {
		wait, rateChanged, ok := c.link.reserve(n)
		if ok && wait <= 0 {
			return true
		}
		var elapsed <-chan time.Time
		if ok {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			elapsed = timer.C
		}
		select {
		case <-elapsed:
			return true
		case <-rateChanged:
			// Reserve again at the new rate.
		case <-c.closed:
			return false
		}
	}
}

// Close closes the connection, also while a write waits for the link.
func (c *limitedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
