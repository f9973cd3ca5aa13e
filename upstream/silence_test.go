package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// longestSilence is how long a target may be silent that then goes on.
const longestSilence = 2 * time.Second

// A target that is silent for a second or two and goes on must not lose its connections: with a limit of 1.5 s,
// the kernel aborted one at the second keep-alive probe, 2 s after its last byte, and one with data under way
// after 1.5 s.
func TestSilenceOfATargetBreaksNoConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := &Client{Clock: clockwork.NewRealClock()}
	reserved, err := client.Reserve(context.Background(), listener.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reserved.conn.Close() }()
	raw, err := reserved.conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(number int) time.Duration {
		value := 0
		_ = raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, number) })
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(value)
	}
	limit := option(tcpUserTimeoutOption) * time.Millisecond
	interval := option(syscall.TCP_KEEPINTVL) * time.Second
	if limit <= longestSilence+interval {
		t.Errorf("a connection is aborted after %v of silence, with probes every %v", limit, interval)
	}
}
