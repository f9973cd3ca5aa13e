package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is how many requests wait at a target beside those that run.
const queueLength = 42

// server is the stand-in of one target. It answers as the platform's pages say: with the request's id, its own
// signature and its load, and it drops a request when its connection closes.
type server struct {
	id     string
	events int
	gap    time.Duration
	work   time.Duration
	slots  int
	// stallAfter is the event after which a part of the streams pause for stall, as those do that are preempted or stand
	// behind long prompts; 0 means that none does.
	stallAfter int
	stall      time.Duration
	stallPart  float64
	// unframed is the part of the answers that have no length and end with their connection.
	unframed float64

	places  chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex
}

func runServer(arguments []string) error {
	s := &server{}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	flags.StringVar(&s.id, "id", "", "the target's id")
	flags.IntVar(&s.slots, "slots", 1, "how many requests run at once")
	flags.IntVar(&s.events, "events", 0, "events of a stream; 0 for a plain answer")
	flags.DurationVar(&s.gap, "gap", 60*time.Millisecond, "time between events")
	flags.DurationVar(&s.work, "work", 60*time.Millisecond, "work before the answer")
	flags.IntVar(&s.stallAfter, "stall-after", 0, "event after which a stream pauses")
	flags.DurationVar(&s.stall, "stall", 0, "that pause")
	flags.Float64Var(&s.stallPart, "stall-part", 0, "part of the streams that pause")
	flags.Float64Var(&s.unframed, "unframed", 0, "part of the answers without a length")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	s.places = make(chan struct{}, s.slots)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	web := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	return web.Serve(listener)
}

// say prints a line for the record.
func (s *server) say(r *http.Request, what string) {
	content, err := json.Marshal(runLine{
		Target: s.id, ID: r.Header.Get("X-Shelfshelf-Request-Id"), What: what, Tenant: r.Header.Get("X-Shelfshelf-Tenant"),
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = os.Stdout.Write(append(content, '\n'))
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Shelfshelf-Request-Id", r.Header.Get("X-Shelfshelf-Request-Id"))
	w.Header().Set("X-Shelfshelf-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.places), s.waiting.Load(), s.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Shelfshelf-Instance-Id", s.id)
		return
	}
	if expected := r.Header.Get("X-Shelfshelf-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	limit, err := strconv.Atoi(r.Header.Get("X-Shelfshelf-Request-Deadline"))
	if err != nil {
		limit = 15000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
	defer cancel()
	if !s.enter(ctx) {
		w.Header().Set("X-Shelfshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.places }()
	s.say(r, "runs")
	s.say(r, s.answer(ctx, w, r))
}

// enter takes a place; false if there is none in time.
func (s *server) enter(ctx context.Context) bool {
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer writes the answer and returns how the run ended.
func (s *server) answer(ctx context.Context, w http.ResponseWriter, r *http.Request) string {
	if !rest(ctx, s.work) {
		return "was left"
	}
	w.Header().Set("X-Shelfshelf-Response-Signature", s.id+"."+r.Header.Get("X-Shelfshelf-Request-Id"))
	if s.events == 0 {
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Shelfshelf-Request-Id"))
		return "ended whole"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Shelfshelf-Weight-Versions", "1")
	if isChosen(r.Header.Get("X-Shelfshelf-Request-Id"), s.unframed) {
		return s.streamUnframed(ctx, w, r)
	}
	control := http.NewResponseController(w)
	return s.stream(ctx, r, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return control.Flush()
	})
}

// isChosen chooses a part of the requests by their ids.
func isChosen(id string, part float64) bool {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id)
	return float64(sum.Sum32()%10000) < part*10000
}

// stream writes the events after the one that the caller has.
func (s *server) stream(ctx context.Context, r *http.Request, write func(event string) error) string {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for event := last + 1; event <= s.events; event++ {
		if write(fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", event, r.Header.Get("X-Shelfshelf-Request-Id"), event, s.events)) != nil {
			return "was left"
		}
		pause := s.gap
		if event == s.stallAfter && isChosen(r.Header.Get("X-Shelfshelf-Request-Id"), s.stallPart) {
			pause = s.stall
		}
		if event < s.events && !rest(ctx, pause) {
			return "was left"
		}
	}
	return "ended whole"
}

// streamUnframed writes a stream whose end is that of the connection.
func (s *server) streamUnframed(ctx context.Context, w http.ResponseWriter, r *http.Request) string {
	s.say(r, "answers without a length")
	header := w.Header().Clone()
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return "was left"
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Nothing more comes on this connection but its end.
		_, _ = io.Copy(io.Discard, connection)
		cancel()
	}()
	header.Set("Connection", "close")
	if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\n"); err != nil {
		return "was left"
	}
	if err := header.Write(connection); err != nil {
		return "was left"
	}
	if _, err := io.WriteString(connection, "\r\n"); err != nil {
		return "was left"
	}
	return s.stream(ctx, r, func(event string) error {
		_, err := io.WriteString(connection, event)
		return err
	})
}

// rest waits and reports whether the caller is still there.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
