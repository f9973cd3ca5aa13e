package fake

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// queuedDatagrams is how many datagrams a machine's socket keeps that nobody has read.
const queuedDatagrams = 4096

// Machine is one machine of a Network, named by its IP.
type Machine struct {
	network *Network
	name    string
}

// Machine returns a machine.
func (n *Network) Machine(ip string) *Machine {
	return &Machine{network: n, name: ip}
}

// Listen takes connections at an address of the machine.
func (m *Machine) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host != m.name {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: networkAddress(address), Err: syscall.EADDRNOTAVAIL}
	}
	return m.network.Listen(host, port), nil
}

// Dial opens a connection from the machine.
func (m *Machine) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.network.Dialer(m.name)(ctx, network, address)
}

// ListenPacket takes datagrams at an address of the machine; the socket that had it
// before gets none any more.
func (m *Machine) ListenPacket(address string) (net.PacketConn, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	s := &packetSocket{
		network: m.network, machine: m.name, local: local,
		taken: make(chan datagram, queuedDatagrams), closed: make(chan struct{}),
	}
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.network.sockets[local] = s
	return s, nil
}

// datagram is one that has come.
type datagram struct {
	from    netip.AddrPort
	content []byte
}

// packetSocket takes and sends datagrams. What finds the queue full is lost.
type packetSocket struct {
	network *Network
	machine string
	local   netip.AddrPort
	taken   chan datagram
	closed  chan struct{}
	once    sync.Once
}

// ReadFrom waits for a datagram.
func (s *packetSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-s.taken:
		s.network.work(s.machine)
		return copy(buffer, d.content), net.UDPAddrFromAddrPort(d.from), nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram.
func (s *packetSocket) WriteTo(content []byte, to net.Addr) (int, error) {
	address, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, syscall.EINVAL
	}
	s.network.burden(s.machine)
	s.network.post(s, address.AddrPort(), content)
	return len(content), nil
}

// Close ends the socket.
func (s *packetSocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// LocalAddr returns the socket's address.
func (s *packetSocket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.local) }

// SetDeadline does nothing.
func (s *packetSocket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (s *packetSocket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (s *packetSocket) SetWriteDeadline(time.Time) error { return nil }

// post sends a datagram over the links of both machines.
func (n *Network) post(from *packetSocket, to netip.AddrPort, content []byte) {
	n.mu.Lock()
	socket := n.sockets[to]
	until := n.Clock.Now()
	if socket != nil && n.cutLocked(from.machine, socket.machine) {
		socket = nil
	}
	if socket != nil {
		n.received[socket.machine] += int64(len(content))
		n.datagrams++
		until = n.reserve(from.machine, socket.machine, len(content))
	}
	n.mu.Unlock()
	if socket == nil {
		return
	}
	p := &parcel{socket: socket, datagram: datagram{from: from.local, content: append([]byte(nil), content...)}}
	if wait := until.Sub(n.Clock.Now()); wait > leastWait {
		go p.runLater(n.Clock.After(wait))
		return
	}
	p.deliver()
}

// Datagrams returns how many datagrams were sent.
func (n *Network) Datagrams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.datagrams
}

// leastWait is the least time on the way that is played: most datagrams take some
// microseconds, and a timer each would take more than all else.
const leastWait = time.Millisecond

// parcel is a datagram on its way.
type parcel struct {
	socket   *packetSocket
	datagram datagram
}

func (p *parcel) runLater(due <-chan time.Time) {
	<-due
	p.deliver()
}

func (p *parcel) deliver() {
	select {
	case p.socket.taken <- p.datagram:
	default:
	}
}

// Yield waits until the machine's processor has done all that has come so far.
func (m *Machine) Yield() {
	if processor := m.network.processorOf(m.name); processor != nil {
		processor.Yield()
	}
}
