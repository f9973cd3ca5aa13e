package shelfshelf

import (
	"context"
	"net"
)

// Sockets is what a machine's network offers.
type Sockets interface {
	// Listen takes connections at an IP and port.
	Listen(address string) (net.Listener, error)
	// ListenPacket takes datagrams at an IP and port.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial opens a connection, as net.Dialer's DialContext does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}
