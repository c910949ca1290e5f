package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/transport/pool"
)

// linkState is the state of the links from one gateway to all upstreams.
type linkState int

const (
	linksUp linkState = iota
	// linksReset: open connections are reset, new ones are refused.
	linksReset
	// linksHang: open and new connections carry nothing.
	linksHang
	// linksRefuseNew: open connections live on, new ones are refused.
	linksRefuseNew
	// linksBreak: open connections are reset, new ones are accepted and reset.
	linksBreak
)

// upstreamLinks are the links from one gateway to all upstreams. They can be cut.
type upstreamLinks struct {
	dialer pool.DialFunc

	mu    sync.Mutex
	state linkState
	open  map[*linkedConn]bool
	// written, if set, holds when bytes were last written, by local address.
	written *sync.Map
}

// cuttableLinks makes the links from a gateway to its upstreams cuttable. It must be called before
// the gateway runs.
func cuttableLinks(g *Gateway) *upstreamLinks {
	l := &upstreamLinks{dialer: g.upstreamDialer, open: make(map[*linkedConn]bool)}
	g.upstreamDialer = l.dial
	return l
}

// set changes the state.
func (l *upstreamLinks) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	if s != linksReset && s != linksBreak {
		return
	}
	for c := range l.open {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
}

func (l *upstreamLinks) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *upstreamLinks) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch l.current() {
	case linksReset, linksRefuseNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksUp, linksBreak:
	}
	nc, err := l.dialer(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &linkedConn{TCPConn: nc.(*net.TCPConn), links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	if l.state == linksBreak {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	return c, nil
}

// linkedConn is a connection that discards all data while its link hangs.
type linkedConn struct {
	*net.TCPConn
	links *upstreamLinks
}

func (c *linkedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.links.current() != linksHang {
			return n, err
		}
	}
}

func (c *linkedConn) Write(b []byte) (int, error) {
	if c.links.current() == linksHang {
		return len(b), nil
	}
	n, err := c.TCPConn.Write(b)
	if c.links.written != nil {
		c.links.written.Store(c.LocalAddr().String(), time.Now())
	}
	return n, err
}

func (c *linkedConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	if c.links.written != nil {
		c.links.written.Delete(c.LocalAddr().String())
	}
	return c.TCPConn.Close()
}
