package gateway

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// port is a port of loopback that is kept until its test cluster closes. Gateways go on calling
// the address of one that was killed, and nobody may be there: a free port the kernel
// would soon give to a listener of another test cluster. The port is had by a socket that does not
// listen, so it refuses connections unless a listener is open.
type port struct {
	socket  int
	address netip.AddrPort
}

// newPort takes a port that the kernel chooses. Others can bind it too until the test cluster
// claims it.
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

// bind takes the port and allows a listener at it.
func (p *port) bind() error {
	if err := p.share(1); err != nil {
		return err
	}
	if err := syscall.Bind(p.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(p.socket)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	own := name.(*syscall.SockaddrInet4)
	p.address = netip.AddrPortFrom(netip.AddrFrom4(own.Addr), uint16(own.Port))
	return nil
}

// share allows others to bind the port, with 1, or forbids it, with 0; who has it keeps it.
func (p *port) share(yes int) error {
	return os.NewSyscallError("setsockopt", syscall.SetsockoptInt(p.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, yes))
}

// close gives the port back; a listener that is still open keeps it.
func (p *port) close() { _ = syscall.Close(p.socket) }

// addr is the port's address.
func (p *port) addr() jsonc.Addr { return jsonc.Addr{AddrPort: p.address} }

// port takes a port until the test cluster closes.
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

// claim keeps ports to the listeners that are open at them.
func (b *testCluster) claim(ports ...*port) {
	b.t.Helper()
	for _, p := range ports {
		if err := p.share(0); err != nil {
			b.t.Fatal(err)
		}
	}
}

// listen opens a listener at a port of the test cluster.
func (b *testCluster) listen() net.Listener {
	b.t.Helper()
	p := b.port()
	l, err := net.Listen("tcp", p.addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.claim(p)
	return l
}

// givePortsBack gives all ports back to the kernel.
func (b *testCluster) givePortsBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.ports {
		p.close()
	}
}

// TestNobodyTakesThePlaceOfTheKilled: the addresses of a gateway that was killed stay
// dead while its test cluster lives, so that what the others go on sending there reaches no
// listener of another test cluster.
func TestNobodyTakesThePlaceOfTheKilled(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	dead := b.leader()
	dead.kill()
	b.eventually("another leader", func() bool { return b.leader() != nil })
	for _, l := range []net.Listener{dead.listeners.Peers, dead.listeners.Callers, dead.listeners.Ready} {
		address := l.Addr().String()
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Errorf("%s takes connections", address)
			_ = conn.Close()
		}
		if other, err := net.Listen("tcp", address); err == nil {
			t.Errorf("%s can be taken", address)
			_ = other.Close()
		}
	}
}
