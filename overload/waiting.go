package overload

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// waiter is a listener that tells whether a connection waits to be accepted.
type waiter interface {
	ConnectionWaits() bool
}

// isConnectionWaiting reports whether a connection waits to be accepted, if that can be found out without waiting.
// A late instance that waited for the next connection would get to close its address too late.
func isConnectionWaiting(open net.Listener) (waiting, known bool) {
	if told, ok := open.(waiter); ok {
		return told.ConnectionWaits(), true
	}
	socket, ok := open.(syscall.Conn)
	if !ok {
		return false, false
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	ready := 0
	var pollErr error
	err = control.Control(func(fd uintptr) {
		ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0, err == nil && pollErr == nil
}
