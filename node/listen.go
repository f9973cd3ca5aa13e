package node

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/forward"
	"github.com/shelfshelf/shelfshelf/overload"
)

// systemSockets are the operating system's.
type systemSockets struct {
	net.Dialer
}

// Listen takes connections.
func (s *systemSockets) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// ListenPacket takes datagrams.
func (s *systemSockets) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial opens a connection.
func (s *systemSockets) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return s.DialContext(ctx, network, address)
}

// listen opens the addresses of the settings.
func (n *Node) listen() error {
	if n.Sockets == nil {
		n.Sockets = &systemSockets{Dialer: net.Dialer{KeepAliveConfig: forward.PeerKeepAlive}}
	}
	var err error
	n.callers = &overload.Listener{
		Clock: n.Clock, Log: n.Log.WithPrefix("overload"), Address: n.Settings.Callers, Listen: n.Sockets.Listen,
	}
	if err = n.callers.Open(); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if n.ready, err = n.Sockets.Listen(n.Settings.Ready); err != nil {
		return eris.Wrap(err, "listen for the balancer")
	}
	if n.internal, err = n.Sockets.Listen(n.Settings.Peer); err != nil {
		return eris.Wrap(err, "listen for instances")
	}
	n.listenForMetrics()
	return nil
}

// listenForMetrics opens the address of metrics; requests are served without it.
func (n *Node) listenForMetrics() {
	if n.Settings.Metrics == "" {
		return
	}
	listener, err := n.Sockets.Listen(n.Settings.Metrics)
	if err != nil {
		n.Log.Error("Metrics are served on the peer address only.", "address", n.Settings.Metrics, "error", err)
		return
	}
	n.figures = listener
}
