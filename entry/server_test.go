package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/entry"
)

const token = "demo-hydro-north-token"

// granter grants the first target that an ask does not avoid.
type granter struct {
	mu      sync.Mutex
	targets []shelfshelf.TargetName
	asks    []shelfshelf.Ask
	done    []shelfshelf.Completion
}

type ticket struct {
	granter  *granter
	decision shelfshelf.Decision
}

func (g *granter) Ask(_ context.Context, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asks = append(g.asks, ask)
	for _, target := range g.targets {
		avoided := false
		for _, other := range ask.Avoid {
			avoided = avoided || other == target
		}
		if !avoided {
			return &ticket{g, shelfshelf.Decision{ID: ask.ID, Granted: true, Target: target, ValidUntil: time.Now().Add(time.Minute)}}, nil
		}
	}
	return &ticket{g, shelfshelf.Decision{ID: ask.ID, Reason: shelfshelf.RefusedNoTarget, RetryAfter: time.Second}}, nil
}

func (t *ticket) Decision() shelfshelf.Decision { return t.decision }

func (t *ticket) FirstToken() {}

func (t *ticket) Done(completion shelfshelf.Completion) {
	t.granter.mu.Lock()
	defer t.granter.mu.Unlock()
	t.granter.done = append(t.granter.done, completion)
}

// engines runs completions by a function.
type engines struct {
	shelfshelf.EngineClient
	run func(ctx context.Context, target shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error
}

func (e *engines) Complete(ctx context.Context, target shelfshelf.Target, _ shelfshelf.CompletionCall, emit func(shelfshelf.EngineChunk) error) error {
	return e.run(ctx, target, emit)
}

func chunk(index int, text string) shelfshelf.EngineChunk {
	return shelfshelf.EngineChunk{Index: index, Tokens: 1, Data: fmt.Appendf(nil, `{"id":"r","choices":[{"text":%q}]}`, text)}
}

func newServer(t *testing.T, g *granter, e *engines) *entry.Server {
	t.Helper()
	content, err := deploy.Bundle("prairie")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := bundle.Parse("prairie", content)
	if err != nil {
		t.Fatal(err)
	}
	server := &entry.Server{
		Clock:     clockwork.NewRealClock(),
		Log:       log.New(io.Discard),
		Granter:   g,
		Engines:   e,
		Metrics:   &entry.Metrics{Set: metrics.NewSet()},
		Instances: func() int { return 1 },
		Fit:       func() error { return nil },
		NewID:     func() shelfshelf.RequestID { return "r" },
	}
	server.Crashes = &crashes.Tracker{Clock: server.Clock, Log: server.Log}
	server.Witness = &crashes.Detector{
		Clock: server.Clock, Log: server.Log, Tracker: server.Crashes, Lookup: server.Target,
		Dial: func(context.Context, string) error { return syscall.ECONNREFUSED },
	}
	server.Apply(&bundle.Accepted{Bundle: parsed})
	return server
}

func post(server *entry.Server, body string, headers ...string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	server.Handler().ServeHTTP(recorder, request)
	return recorder
}

const tagBody = `{"model":"refund-tag","prompt":"note","max_tokens":2}`

func TestDispatch(t *testing.T) {
	Convey("A request that a target provably did not run goes to another, once", t, func() {
		g := &granter{targets: []shelfshelf.TargetName{"regina-m01-1", "regina-m01-2"}}
		ran := []shelfshelf.TargetName{}
		server := newServer(t, g, &engines{run: func(_ context.Context, target shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error {
			if target.Name == "regina-m01-1" {
				return shelfshelf.ErrNotRun
			}
			ran = append(ran, target.Name)
			_ = emit(chunk(0, "a"))
			return emit(chunk(1, "b"))
		}})
		answer := post(server, tagBody)
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Header().Get(entry.HeaderOutcome), ShouldEqual, "done")
		So(answer.Body.String(), ShouldContainSubstring, `"text":"ab"`)
		So(ran, ShouldResemble, []shelfshelf.TargetName{"regina-m01-2"})
		So(g.done, ShouldHaveLength, 2)
		So(g.done[0].Refused, ShouldBeTrue)
		So(g.done[0].Outcome, ShouldEqual, shelfshelf.OutcomeNotRun)
	})
	Convey("A request that an engine finds wrong is the caller's to mend, not tried elsewhere", t, func() {
		g := &granter{targets: []shelfshelf.TargetName{"regina-m01-1", "regina-m01-2"}}
		tries := 0
		server := newServer(t, g, &engines{run: func(context.Context, shelfshelf.Target, func(shelfshelf.EngineChunk) error) error {
			tries++
			return errors.Join(shelfshelf.ErrNotRun, shelfshelf.ErrRejected)
		}})
		answer := post(server, tagBody)
		So(answer.Code, ShouldEqual, http.StatusBadRequest)
		So(answer.Header().Get(entry.HeaderOutcome), ShouldEqual, "not run")
		So(tries, ShouldEqual, 1)
		So(g.done[0].Refused, ShouldBeFalse)
	})
	Convey("One that may have run is not dispatched again", t, func() {
		g := &granter{targets: []shelfshelf.TargetName{"regina-m01-1", "regina-m01-2"}}
		runs := 0
		server := newServer(t, g, &engines{run: func(_ context.Context, _ shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error {
			runs++
			_ = emit(chunk(0, "a"))
			return shelfshelf.ErrIncompleteResponse
		}})
		answer := post(server, tagBody)
		So(answer.Code, ShouldEqual, http.StatusBadGateway)
		So(answer.Header().Get(entry.HeaderOutcome), ShouldEqual, "unknown")
		So(answer.Body.String(), ShouldNotContainSubstring, `"a"`)
		So(runs, ShouldEqual, 1)
	})
	Convey("A broken stream ends with an error event and no end mark", t, func() {
		g := &granter{targets: []shelfshelf.TargetName{"regina-m01-1"}}
		server := newServer(t, g, &engines{run: func(_ context.Context, _ shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error {
			_ = emit(chunk(0, "a"))
			return shelfshelf.ErrIncompleteResponse
		}})
		answer := post(server, strings.Replace(tagBody, "}", `,"stream":true}`, 1))
		So(answer.Body.String(), ShouldContainSubstring, "event: error")
		So(answer.Body.String(), ShouldNotContainSubstring, "[DONE]")
	})
	Convey("A caller may lower its tier and its deadline, never raise them", t, func() {
		g := &granter{}
		server := newServer(t, g, &engines{})
		post(server, tagBody, entry.HeaderTier, "letters", entry.HeaderDeadline, "3s")
		post(server, tagBody, entry.HeaderTier, "counter", entry.HeaderDeadline, "3h")
		So(g.asks[0].Tier, ShouldEqual, 3)
		So(g.asks[0].Deadline.Sub(g.asks[0].Arrived), ShouldEqual, 3*time.Second)
		So(g.asks[0].FirstTokenBy, ShouldEqual, g.asks[0].Deadline)
		So(g.asks[1].Tier, ShouldEqual, 2)
		So(g.asks[1].Deadline.Sub(g.asks[1].Arrived), ShouldEqual, 20*time.Second)
	})
}

// TestSlowCallers uses real connections: one that never sends its body is given
// up, and a stream far longer than a body may take goes on to its end. A caller
// that goes away has its stream cancelled at the engine.
func TestSlowCallers(t *testing.T) {
	g := &granter{targets: []shelfshelf.TargetName{"regina-m01-1"}}
	cancelled := make(chan struct{})
	endless := false
	server := newServer(t, g, &engines{run: func(ctx context.Context, _ shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error {
		for index := 0; index < 10 || endless; index++ {
			if err := emit(chunk(index, "w")); err != nil || ctx.Err() != nil {
				close(cancelled)
				return errors.Join(shelfshelf.ErrIncompleteResponse, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}})
	server.BodyTimeout = 50 * time.Millisecond
	listening := httptest.NewServer(server.Handler())
	defer listening.Close()
	conn, err := net.Dial("tcp", listening.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{", token)
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(answer), "body-broken") {
		t.Errorf("a body that never came: %v %s", err, answer)
	}
	stream := func(ctx context.Context) (*http.Response, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, listening.URL+"/v1/completions",
			strings.NewReader(strings.Replace(tagBody, "}", `,"stream":true}`, 1)))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Content-Type", "application/json")
		return http.DefaultClient.Do(request)
	}
	response, err := stream(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	whole, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || !strings.HasSuffix(string(whole), "[DONE]\n\n") {
		t.Errorf("a long stream was cut: %v, %d bytes", err, len(whole))
	}
	endless = true
	ctx, cancel := context.WithCancel(context.Background())
	response, err = stream(ctx)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = response.Body.Close()
	<-cancelled
}
