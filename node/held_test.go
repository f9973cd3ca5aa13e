package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// Bodies that callers send count against an instance's memory, over all requests: what is beyond a part
// of it is refused as not run, and there is room again as soon as a request has ended. Without the
// bound 2,000 callers may have an instance of 184 MB hold 8 GB.
func TestHeldBodiesAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.memoryMB = 1
	server := f.serve("p1", "plain", 0)
	n := f.start()
	server.SetFaults(fake.ServerFaults{Slow: 600 * time.Millisecond})
	large := func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 90000)))
		r.ContentLength = -1
	}
	var callers sync.WaitGroup
	for i := range 2 {
		callers.Go(func() {
			if got := f.ask(n, fmt.Sprint("r", i), "/once/", large); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if got := f.ask(n, "r2", "/once/", large); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
	// Small ones are served beside it.
	if got := f.ask(n, "r3", "/once/", nil); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
	callers.Wait()
	if got := f.ask(n, "r4", "/once/", large); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
	if runs := len(server.Runs()); runs != 4 {
		t.Errorf("%d runs", runs)
	}
}

// A caller that doesn't read what it asked for holds its request no longer than it said that it waits,
// and some seconds, and holds up nobody else.
func TestCallersThatDontReadAreLetGo(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	engine := f.serve("e1", "engines", 1<<30)
	f.serve("p1", "plain", 0)
	n := f.start()
	for i := range 3 {
		caller, err := net.Dial("tcp", n.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		// A small buffer, which is full at once.
		if err := caller.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(caller, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Shelfshelf-Request-Id: r%d\r\n"+
			"X-Shelfshelf-Request-Deadline: 2000\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", i)
		if err != nil {
			t.Fatal(err)
		}
	}
	f.eventually("the streams don't begin", func() bool { return len(engine.Runs()) == 3 })
	if got := f.ask(n, "r9", "/once/", nil); got.status != http.StatusOK || got.took > time.Second {
		t.Errorf("%+v", got)
	}
	f.eventually("requests are held for callers that don't read", func() bool {
		return strings.Contains(f.metricsOf(n), "shelf_requests_in_flight 0")
	})
	for _, run := range engine.Runs() {
		if run.Ended != "left" {
			t.Errorf("the target's work ended as %q", run.Ended)
		}
	}
}

// metricsOf returns an instance's metrics.
func (f *fleet) metricsOf(n *running) string {
	answer, err := http.Get("http://" + n.peer + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}
