// Package relay is a loopback TCP relay with the faults of a network: delay, resets,
// cuts in one direction or both, and connections that fall silent while new ones work.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is how a relay treats bytes.
type Fault int

// The faults.
const (
	// None: bytes pass.
	None Fault = iota
	// Slow: bytes pass Lag later.
	Slow
	// CutThere: what the dialling side sends is lost; CutBack: what it would
	// receive; CutBoth: all.
	DropToTarget
	DropFromTarget
	DropBoth
	// Refuse: new connections are reset, those that are open pass.
	Refuse
)

// Lag is the delay of the fault Slow, for each piece of bytes.
const SlowDelay = 150 * time.Millisecond

// piece is the most bytes that are passed on at a time.
const bufferSize = 16 << 10

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener   net.Listener
	targetAddr string

	mu          sync.Mutex
	fault       Fault
	connections map[*connection]bool
}

// link is one connection through the relay.
type connection struct {
	client, target net.Conn
	// silent is closed when the connection shall carry nothing any more.
	silenced chan struct{}
}

// New opens a relay on a port of the kernel's choice.
func New(targetAddr string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, targetAddr: targetAddr, connections: make(map[*connection]bool)}
	go r.accept()
	return r, nil
}

// Addr is the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Open returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Set changes the fault, for open connections too.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// ResetAll resets all open connections.
func (r *Relay) ResetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.reset()
	}
}

// SilenceAll lets all open connections carry nothing any more, without a reset. New
// ones work.
func (r *Relay) SilenceAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		select {
		case <-c.silenced:
		default:
			close(c.silenced)
		}
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetAll()
}

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// carry passes one connection on until one side ends it.
func (r *Relay) forward(client net.Conn) {
	if r.currentFault() == Refuse {
		abort(client)
		return
	}
	target, err := net.Dial("tcp", r.targetAddr)
	if err != nil {
		abort(client)
		return
	}
	c := &connection{client: client, target: target, silenced: make(chan struct{})}
	r.mu.Lock()
	r.connections[c] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(c, c.target, c.client, DropToTarget) })
	directions.Go(func() { r.copyDirection(c, c.client, c.target, DropFromTarget) })
	directions.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
	c.reset()
}

// pass carries bytes in one direction, which the fault cut loses.
func (r *Relay) copyDirection(c *connection, to, from net.Conn, drop Fault) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.write(c, to, buffer[:n], drop) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// send passes some bytes on, or loses them, and reports whether more may follow.
func (r *Relay) write(c *connection, to net.Conn, data []byte, drop Fault) bool {
	fault := r.currentFault()
	select {
	case <-c.silenced:
		return true
	default:
	}
	if fault == drop || fault == DropBoth {
		return true
	}
	if fault == Slow {
		time.Sleep(SlowDelay)
	}
	if _, err := to.Write(data); err != nil {
		c.reset()
		return false
	}
	return true
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The other side may be gone already, which ends the connection too.
		_ = tcp.CloseWrite()
	}
}

func (c *connection) reset() {
	abort(c.client)
	abort(c.target)
}

// abort closes a connection such that the other side sees a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without the option the close is a plain one.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
