package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/upstream"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// target is a server that writes what its script says for each request of a
// connection.
type target struct {
	listener net.Listener
	accepted chan struct{}
	// closed is told when the other side has ended a connection; may be nil.
	closed chan struct{}
}

// serve starts a target; answer gets the number of the connection and of the
// request on it, and the request's id, and returns what to write and whether to
// keep the connection.
func serve(t *testing.T, answer func(connection, request int, id string) (string, bool)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{listener: listener, accepted: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.handle(connection, number, answer)
		}
	}()
	return s
}

func (s *target) handle(connection net.Conn, number int, answer func(connection, request int, id string) (string, bool)) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for request := 0; ; request++ {
		read, err := http.ReadRequest(reader)
		if err != nil {
			if s.closed != nil {
				s.closed <- struct{}{}
			}
			return
		}
		_, _ = io.Copy(io.Discard, read.Body)
		text, keep := answer(number, request, read.Header.Get("X-Shelfshelf-Request-Id"))
		_, _ = io.WriteString(connection, text)
		if !keep {
			return
		}
	}
}

func (s *target) address() string {
	return s.listener.Addr().String()
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *upstream.Client {
	return &upstream.Client{Clock: clockwork.NewRealClock(), Codec: platform.Headers{}}
}

// ask sends one request and reads its answer whole.
func ask(ctx context.Context, client *upstream.Client, address, id string) (string, error) {
	header := http.Header{"X-Shelfshelf-Request-Id": []string{id}}
	response, err := client.Send(ctx, address, upstream.Request{
		ID: shelfshelf.RequestID(id), Method: http.MethodPost, Target: "/a/b?c=d", Host: "h.example", Header: header, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// closeAll ends a client as a process would.
func closeAll(client *upstream.Client) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = client.Run(ctx)
}

// Connections that nobody uses are closed, also those to targets that are gone.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	left := make(chan struct{}, 1)
	s := serve(t, func(_, request int, id string) (string, bool) { return whole(id, "x"), request == 0 })
	s.closed = left
	client := newClient()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.Run(ctx)
	}()
	if _, err := ask(context.Background(), client, s.address(), "r"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("an unused connection stays open")
	}
	cancel()
	<-ended
}

func TestConnectionsAreKept(t *testing.T) {
	s := serve(t, func(_, _ int, id string) (string, bool) { return whole(id, "x"), true })
	client := newClient()
	defer closeAll(client)
	for i := range 5 {
		if body, err := ask(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil || body != "x" {
			t.Fatal(body, err)
		}
	}
	if client.Opened() != 1 {
		t.Errorf("%d connections", client.Opened())
	}
}

// A server that closes an idle connection must not cost a request: the next one
// goes over a new connection.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	s := serve(t, func(_, _ int, id string) (string, bool) { return whole(id, "x"), false })
	client := newClient()
	defer closeAll(client)
	for i := range 3 {
		if _, err := ask(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if client.Opened() != 3 {
		t.Errorf("%d connections", client.Opened())
	}
}

// Bytes after a whole answer belong to no request, so their connection is done.
func TestExtraBytesEndAConnection(t *testing.T) {
	s := serve(t, func(connection, _ int, id string) (string, bool) {
		if connection == 0 {
			return whole(id, "x") + whole("other", "wrong"), true
		}
		return whole(id, "x"), true
	})
	client := newClient()
	defer closeAll(client)
	for i := range 3 {
		if body, err := ask(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil || body != "x" {
			t.Fatal(body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if client.Opened() != 2 {
		t.Errorf("%d connections", client.Opened())
	}
}

// A late answer of another request stands where ours should; ours follows it.
func TestForeignAnswersAreSkipped(t *testing.T) {
	s := serve(t, func(_, _ int, id string) (string, bool) { return whole("other", "wrong") + whole(id, "right"), true })
	client := newClient()
	defer closeAll(client)
	if body, err := ask(context.Background(), client, s.address(), "r"); err != nil || body != "right" {
		t.Fatal(body, err)
	}
}

func TestOnlyForeignAnswersFail(t *testing.T) {
	s := serve(t, func(_, _ int, _ string) (string, bool) { return whole("other", "wrong"), false })
	client := newClient()
	if body, err := ask(context.Background(), client, s.address(), "r"); !errors.Is(err, shelfshelf.ErrBroken) {
		t.Fatal(body, err)
	}
}

func TestCutAnswersAreNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nX-Shelfshelf-Requ",
		"garbage": "\x00\x01 what is this\r\n\r\n",
	} {
		s := serve(t, func(_, _ int, _ string) (string, bool) { return text, false })
		if body, err := ask(context.Background(), newClient(), s.address(), "r"); err == nil {
			t.Errorf("%s: %q counts as whole", name, body)
		} else if errors.Is(err, shelfshelf.ErrNotRun) {
			t.Errorf("%s: a request that was sent counts as not run: %v", name, err)
		}
	}
}

func TestAnswersWithoutLengthEndWithTheirConnection(t *testing.T) {
	s := serve(t, func(_, _ int, id string) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: " + id + "\r\n\r\nall of it", false
	})
	client := newClient()
	for range 2 {
		if body, err := ask(context.Background(), client, s.address(), "r"); err != nil || body != "all of it" {
			t.Fatal(body, err)
		}
	}
	if client.Opened() != 2 {
		t.Errorf("%d connections", client.Opened())
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := ask(context.Background(), newClient(), address, "r"); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Fatal(err)
	}
}

// The end of the caller's context closes the connection within a moment, which makes the
// target stop.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, connection)
		_ = connection.Close()
		closed <- time.Now()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := ask(ctx, newClient(), listener.Addr().String(), "r"); !errors.Is(err, shelfshelf.ErrBroken) {
		t.Fatal(err)
	}
	if at := <-closed; at.Sub(began) > time.Second {
		t.Errorf("closed after %v", at.Sub(began))
	}
}
