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

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when its last answer ended, and keep how long the target says
	// that it keeps it; zero if it didn't say.
	idleSince time.Time
	keep      time.Duration
	used      bool
	// sentAt is when its latest request was sent, and awaiting says that no byte of an answer
	// to it has come.
	sentAt   time.Time
	awaiting bool
}

// await waits for the first byte of an answer, which is left to be read.
func (c *conn) await() error {
	c.awaiting = true
	if _, err := c.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	c.awaiting = false
	return nil
}

// quiet reports that the connection is open and holds no bytes that nobody asked
// for. It looks at the socket without taking anything or waiting.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.nothingToRead()
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// nothingToRead is quiet for connections without a socket: a read that waits for nothing finds
// neither bytes nor an end.
func (c *conn) nothingToRead() bool {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	_, found := c.reader.Peek(1)
	return errors.Is(found, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// setUserTimeout makes the kernel give a connection up when what was sent is not
// acknowledged for so long: a target behind a cut says nothing at all.
func setUserTimeout(connection net.Conn, limit time.Duration) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = control.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// keepAlive reads how long a target keeps an idle connection; zero if it doesn't
// say.
func keepAlive(header http.Header) time.Duration {
	for item := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			continue // a time that can't be read counts as none
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
