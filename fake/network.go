package fake

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// packet is how many bytes go over a link at once.
const packet = 4 << 10

// handshake is how many bytes it takes to open a connection.
const handshake = 120

// backlog is how many connections wait to be accepted at most.
const backlog = 128

// dialTime is how long a connection to a machine behind a cut is tried.
const dialTime = 3 * time.Second

// Network joins machines in memory. What a machine sends and receives shares its link,
// whatever connection it is on. It is safe for concurrent use.
type Network struct {
	Clock shelfshelf.Clock

	mu        sync.Mutex
	listeners map[string]*networkListener
	links     map[string]*link
	received  map[string]int64
	sockets   map[netip.AddrPort]*packetSocket
	datagrams int
	conns     map[*networkConn]bool
	isolated  map[string]bool
	side      func(machine string) int
	faulty    *linkFault
	// processors are those of machines whose work takes time.
	processors map[string]*Processor
}

// NewNetwork returns a network without machines.
func NewNetwork(clock shelfshelf.Clock) *Network {
	return &Network{
		Clock: clock, listeners: make(map[string]*networkListener),
		links: make(map[string]*link), received: make(map[string]int64), conns: make(map[*networkConn]bool),
		sockets: make(map[netip.AddrPort]*packetSocket), isolated: make(map[string]bool),
		processors: make(map[string]*Processor),
	}
}

// SetRate bounds a machine's link, in bytes a second; a machine that was never bounded
// sends and receives without delay.
func (n *Network) SetRate(machine string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[machine] = &link{clock: n.Clock, rate: rate}
}

// Received returns how many bytes have reached a machine.
func (n *Network) Received(machine string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[machine]
}

// BreakAll breaks all connections of a machine.
func (n *Network) BreakAll(machine string) {
	n.mu.Lock()
	var broken []*networkConn
	for conn := range n.conns {
		if conn.from == machine || conn.to == machine {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// Listen takes connections to a machine's port.
func (n *Network) Listen(machine, port string) net.Listener {
	l := &networkListener{
		address: networkAddress(net.JoinHostPort(machine, port)),
		taken:   make(chan net.Conn, backlog), closed: make(chan struct{}),
		network: n, machine: machine,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[l.address.String()] = l
	return l
}

// Dialer returns the dial function of a machine.
func (n *Network) Dialer(machine string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		refused := &net.OpError{Op: "dial", Net: "tcp", Addr: networkAddress(address), Err: syscall.ECONNREFUSED}
		if l == nil || l.isClosed() {
			return nil, refused
		}
		other, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if fault := n.faultBetween(machine, other); fault != nil && fault.Refuse {
			return nil, refused
		}
		if n.cut(machine, other) {
			return nil, n.hang(ctx, address)
		}
		n.work(machine)
		n.carry(machine, other, handshake)
		here, there := net.Pipe()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-l.closed:
			return nil, refused
		case l.taken <- n.join(there, other, machine):
			conn := n.join(here, machine, other)
			l.dropIfClosed()
			return conn, nil
		}
	}
}

// hang waits as a dialer does that nobody answers; http.Transport dials without an end.
func (n *Network) hang(ctx context.Context, address string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.Clock.After(dialTime):
		return &net.OpError{Op: "dial", Net: "tcp", Addr: networkAddress(address), Err: syscall.ETIMEDOUT}
	}
}

// cut reports that nothing goes from one machine to another.
func (n *Network) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLocked(from, to)
}

func (n *Network) cutLocked(from, to string) bool {
	if n.faulty != nil && n.faulty.between(from, to) {
		return true
	}
	if n.isolated[from] || n.isolated[to] {
		return true
	}
	if n.side == nil {
		return false
	}
	a, b := n.side(from), n.side(to)
	return a != 0 && b != 0 && a != b
}

func (n *Network) join(conn net.Conn, from, to string) *networkConn {
	joined := &networkConn{Conn: conn, network: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[joined] = true
	return joined
}

// carry waits until so many bytes have gone over the links of both machines.
func (n *Network) carry(from, to string, size int) {
	n.mu.Lock()
	n.received[to] += int64(size)
	until := n.reserve(from, to, size)
	n.mu.Unlock()
	if wait := until.Sub(n.Clock.Now()); wait > 0 {
		<-n.Clock.After(wait)
	}
}

// reserve returns when so many bytes have gone over the links of both machines; the lock
// is held.
func (n *Network) reserve(from, to string, size int) time.Time {
	until := n.Clock.Now()
	for _, machine := range []string{from, to} {
		if l := n.links[machine]; l != nil {
			until = maxTime(until, l.reserve(size))
		}
	}
	return until
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// link is the one way into and out of a machine.
type link struct {
	clock shelfshelf.Clock
	rate  int
	// free is when all that was sent so far has gone over it.
	free time.Time
}

// reserve returns when so many more bytes have gone over the link.
func (l *link) reserve(size int) time.Time {
	l.free = maxTime(l.free, l.clock.Now()).Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	return l.free
}

// networkAddress is a machine and a port.
type networkAddress string

// Network returns what net calls this kind of address.
func (a networkAddress) Network() string { return "tcp" }

// String returns the machine and the port.
func (a networkAddress) String() string { return string(a) }

type networkListener struct {
	network *Network
	machine string
	address networkAddress
	taken   chan net.Conn
	closed  chan struct{}
	once    sync.Once

	mu sync.Mutex
	// end is when Accept stops waiting; zero means never.
	end time.Time
}

// SetDeadline bounds the next calls of Accept.
func (l *networkListener) SetDeadline(end time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
	return nil
}

// ConnectionWaits reports whether Accept would return a connection at once.
func (l *networkListener) ConnectionWaits() bool { return len(l.taken) > 0 }

func (l *networkListener) Accept() (net.Conn, error) {
	var late <-chan time.Time
	l.mu.Lock()
	end := l.end
	l.mu.Unlock()
	if !end.IsZero() {
		late = l.network.Clock.After(end.Sub(l.network.Clock.Now()))
	}
	select {
	case <-late:
		return nil, os.ErrDeadlineExceeded
	case conn := <-l.taken:
		// What has come is accepted in one go.
		l.network.burden(l.machine)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *networkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.dropIfClosed()
	return nil
}

func (l *networkListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// dropIfClosed closes the connections that nobody will accept any more.
func (l *networkListener) dropIfClosed() {
	if !l.isClosed() {
		return
	}
	for {
		select {
		case conn := <-l.taken:
			_ = conn.Close()
		default:
			return
		}
	}
}

func (l *networkListener) Addr() net.Addr { return l.address }

// Isolate cuts a machine off from all others, without a word: its connections are broken,
// and what is sent to it or by it is lost.
func (n *Network) Isolate(machine string) {
	n.mu.Lock()
	n.isolated[machine] = true
	n.mu.Unlock()
	n.BreakAll(machine)
}

// Join ends what Isolate began.
func (n *Network) Join(machine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, machine)
}

// Split cuts machines off from those of another side; those of side 0 reach all.
func (n *Network) Split(side func(machine string) int) {
	n.mu.Lock()
	n.side = side
	var broken []*networkConn
	for conn := range n.conns {
		if n.cutLocked(conn.from, conn.to) {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// networkConn is one end of a connection.
type networkConn struct {
	net.Conn
	network  *Network
	from, to string
	abort    sync.Once
}

// Read returns what has come once the machine's processor has got to it.
func (c *networkConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.network.work(c.from)
	return count, err
}

func (c *networkConn) Write(content []byte) (int, error) {
	c.network.work(c.from)
	if c.network.silent(c.from, c.to) {
		c.abort.Do(c.abortLater)
		return len(content), nil
	}
	written := 0
	for len(content) > 0 {
		size := min(len(content), packet)
		c.network.carry(c.from, c.to, size)
		n, err := c.Conn.Write(content[:size])
		written += n
		if err != nil {
			return written, err
		}
		content = content[size:]
	}
	return written, nil
}

// RemoteAddr returns the other end's machine.
func (c *networkConn) RemoteAddr() net.Addr { return networkAddress(c.to) }

// Close closes both ends.
func (c *networkConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
