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

// scriptedServer is a server that answers each request with the text of a callback.
type scriptedServer struct {
	listener net.Listener
	accepted chan struct{}
	// disconnected, if set, receives a value when the client closes a connection.
	disconnected chan struct{}
}

// startServer starts a server. The callback respond gets the number of the connection, the number of the
// request on it and the request ID, and returns the text to write and whether to keep the connection open.
func startServer(t *testing.T, respond func(connection, request int, id string) (string, bool)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, accepted: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.handle(connection, number, respond)
		}
	}()
	return s
}

func (s *scriptedServer) handle(connection net.Conn, number int, respond func(connection, request int, id string) (string, bool)) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for request := 0; ; request++ {
		read, err := http.ReadRequest(reader)
		if err != nil {
			if s.disconnected != nil {
				s.disconnected <- struct{}{}
			}
			return
		}
		_, _ = io.Copy(io.Discard, read.Body)
		text, keep := respond(number, request, read.Header.Get("X-Shelfshelf-Request-Id"))
		_, _ = io.WriteString(connection, text)
		if !keep {
			return
		}
	}
}

func (s *scriptedServer) address() string {
	return s.listener.Addr().String()
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *upstream.Client {
	return &upstream.Client{Clock: clockwork.NewRealClock(), Codec: platform.Headers{}}
}

// send sends a request and reads the whole response body.
func send(ctx context.Context, client *upstream.Client, address, id string) (string, error) {
	header := http.Header{"X-Shelfshelf-Request-Id": []string{id}}
	response, err := client.Send(ctx, address, upstream.Request{
		ID: shelfshelf.RequestID(id), Method: http.MethodPost, RequestURI: "/a/b?c=d", Host: "h.example", Header: header, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// closeAll closes all idle connections of a client, as the end of the process does.
func closeAll(client *upstream.Client) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = client.Run(ctx)
}

// Idle connections are closed, including those to targets that were removed.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	disconnected := make(chan struct{}, 1)
	s := startServer(t, func(_, request int, id string) (string, bool) { return okResponse(id, "x"), request == 0 })
	s.disconnected = disconnected
	client := newClient()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.Run(ctx)
	}()
	if _, err := send(context.Background(), client, s.address(), "r"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Error("an idle connection stays open")
	}
	cancel()
	<-ended
}

func TestConnectionsAreKept(t *testing.T) {
	s := startServer(t, func(_, _ int, id string) (string, bool) { return okResponse(id, "x"), true })
	client := newClient()
	defer closeAll(client)
	for i := range 5 {
		if body, err := send(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil || body != "x" {
			t.Fatal(body, err)
		}
	}
	if client.ConnectionsOpened() != 1 {
		t.Errorf("%d connections", client.ConnectionsOpened())
	}
}

// No request may fail because the server closed an idle connection: the next one uses a new connection.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	s := startServer(t, func(_, _ int, id string) (string, bool) { return okResponse(id, "x"), false })
	client := newClient()
	defer closeAll(client)
	for i := range 3 {
		if _, err := send(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if client.ConnectionsOpened() != 3 {
		t.Errorf("%d connections", client.ConnectionsOpened())
	}
}

// Bytes after a complete response belong to no request, so the connection must not be reused.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	s := startServer(t, func(connection, _ int, id string) (string, bool) {
		if connection == 0 {
			return okResponse(id, "x") + okResponse("other", "wrong"), true
		}
		return okResponse(id, "x"), true
	})
	client := newClient()
	defer closeAll(client)
	for i := range 3 {
		if body, err := send(context.Background(), client, s.address(), fmt.Sprint("r", i)); err != nil || body != "x" {
			t.Fatal(body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if client.ConnectionsOpened() != 2 {
		t.Errorf("%d connections", client.ConnectionsOpened())
	}
}

// An instance that is late itself gives connections more time.
func TestLateInstancesAwaitTheirConnections(t *testing.T) {
	s := startServer(t, func(_, _ int, id string) (string, bool) { return okResponse(id, "x"), true })
	client := newClient()
	defer closeAll(client)
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(upstream.DialTimeout + 30*time.Millisecond):
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
	if _, err := send(context.Background(), client, s.address(), "r"); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Error(err)
	}
	client.Allowance = func() time.Duration { return 300 * time.Millisecond }
	if body, err := send(context.Background(), client, s.address(), "r"); err != nil || body != "x" {
		t.Error(body, err)
	}
}

// A late response to another request precedes the expected one and is skipped.
func TestUnmatchedResponsesAreSkipped(t *testing.T) {
	s := startServer(t, func(_, _ int, id string) (string, bool) {
		return okResponse("other", "wrong") + okResponse(id, "right"), true
	})
	client := newClient()
	defer closeAll(client)
	if body, err := send(context.Background(), client, s.address(), "r"); err != nil || body != "right" {
		t.Fatal(body, err)
	}
}

func TestOnlyUnmatchedResponsesFail(t *testing.T) {
	s := startServer(t, func(_, _ int, _ string) (string, bool) { return okResponse("other", "wrong"), false })
	client := newClient()
	if body, err := send(context.Background(), client, s.address(), "r"); !errors.Is(err, shelfshelf.ErrIncompleteResponse) {
		t.Fatal(body, err)
	}
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nX-Shelfshelf-Requ",
		"garbage": "\x00\x01 what is this\r\n\r\n",
	} {
		s := startServer(t, func(_, _ int, _ string) (string, bool) { return text, false })
		if body, err := send(context.Background(), newClient(), s.address(), "r"); err == nil {
			t.Errorf("%s: %q counts as complete", name, body)
		} else if errors.Is(err, shelfshelf.ErrNotRun) {
			t.Errorf("%s: a request that was sent counts as not run: %v", name, err)
		}
	}
}

func TestResponsesWithoutLengthEndWithTheConnection(t *testing.T) {
	s := startServer(t, func(_, _ int, id string) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: " + id + "\r\n\r\nall of it", false
	})
	client := newClient()
	for range 2 {
		if body, err := send(context.Background(), client, s.address(), "r"); err != nil || body != "all of it" {
			t.Fatal(body, err)
		}
	}
	if client.ConnectionsOpened() != 2 {
		t.Errorf("%d connections", client.ConnectionsOpened())
	}
}

func TestRefusedConnectionsAreNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := send(context.Background(), newClient(), address, "r"); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Fatal(err)
	}
}

// Cancelling the caller's context closes the connection promptly, which makes the target stop processing.
func TestCancellationClosesTheConnection(t *testing.T) {
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
	if _, err := send(ctx, newClient(), listener.Addr().String(), "r"); !errors.Is(err, shelfshelf.ErrIncompleteResponse) {
		t.Fatal(err)
	}
	if at := <-closed; at.Sub(began) > time.Second {
		t.Errorf("closed after %v", at.Sub(began))
	}
}
