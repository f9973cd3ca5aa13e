package fake

import "time"

// abortAfter is how long a connection lasts whose bytes are lost.
const abortAfter = 3 * time.Second

// LinkFault is what happens to connections between machines that don't reach each other. The zero value
// loses the bytes of open connections and leaves new ones without an answer.
type LinkFault struct {
	// Reset breaks open connections, and Keep lets them go on.
	Reset bool
	Keep  bool
	// Refuse refuses new connections.
	Refuse bool
}

// linkFault is a LinkFault between some pairs of machines.
type linkFault struct {
	LinkFault
	cut func(from, to string) bool
}

// between reports that the fault is on the link of two machines, in whichever order.
func (f *linkFault) between(a, b string) bool { return f.cut(a, b) || f.cut(b, a) }

// CutLinks cuts some pairs of machines off from each other until MendLinks.
func (n *Network) CutLinks(how LinkFault, cut func(from, to string) bool) {
	n.mu.Lock()
	n.faulty = &linkFault{LinkFault: how, cut: cut}
	var broken []*networkConn
	for conn := range n.conns {
		if how.Reset && n.faulty.between(conn.from, conn.to) {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// MendLinks ends what CutLinks began.
func (n *Network) MendLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = nil
}

// faultBetween returns the fault on the link of two machines; nil if there is none.
func (n *Network) faultBetween(from, to string) *linkFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faulty == nil || !n.faulty.between(from, to) {
		return nil
	}
	return n.faulty
}

// silent reports that bytes from one machine to another are lost.
func (n *Network) silent(from, to string) bool {
	fault := n.faultBetween(from, to)
	return fault != nil && !fault.Keep
}

// abortLater breaks a connection some time after its first lost bytes, as an operating system does.
func (c *networkConn) abortLater() {
	time.AfterFunc(abortAfter, func() { _ = c.Close() })
}
