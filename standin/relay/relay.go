// Package relay implements a loopback TCP relay that injects network faults: delays,
// resets, loss of data in one or both directions, and connections that stop carrying data
// while new ones work. It can also limit the send rate of a listener.
package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/transport/framing"
)

// Fault tells how a relay handles connections and their data.
type Fault int

// The faults.
const (
	// None forwards all data.
	None Fault = iota
	// Slow forwards data after SlowDelay.
	Slow
	// DropToTarget discards data from the client to the target, DropFromTarget data
	// from the target to the client, and DropBoth both.
	DropToTarget
	DropFromTarget
	DropBoth
	// Refuse resets new connections and forwards data on open ones.
	Refuse
)

// SlowDelay is the delay that the fault Slow adds to each forwarded buffer.
const SlowDelay = 150 * time.Millisecond

const (
	// bufferSize is the maximum number of bytes forwarded at once.
	bufferSize = 16 << 10
	// kernelBuffer bounds in bytes what the kernel keeps of the data from the client to the target, so that a client
	// that sends more to a target which reads nothing must wait.
	kernelBuffer = 64 << 10
)

// Relay forwards connections to a target address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener

	mu         sync.Mutex
	targetAddr string
	fault      Fault
	// cutOff are the IP addresses of the clients that are cut off.
	cutOff      map[string]bool
	connections map[*connection]bool
}

// connection is one connection through the relay.
type connection struct {
	client, target *framing.Conn
	// silenced is closed when the connection must not carry data any longer.
	silenced chan struct{}
}

// New starts a relay on a free port of 127.0.0.1.
func New(targetAddr string) (*Relay, error) { return NewAt("127.0.0.1", targetAddr) }

// NewAt starts a relay on a free port of a loopback address.
func NewAt(ip, targetAddr string) (*Relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, targetAddr: targetAddr, cutOff: make(map[string]bool), connections: make(map[*connection]bool)}
	go r.accept()
	return r, nil
}

// Addr returns the address on which the relay accepts connections.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// SetFault changes the fault, also for open connections.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// CutOff resets the open connections of a client, given by its IP address, and all that it opens from
// now on, until Reconnect.
func (r *Relay) CutOff(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff[ip] = true
	for c := range r.connections {
		if clientIP(c.client) == ip {
			c.reset()
		}
	}
}

// Reconnect ends CutOff.
func (r *Relay) Reconnect(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cutOff, ip)
}

func (r *Relay) isCutOff(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff[clientIP(c)]
}

func clientIP(c net.Conn) string {
	// An address without a port is no IP address, so it matches none.
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

// ResetAll resets all open connections.
func (r *Relay) ResetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.reset()
	}
}

// Retarget resets all open connections and forwards new ones to another address.
func (r *Relay) Retarget(addr string) {
	r.mu.Lock()
	r.targetAddr = addr
	r.mu.Unlock()
	r.ResetAll()
}

func (r *Relay) currentTarget() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetAddr
}

// SilenceAll makes all open connections discard data from now on, without resetting
// them. New connections work.
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

// Close stops the relay and resets its connections.
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

// forward connects a client to the target and forwards data until one side ends the
// connection.
func (r *Relay) forward(client net.Conn) {
	if r.currentFault() == Refuse || r.isCutOff(client) {
		abort(client)
		return
	}
	target, err := net.Dial("tcp", r.currentTarget())
	if err != nil {
		abort(client)
		return
	}
	limitBuffers(client, target)
	c := &connection{client: framing.NewConn(client), target: framing.NewConn(target), silenced: make(chan struct{})}
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

// limitBuffers limits the buffers of the kernel. If that fails, they are larger.
func limitBuffers(client, target net.Conn) {
	if tcp, ok := client.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(kernelBuffer)
	}
	if tcp, ok := target.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(kernelBuffer)
	}
}

// copyDirection forwards data in one direction, which the fault drop discards.
func (r *Relay) copyDirection(c *connection, to, from *framing.Conn, drop Fault) {
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

// write forwards or discards data according to the fault. It returns false if the
// connection has failed.
func (r *Relay) write(c *connection, to *framing.Conn, data []byte, drop Fault) bool {
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
	if err := writeAll(to, data); err != nil {
		c.reset()
		return false
	}
	return true
}

// writeAll writes all data. A write is interrupted when the other end closes its side, and then goes on.
func writeAll(to *framing.Conn, data []byte) error {
	for {
		n, err := to.Write(data)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		data = data[n:]
		if err := to.SetWriteDeadline(time.Time{}); err != nil {
			return err
		}
	}
}

func closeWrite(c *framing.Conn) {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// An error means that the other side is already gone, which also ends the connection.
		_ = tcp.CloseWrite()
	}
}

func (c *connection) reset() {
	abort(c.client.NetConn())
	abort(c.target.NetConn())
}

// abort closes a connection so that the peer sees a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If this fails, the connection is closed without a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
