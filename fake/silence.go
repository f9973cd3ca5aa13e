package fake

import (
	"context"
	"net"
	"sync"
)

// SilentDialer opens connections that can go silent for good, as behind a firewall that has lost its state: what is
// sent is lost, nothing more arrives, and nobody is told.
type SilentDialer struct {
	mu     sync.Mutex
	opened []*silentConn
}

// Dial opens a connection.
func (d *SilentDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	opened := &silentConn{Conn: conn, silent: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened = append(d.opened, opened)
	return opened, nil
}

// Opened returns how many connections have been opened.
func (d *SilentDialer) Opened() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.opened)
}

// Silence has all connections go silent that are open.
func (d *SilentDialer) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.opened {
		conn.once.Do(func() { close(conn.silent) })
	}
}

type silentConn struct {
	net.Conn
	silent chan struct{}
	once   sync.Once
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return 0, err
		}
		select {
		case <-c.silent:
		default:
			return n, nil
		}
	}
}
