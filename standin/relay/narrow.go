package relay

import (
	"net"
	"sync"
	"time"
)

const (
	// narrowBurst is the number of bytes that a narrow link takes at once after it was
	// idle, as the queue of a network card does.
	linkBurst = 16 << 10
	// narrowPiece is the most bytes of one connection that are sent in one turn: about
	// three packets, so that connections share a link evenly.
	linkChunk = 4 << 10
)

// Wide is the rate of a link that does not limit.
const Unlimited = -1

// Link is the sending side of a machine's link: all connections of its listener share
// one rate. It is safe for concurrent use.
type Link struct {
	net.Listener
	now func() time.Time

	mu sync.Mutex
	// rate is in bytes a second. Nothing passes at zero, and all does when it is negative.
	rate int
	// free is when the bytes that were let through so far have left the link.
	idleAt    time.Time
	bytesSent int64
	// changed is closed when the rate changes.
	rateChanged chan struct{}
}

// Narrow lets the connections that l accepts send bytesPerSecond in all, or as much as
// they like when that is Wide. At zero they fall silent and stay open. What they
// receive is not limited.
func LimitRate(l net.Listener, bytesPerSecond int) *Link {
	return &Link{Listener: l, now: time.Now, rate: bytesPerSecond, rateChanged: make(chan struct{})}
}

// SetRate changes the rate, for open connections too.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.idleAt = bytesPerSecond, time.Time{}
	close(l.rateChanged)
	l.rateChanged = make(chan struct{})
}

// Sent returns the number of bytes that have been sent so far.
func (l *Link) BytesSent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSent
}

// Accept waits for the next connection.
func (l *Link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, link: l, closed: make(chan struct{})}, nil
}

// turn lets a piece of n bytes through: it returns how long the link is still busy
// before that. When nothing passes, ok is false, and changed is closed when that may
// have changed.
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

// narrowConn is one connection over a link.
type limitedConn struct {
	net.Conn
	link   *Link
	once   sync.Once
	closed chan struct{}
}

// Write sends in pieces, each in its turn.
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

// await waits for the turn of n bytes. It returns false when the connection was closed
// meanwhile.
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
			// With another rate the turn is another one.
		case <-c.closed:
			return false
		}
	}
}

// Close ends the connection, also while it waits for its turn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
