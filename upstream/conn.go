package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the time at which the connection became idle. keepAlive is the Keep-Alive timeout that
	// the target announced, or zero.
	idleSince time.Time
	keepAlive time.Duration
	reused    bool
	// sentAt is when the latest request was sent. awaitingResponse is true while the client waits for the
	// first byte of a response.
	sentAt           time.Time
	awaitingResponse bool
	head             headLimit
}

// awaitResponse waits for the first byte of a response without consuming it.
func (c *conn) awaitResponse() error {
	c.awaitingResponse = true
	if _, err := c.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	c.awaitingResponse = false
	return nil
}

// openAndDrained reports whether the connection is open and has no unread data. It peeks at the socket
// without blocking.
func (c *conn) openAndDrained() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.hasNoPendingData()
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		drained = err == syscall.EAGAIN
		return true
	})
	return err == nil && drained
}

// hasNoPendingData implements openAndDrained for connections without a socket: a read with an expired
// deadline finds neither data nor EOF.
func (c *conn) hasNoPendingData() bool {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	_, peekErr := c.reader.Peek(1)
	return errors.Is(peekErr, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// setUserTimeout makes the kernel abort a connection when sent data stays unacknowledged for longer than
// limit. A target behind a network partition sends nothing at all, not even a reset.
func setUserTimeout(connection net.Conn, limit time.Duration) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = control.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// parseKeepAlive returns the timeout in the Keep-Alive header, or zero if there is none.
func parseKeepAlive(header http.Header) time.Duration {
	for item := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			continue // Treat an invalid timeout as missing.
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
