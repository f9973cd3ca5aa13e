package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// link is a proxy on this machine before one address. What it does wrong holds for
// open connections too.
type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	trait trait
	// touched is when a fault came or ended.
	touched []time.Time
	open    map[net.Conn]bool
	// silent are the open connections that carry nothing any more.
	silent map[net.Conn]bool
}

// trait is what a link does wrong; the zero value does nothing wrong.
type trait struct {
	delay time.Duration
	// mute holds back what comes from the target, deaf what goes to it.
	mute bool
	deaf bool
	// refuse resets new connections.
	refuse bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{target: target, listener: listener, open: make(map[net.Conn]bool), silent: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		l.reset()
	})
	go l.loop()
	return l
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

func (l *link) set(t trait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trait = t
	l.touched = append(l.touched, time.Now())
}

// touchedIn reports that a fault came or ended between two instants.
func (l *link) touchedIn(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return anyIn(l.touched, from, to)
}

// silence makes all open connections silent for good, without a reset; new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched = append(l.touched, time.Now())
	for conn := range l.open {
		l.silent[conn] = true
	}
}

func (l *link) isSilent(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[conn]
}

func (l *link) now() trait {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trait
}

// reset breaks all open connections with a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched = append(l.touched, time.Now())
	for conn := range l.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *link) loop() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.now().refuse {
			_ = near.(*net.TCPConn).SetLinger(0)
			_ = near.Close()
			continue
		}
		far, err := net.DialTimeout("tcp", l.target, time.Second)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.track(near, far)
		go l.run(near, far, func(t trait) bool { return t.deaf })
		go l.run(far, near, func(t trait) bool { return t.mute })
	}
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.open[conn] = true
	}
}

// run copies one way; bytes that are held back are delivered later, in order.
func (l *link) run(from, to net.Conn, held func(trait) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		l.mu.Lock()
		delete(l.open, from)
		delete(l.silent, from)
		l.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(l.now().delay)
		for held(l.now()) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 && !l.isSilent(from) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			return
		}
	}
}
