package transport_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/transport"
)

// cutServer answers the first request of each connection and cuts the connection
// on the second, having read it: what net/http would send again by itself.
type cutServer struct {
	listener net.Listener
	requests atomic.Int64
}

func (s *cutServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *cutServer) runConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if answered {
			return
		}
		_ = request.Body.Close()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// TestNeverSentAgain covers the requests that net/http repeats: those without a
// body, and those with an Idempotency-Key.
func TestNeverSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			server := &cutServer{listener: listener}
			go server.run()
			once := transport.NewOnce()
			defer once.Close()
			send := func() error {
				header := http.Header{"Idempotency-Key": {"k"}}
				response, err := once.RoundTrip(context.Background(), method, "http://"+listener.Addr().String(), header, nil)
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			if err := send(); !errors.Is(err, shelfshelf.ErrIncompleteResponse) {
				t.Errorf("the cut request ended with %v", err)
			}
			if got := server.requests.Load(); got != 2 {
				t.Errorf("two requests were sent as %d", got)
			}
		})
	}
}
