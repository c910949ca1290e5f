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
	CutThere
	CutBack
	CutBoth
	// Refuse: new connections are reset, those that are open pass.
	Refuse
)

// Lag is the delay of the fault Slow, for each piece of bytes.
const Lag = 150 * time.Millisecond

// piece is the most bytes that are passed on at a time.
const piece = 16 << 10

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	links map[*link]bool
}

// link is one connection through the relay.
type link struct {
	near, far net.Conn
	// silent is closed when the connection shall carry nothing any more.
	silent chan struct{}
}

// New opens a relay on a port of the kernel's choice.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, links: make(map[*link]bool)}
	go r.accept()
	return r, nil
}

// Addr is the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Set changes the fault, for open connections too.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// ResetAll resets all open connections.
func (r *Relay) ResetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.reset()
	}
}

// SilenceAll lets all open connections carry nothing any more, without a reset. New
// ones work.
func (r *Relay) SilenceAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		select {
		case <-k.silent:
		default:
			close(k.silent)
		}
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetAll()
}

func (r *Relay) get() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

// carry passes one connection on until one side ends it.
func (r *Relay) carry(near net.Conn) {
	if r.get() == Refuse {
		abort(near)
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		abort(near)
		return
	}
	k := &link{near: near, far: far, silent: make(chan struct{})}
	r.mu.Lock()
	r.links[k] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pass(k, k.far, k.near, CutThere) })
	both.Go(func() { r.pass(k, k.near, k.far, CutBack) })
	both.Wait()
	r.mu.Lock()
	delete(r.links, k)
	r.mu.Unlock()
	k.reset()
}

// pass carries bytes in one direction, which the fault cut loses.
func (r *Relay) pass(k *link, to, from net.Conn, cut Fault) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.send(k, to, buffer[:n], cut) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		case err != nil:
			k.reset()
			return
		}
	}
}

// send passes some bytes on, or loses them, and reports whether more may follow.
func (r *Relay) send(k *link, to net.Conn, data []byte, cut Fault) bool {
	fault := r.get()
	select {
	case <-k.silent:
		return true
	default:
	}
	if fault == cut || fault == CutBoth {
		return true
	}
	if fault == Slow {
		time.Sleep(Lag)
	}
	if _, err := to.Write(data); err != nil {
		k.reset()
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

func (k *link) reset() {
	abort(k.near)
	abort(k.far)
}

// abort closes a connection such that the other side sees a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without the option the close is a plain one.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
