package shelfshelf

import (
	"context"
	"net"
)

// Sockets is the network interface of a machine.
type Sockets interface {
	// Listen accepts connections at an IP address and port.
	Listen(address string) (net.Listener, error)
	// ListenPacket receives datagrams at an IP address and port.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial opens a connection like net.Dialer's DialContext.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}
