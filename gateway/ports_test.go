package gateway

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// port is a loopback port that stays reserved until its test cluster closes. Gateways keep calling the
// address of a gateway that was killed, and nothing may listen there, but the kernel would soon
// give a free port to a listener of another test cluster. The port is held by a socket that does not
// listen, so connections are refused unless a listener is open.
type port struct {
	socket  int
	address netip.AddrPort
}

// newPort reserves a port that the kernel chooses. Others can still bind it until claimPorts is
// called.
func newPort() (*port, error) {
	syscall.ForkLock.RLock()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(socket)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &port{socket: socket}
	if err := p.bind(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// bind binds the socket to a port and lets a listener bind the same port.
func (p *port) bind() error {
	if err := p.setReuseAddr(1); err != nil {
		return err
	}
	if err := syscall.Bind(p.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(p.socket)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	sockaddr := name.(*syscall.SockaddrInet4)
	p.address = netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port))
	return nil
}

// setReuseAddr lets others bind the port (1) or prevents it (0). Sockets that are already bound
// to it stay so.
func (p *port) setReuseAddr(value int) error {
	return os.NewSyscallError("setsockopt", syscall.SetsockoptInt(p.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, value))
}

// close releases the port; a listener that is still open keeps it.
func (p *port) close() { _ = syscall.Close(p.socket) }

// addr returns the port's address.
func (p *port) addr() jsonc.Addr { return jsonc.Addr{AddrPort: p.address} }

// port reserves a port until the test cluster closes.
func (b *testCluster) port() *port {
	b.t.Helper()
	p, err := newPort()
	if err != nil {
		b.t.Fatal(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ports = append(b.ports, p)
	return p
}

// claimPorts reserves ports for the listeners that are open on them: nothing else can bind them
// afterwards.
func (b *testCluster) claimPorts(ports ...*port) {
	b.t.Helper()
	for _, p := range ports {
		if err := p.setReuseAddr(0); err != nil {
			b.t.Fatal(err)
		}
	}
}

// reopenPorts lets a gateway that starts again listen on the ports of the former process.
func (b *testCluster) reopenPorts(ports ...*port) {
	b.t.Helper()
	for _, p := range ports {
		if err := p.setReuseAddr(1); err != nil {
			b.t.Fatal(err)
		}
	}
}

// listen opens a listener on a port of the test cluster.
func (b *testCluster) listen() net.Listener {
	b.t.Helper()
	p := b.port()
	l, err := net.Listen("tcp", p.addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.claimPorts(p)
	return l
}

// listenAgain opens a listener on a port of the test cluster whose former listener is closed.
func (b *testCluster) listenAgain(address string) net.Listener {
	b.t.Helper()
	b.mu.Lock()
	i := slices.IndexFunc(b.ports, func(p *port) bool { return p.address.String() == address })
	p := b.ports[i]
	b.mu.Unlock()
	b.reopenPorts(p)
	defer b.claimPorts(p)
	l, err := net.Listen("tcp", address)
	if err != nil {
		b.t.Fatal(err)
	}
	return l
}

// releasePorts returns all ports to the kernel.
func (b *testCluster) releasePorts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.ports {
		p.close()
	}
}

// TestAddressOfKilledGatewayStaysUnused checks that nothing can listen on the addresses of a
// killed gateway while its test cluster lives. Otherwise requests that other gateways still send there
// would reach a listener of another test cluster.
func TestAddressOfKilledGatewayStaysUnused(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	killed := b.leader()
	killed.kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	for _, l := range []net.Listener{killed.listeners.Peers, killed.listeners.Callers, killed.listeners.Ready} {
		address := l.Addr().String()
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Errorf("%s accepts connections", address)
			_ = conn.Close()
		}
		if other, err := net.Listen("tcp", address); err == nil {
			t.Errorf("%s can be bound", address)
			_ = other.Close()
		}
	}
}
