package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/forward"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// errCut is the error of a dial over a link that is down.
var errCut = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// pair is an instance whose links to targets are down, and one that reaches them.
type pair struct {
	t      *testing.T
	target *httptest.Server
	// respond answers a request at the target.
	respond http.HandlerFunc
	// connections counts the connections to the target, runs the requests there.
	connections, runs atomic.Int64
	leaving           atomic.Bool
	// unknown is set while the other instance doesn't know any target.
	unknown    atomic.Bool
	isInstance bool
	// ended is an address at which nothing listens.
	ended  string
	client *forward.Client
	server *forward.Server
	peer   *httptest.Server
}

func newPair(t *testing.T, respond http.HandlerFunc) *pair {
	p := &pair{t: t, respond: respond, isInstance: true}
	p.target = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.runs.Add(1)
		w.Header().Set("X-Shelfshelf-Request-Id", r.Header.Get("X-Shelfshelf-Request-Id"))
		p.respond(w, r)
	}))
	p.target.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			p.connections.Add(1)
		}
	}
	p.target.Start()
	t.Cleanup(p.target.Close)
	gone := httptest.NewServer(http.NotFoundHandler())
	p.ended = gone.Listener.Addr().String()
	gone.Close()
	clock, logger := clockwork.NewRealClock(), log.New(io.Discard)
	near := &upstream.Client{Clock: clock, Codec: platform.Headers{}}
	links := &forward.Client{Clock: clock, Log: logger, Codec: platform.Headers{}, Direct: near, Controls: p.controls}
	links.Init()
	p.server = &forward.Server{
		Clock: clock, Log: logger, Direct: near, Links: links,
		Lookup:     p.lookup,
		IsInstance: func(string) bool { return p.isInstance },
	}
	p.serveWith(p.server)
	cut := &upstream.Client{Clock: clock, Codec: platform.Headers{}, Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errCut }}
	p.client = &forward.Client{
		Clock: clock, Log: logger, Codec: platform.Headers{}, Direct: cut, Controls: p.controls,
		Peers: func() []forward.Peer { return []forward.Peer{{Address: p.peer.Listener.Addr().String()}} },
	}
	p.client.Init()
	return p
}

// serveWith replaces what the other instance does with requests.
func (p *pair) serveWith(handler http.Handler) {
	mux := http.NewServeMux()
	mux.Handle("POST "+forward.Path, handler)
	p.peer = httptest.NewServer(mux)
	p.t.Cleanup(p.peer.Close)
}

// controls are a target that has ended, and one that has not.
func (p *pair) controls(shelfshelf.Target) []shelfshelf.Target {
	return []shelfshelf.Target{{Name: "gone", Pool: "p", Address: p.ended}, {Name: "t", Pool: "p", Address: p.target.Listener.Addr().String()}}
}

func (p *pair) lookup(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	if p.unknown.Load() {
		return shelfshelf.Target{}, false
	}
	if name == "e" {
		return shelfshelf.Target{Name: "e", Pool: "p", Address: p.ended, Leaving: p.leaving.Load()}, true
	}
	return p.listed(), true
}

func (p *pair) listed() shelfshelf.Target {
	return shelfshelf.Target{Name: "t", Pool: "p", Address: p.target.Listener.Addr().String(), Leaving: p.leaving.Load()}
}

// send sends a request and reads the whole response.
func (p *pair) send(ctx context.Context, change func(*upstream.Request)) (string, error) {
	request := upstream.Request{
		ID: "r", Target: p.listed(), Method: http.MethodPost, RequestURI: "/a?b=c", Host: "h.example", Body: []byte("body"),
		Header: http.Header{"X-Shelfshelf-Request-Id": []string{"r"}, "X-Shelfshelf-Request-Deadline": []string{"900"}},
	}
	if change != nil {
		change(&request)
	}
	response, err := p.client.Send(ctx, request.Target.Address, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Via == "" {
		p.t.Error("a request went over a link that is down")
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestRequestsReachTargetsThroughOthersUnchanged(t *testing.T) {
	p := newPair(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Shelfshelf-Response-Signature", "s")
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body)+" "+r.Header.Get("X-Shelfshelf-Request-Deadline")+" "+r.Header.Get("Shelf-Target"))
	})
	for range 3 {
		got, err := p.send(context.Background(), nil)
		if want := "POST /a?b=c h.example body 900 "; got != want || err != nil {
			t.Fatalf("%q, want %q; %v", got, want, err)
		}
	}
	if p.runs.Load() != 3 || p.connections.Load() != 1 {
		t.Errorf("%d runs on %d connections", p.runs.Load(), p.connections.Load())
	}
}

// A response that ends with its connection must not look complete when the other instance or the target
// breaks it off.
func TestResponsesThatBreakOffOnTheWayAreIncomplete(t *testing.T) {
	hijack := func(w http.ResponseWriter, r *http.Request, reset bool) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		if reset {
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
		_ = connection.Close()
	}
	for name, c := range map[string]struct {
		reset, peerDies, closedByTarget bool
	}{
		"closed by the target": {},
		"reset by the target":  {reset: true, closedByTarget: true},
		"the other dies":       {peerDies: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, nil)
			p.respond = func(w http.ResponseWriter, r *http.Request) {
				if c.peerDies {
					time.AfterFunc(20*time.Millisecond, p.peer.CloseClientConnections)
				}
				hijack(w, r, c.reset)
			}
			got, err := p.send(context.Background(), nil)
			whole := !c.reset && !c.peerDies
			if got != "half" || (err == nil) != whole || upstream.ClosedByTarget(err) != c.closedByTarget {
				t.Errorf("%q %v", got, err)
			}
		})
	}
}

// Until the other instance has connected to the target it hasn't been sent the request, so that another way may
// be taken; from then on the request may have run.
func TestHandoversThatFailSayWhetherTheRequestMayHaveRun(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		peer   http.HandlerFunc
		notRun bool
	}{
		"breaks off before":        {abort, true},
		"doesn't answer":           {func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }, true},
		"is of another build":      {http.NotFound, true},
		"says nothing of use":      {func(http.ResponseWriter, *http.Request) {}, true},
		"reaches but doesn't ask":  {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Shelf-Outcome", "reached") }, true},
		"breaks off with the body": {func(w http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body); abort(w, r) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, nil)
			p.serveWith(c.peer)
			_, err := p.send(context.Background(), nil)
			if errors.Is(err, shelfshelf.ErrNotRun) != c.notRun || errors.Is(err, shelfshelf.ErrIncompleteResponse) == c.notRun || upstream.ClosedByTarget(err) {
				t.Errorf("%v", err)
			}
		})
	}
}

// Only instances may send requests that way, and a caller's headers don't lead there.
func TestHostsThatAreNoInstancesReachNoTarget(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	p.isInstance = false
	if _, err := p.send(context.Background(), nil); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Error(err)
	}
	if p.connections.Load() != 0 {
		t.Error("the target was reached")
	}
}

// A request that must not be sent any more once there is a connection is not sent.
func TestRequestsAreCheckedOnceThereIsAWay(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	_, err := p.send(context.Background(), func(request *upstream.Request) {
		request.Prepare = func(*upstream.Request) error { return errors.New("the key was revoked") }
	})
	if !errors.Is(err, shelfshelf.ErrNotRun) || !errors.Is(err, upstream.ErrNotPrepared) || p.runs.Load() != 0 {
		t.Errorf("%v after %d runs", err, p.runs.Load())
	}
	p.leaving.Store(true)
	if _, err := p.send(context.Background(), nil); !errors.Is(err, shelfshelf.ErrNotRun) || p.runs.Load() != 0 {
		t.Errorf("a target that is leaving got a request: %v", err)
	}
}

// When its caller leaves, a request that was handed over stops at its target.
func TestCallersThatLeaveStopRequestsHandedOver(t *testing.T) {
	stopped := make(chan struct{})
	p := newPair(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := p.send(ctx, nil); err == nil {
		t.Error("a request that its caller left ended well")
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target still works half a second after the caller left")
	}
}

// An instance that stops ends what it has taken of others and takes nothing more.
func TestStoppingInstancesEndWhatTheyHaveTaken(t *testing.T) {
	begun := make(chan struct{})
	p := newPair(t, nil)
	p.respond = func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	answered := make(chan string, 1)
	go func() {
		got, _ := p.send(context.Background(), nil)
		answered <- got
	}()
	<-begun
	p.server.Stop()
	if _, err := p.send(context.Background(), nil); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Errorf("a stopping instance took a request: %v", err)
	}
	limit, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p.server.Wait(limit)
	if limit.Err() != nil || p.server.InFlight() != 0 {
		t.Error("still in flight")
	}
	if got := <-answered; got != "whole" {
		t.Errorf("%q", got)
	}
}

// An instance whose own links fail says so at once, and isn't asked again for a while.
func TestInstancesThatAreCutOffTakeNoRequests(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	var asked atomic.Int64
	cut := &upstream.Client{Clock: clockwork.NewRealClock(), Codec: platform.Headers{}, Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errCut }}
	links := &forward.Client{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Codec: platform.Headers{}, Direct: cut, Controls: p.controls}
	links.Init()
	p.server.Direct, p.server.Links = cut, links
	p.serveWith(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		p.server.ServeHTTP(w, r)
	}))
	for range 3 {
		_, err := p.send(context.Background(), nil)
		if !errors.Is(err, shelfshelf.ErrOwnLink) && !strings.Contains(err.Error(), "refused") {
			t.Error(err)
		}
	}
	if asked.Load() != 1 {
		t.Errorf("asked %d times", asked.Load())
	}
}

// An instance that is late itself takes a connection that took too long neither for the target's fault nor for its
// link's, and doesn't ask others: each of its failures took several exchanges more.
func TestLateInstancesBlameNobody(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	late := true
	p.client.Late = func() bool { return late }
	p.client.Direct.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, err := p.send(context.Background(), nil)
	if !errors.Is(err, shelfshelf.ErrOwnLink) || !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Error(err)
	}
	if p.runs.Load() != 0 || p.client.LinksDown() != 0 {
		t.Errorf("%d runs, %d links down", p.runs.Load(), p.client.LinksDown())
	}
	late = false
	if _, err := p.send(context.Background(), nil); err != nil {
		t.Error(err)
	}
	if p.runs.Load() != 1 {
		t.Errorf("%d runs", p.runs.Load())
	}
}

// An instance that reaches some targets tells a target that has ended from links that fail, though another one
// has ended too.
func TestEndedTargetsAreToldFromLinksThatFail(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	for range 20 {
		if !p.client.Refused(context.Background(), shelfshelf.Target{Name: "e", Pool: "p", Address: p.ended}, true) {
			t.Fatal("a target that has ended is taken for one behind links that fail")
		}
		if p.client.Refused(context.Background(), p.listed(), true) {
			t.Fatal("a target that another instance reaches is taken for ended")
		}
	}
	p.leaving.Store(true)
	if !p.client.Refused(context.Background(), shelfshelf.Target{Name: "e", Pool: "p", Address: p.ended}, true) {
		t.Error("the end of a target that was leaving isn't seen")
	}
}

// A response without a length ends with its connection, also when the process of its target crashes: it was
// passed on as complete, and cleared the request under which the target had crashed.
func TestResponsesWithoutLengthOfCrashedTargetsAreIncomplete(t *testing.T) {
	for name, crashes := range map[string]bool{"goes on": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			target := &unframedTarget{listener: listener, crashes: crashes}
			go target.run()
			p := newPair(t, func(http.ResponseWriter, *http.Request) {})
			direct := &upstream.Client{Clock: clockwork.NewRealClock(), Codec: platform.Headers{}}
			client := &forward.Client{
				Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Codec: platform.Headers{}, Direct: direct, Controls: p.controls,
				Peers: func() []forward.Peer { return nil },
			}
			client.Init()
			address := listener.Addr().String()
			response, err := client.Send(context.Background(), address, upstream.Request{
				ID: "r", Target: shelfshelf.Target{Name: "u", Pool: "p", Address: address}, Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{},
			})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if string(body) != "id: 1\ndata: x\n\n" || upstream.ClosedByTarget(err) != crashes || (err != nil) != crashes {
				t.Errorf("%q %v", body, err)
			}
		})
	}
}

// unframedTarget answers one request without a length.
type unframedTarget struct {
	listener net.Listener
	crashes  bool
}

func (u *unframedTarget) run() {
	connection, err := u.listener.Accept()
	if err != nil {
		return
	}
	_, _ = connection.Read(make([]byte, 4<<10))
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: r\r\n\r\nid: 1\ndata: x\n\n")
	if u.crashes {
		_ = u.listener.Close()
	}
	_ = connection.Close()
}

// A request that was held up on its way, as by an instance that stood still, is not sent: its deadline would be too
// late by as much, and its caller may have gone.
func TestRequestsHeldUpOnTheWayAreNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
	}{
		"in time": {0}, "late": {600 * time.Millisecond}, "never": {3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			response := p.sendRaw(c.late, time.Second)
			_ = response.Body.Close()
			told := response.Header.Get("Shelf-Outcome")
			if sent := p.runs.Load() > 0; sent != (c.late == 0) || sent == (told == "unsent") {
				t.Errorf("%q after %d runs", told, p.runs.Load())
			}
		})
	}
}

// sendRaw sends a request as an instance does that delivers it late.
func (p *pair) sendRaw(late, timeout time.Duration) *http.Response {
	body, content := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, p.peer.URL+forward.Path, body)
	if err != nil {
		p.t.Fatal(err)
	}
	request.Header.Set("Expect", "100-continue")
	request.Header.Set("Shelf-Size", "0")
	request.Header.Set("Shelf-Target", "t")
	request.Header.Set("Shelf-Address", p.listed().Address)
	go func() {
		time.Sleep(late)
		encoded := forward.Encode(upstream.Request{ID: "r", Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}}, timeout)
		_, _ = content.Write(encoded)
		_ = content.Close()
	}()
	transport := &http.Transport{ExpectContinueTimeout: time.Hour}
	p.t.Cleanup(transport.CloseIdleConnections)
	response, err := transport.RoundTrip(request)
	if err != nil {
		p.t.Fatal(err)
	}
	return response
}

// A request that was handed over ends with its time also where the instance of its caller can't end it, as one that
// stands still or is cut off from the other: its target worked on for up to ten minutes.
func TestRequestsHandedOverEndWithTheirTime(t *testing.T) {
	stopped := make(chan struct{})
	p := newPair(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(stopped)
	})
	response := p.sendRaw(0, 300*time.Millisecond)
	defer func() { _ = response.Body.Close() }()
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("the target still works after the time is over")
	}
}

// The time of a request must not end the next one on the same connection between instances.
func TestConnectionsBetweenInstancesOutlastRequests(t *testing.T) {
	p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if got, err := p.send(ctx, nil); got != "whole" || err != nil {
			t.Errorf("%q %v", got, err)
		}
		cancel()
		time.Sleep(1500 * time.Millisecond)
	}
}

// A target that other instances don't know yet, as one that has just started, is told from links that fail by this
// instance's own view: its crashes went unproven.
func TestEndsOfTargetsThatOthersDontKnowAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		linksWork, want bool
	}{
		"links work": {true, true}, "links fail": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, func(http.ResponseWriter, *http.Request) {})
			p.unknown.Store(true)
			if c.linksWork {
				p.client.Direct.Dial = nil
			}
			if got := p.client.Refused(context.Background(), shelfshelf.Target{Name: "e", Pool: "p", Address: p.ended}, true); got != c.want {
				t.Errorf("%t", got)
			}
		})
	}
}

// Where everybody hands large requests to one instance, it takes those for which it has memory. They were counted
// once they had been read, so that 256 of them could come at once.
func TestLargeRequestsOfOthersFitIntoMemory(t *testing.T) {
	const size, limit, senders = 1 << 20, 4 << 20, 40
	release := make(chan struct{})
	p := newPair(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	p.server.MaxHeldBytes = limit
	results := make(chan error, senders)
	for range senders {
		go func() {
			_, err := p.send(context.Background(), func(request *upstream.Request) { request.Body = make([]byte, size) })
			results <- err
		}()
	}
	refused := 0
	for range senders - limit/size {
		if err := <-results; !errors.Is(err, shelfshelf.ErrNotRun) {
			t.Errorf("%v", err)
		}
		refused++
	}
	for end := time.Now().Add(2 * time.Second); p.runs.Load() < limit/size && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if runs := p.runs.Load(); runs != limit/size {
		t.Errorf("%d requests of %d bytes run at once, %d refused; allowed %d bytes", runs, size, refused, limit)
	}
	close(release)
	for range senders - refused {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// Callers that leave while a connection is opened say nothing of the target: other instances aren't asked for it.
func TestCallersThatLeaveAskNobody(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	var asked atomic.Int64
	p.serveWith(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	p.client.Direct.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := p.send(ctx, nil); !errors.Is(err, shelfshelf.ErrNotRun) {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
	if asked.Load() != 0 {
		t.Errorf("asked %d times", asked.Load())
	}
}

// One instance that doesn't reach a target may have lost its own link to just that one; a target counts as gone, and
// isn't handed over for seconds, only if a second one doesn't reach it either.
func TestOneInstanceAloneDoesNotCondemnATarget(t *testing.T) {
	p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	partly := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Shelf-Outcome", "unreachable")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(partly.Close)
	good := p.peer.Listener.Addr().String()
	first := atomic.Bool{}
	first.Store(true)
	p.client.Peers = func() []forward.Peer {
		if first.Swap(false) {
			// The one that is asked first; the time is over before the other one is.
			return []forward.Peer{{Address: partly.Listener.Addr().String(), Local: true}, {Address: "127.0.0.1:1"}}
		}
		return []forward.Peer{{Address: good}}
	}
	_, _ = p.send(context.Background(), nil)
	if got, err := p.send(context.Background(), nil); got != "whole" || err != nil {
		t.Errorf("%q %v", got, err)
	}
}
