package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The streams of the case. Two servers with two places each are full with four streams. One stream is preempted and
// silent for less than its client waits, which is 3.2 s by a goal of 800 ms and a pause of 400 ms.
const (
	serverPlaces  = 2
	eventPause    = 100 * time.Millisecond
	longEvents    = 55
	shortEvents   = 25
	silentAfter   = 8
	silenceTime   = 2500 * time.Millisecond
	streamTime    = 15 * time.Second
	signalDelay   = 500 * time.Millisecond
	lossSlack     = 200 * time.Millisecond
	lastSixthFrom = graceTime * 5 / 6
)

// modelServer is a model server that runs as many streams as it has places, and others after them.
type modelServer struct {
	world *world
	id    string
	// preempts says that its memory runs out: its newest stream is silent for a while.
	preempts bool
	places   chan struct{}

	mu     sync.Mutex
	count  int
	silent string
	left   map[string]bool
}

func (s *modelServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Shelfshelf-Request-Id")
	rw.Header().Set("X-Shelfshelf-Request-Id", id)
	if r.Header.Get("X-Shelfshelf-Expect-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.world.note("%s gets %s, last event %q", s.id, id, r.Header.Get("Last-Event-Id"))
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Shelfshelf-Response-Signature", s.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.stream(r.Context(), rw, id, last)
}

// begin counts a stream and returns how many events it has; the second one of a server is its newest.
func (s *modelServer) begin(id string) (events int, newest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	newest = s.preempts && s.count == serverPlaces
	if newest {
		s.silent = id
		return shortEvents, true
	}
	return longEvents, false
}

func (s *modelServer) stream(ctx context.Context, rw http.ResponseWriter, id string, last int) {
	events, newest := s.begin(id)
	s.world.note("%s runs %s", s.id, id)
	control := http.NewResponseController(rw)
	for event := last + 1; event <= events; event++ {
		pause := eventPause
		if newest && event == silentAfter+1 && s.world.trouble {
			s.world.note("%s preempts %s: it is silent for %v", s.id, id, silenceTime)
			pause = silenceTime
		}
		select {
		case <-ctx.Done():
			s.world.note("%s sees that %s is closed before event %d", s.id, id, event)
			s.mu.Lock()
			s.left[id] = true
			s.mu.Unlock()
			return
		case <-time.After(pause):
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", event, id, event)
		_ = control.Flush()
	}
	s.world.note("%s has sent all of %s", s.id, id)
}

// streamCall is a client's stream.
type streamCall struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	events int
	err    error
}

// call sends a request and reads its stream to the end.
func (w *world) call(n *node, id string) *streamCall {
	c := &streamCall{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), streamTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/letters/1", strings.NewReader(id))
	if err != nil {
		c.err = err
		return c
	}
	request.GetBody = nil
	request.Host = "h.example"
	for name, value := range map[string]string{
		"X-Shelfshelf-Request-Id": id, "X-Shelfshelf-Request-Deadline": strconv.FormatInt(streamTime.Milliseconds(), 10),
		"X-Shelfshelf-Model": "m", "X-Shelfshelf-Token-Count": "1000,500", "X-Shelfshelf-Prompt-Prefix": "aa:60," + id[1:] + ":940",
		"Authorization": "Bearer key-of-a",
	} {
		request.Header.Set(name, value)
	}
	w.note("%s is sent to %s", id, n.name)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.err, c.ended = err, time.Now()
		w.note("%s ends without an answer: %v", id, err)
		return c
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			c.events++
		}
	}
	c.err, c.ended = lines.Err(), time.Now()
	w.note("%s: status %d, %d events, error %v", id, c.status, c.events, c.err)
	return c
}

// playSilence has a server preempt a stream of a process that stops. The stream is not to be broken off: a server's
// silence gives no reason to end an answer sooner.
func playSilence(w *world, trouble bool) error {
	w.trouble = trouble
	servers, n, err := w.setUpSilence()
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	calls := make([]*streamCall, len(servers)*serverPlaces)
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = w.call(n, fmt.Sprint("r1", i))
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(signalDelay)
	stopped := time.Now()
	if err := w.signal(n, syscall.SIGTERM); err != nil {
		return err
	}
	wait.Wait()
	return w.judge(calls, stopped)
}

func (w *world) setUpSilence() ([]*modelServer, *node, error) {
	err := w.put("op", "config", object{
		"Version": 1,
		"Routes": []object{{
			"Name": "letters", "Host": "h.example", "PathPrefix": "/letters/", "Kind": "streaming", "TimeoutMs": 15000, "GoalMs": 800,
			"Priority": 0, "Service": "models", "MaxAttempts": 2, "Public": false, "Affinity": true, "CanResume": true, "GapGoalMs": 400,
		}},
		"Services": []object{{"Name": "models", "HealthPath": "/health", "Engine": object{"Slots": serverPlaces, "Stride": 5}}},
		"Tenants":  []object{{"Name": "a", "ApiKeys": []string{"key-of-a"}}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return nil, nil, err
	}
	var servers []*modelServer
	for i := range 2 {
		s := &modelServer{world: w, id: fmt.Sprint("i-", i), preempts: i == 0, places: make(chan struct{}, serverPlaces), left: make(map[string]bool)}
		address, err := serve(s)
		if err != nil {
			return nil, nil, err
		}
		entry := object{"Service": "models", "Address": address, "Zone": "north", "Version": "v1", "Slots": serverPlaces, "State": "ready", "Sequence": 1}
		if err := w.put("servers", s.id, entry); err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
	}
	zones := map[string]string{"north": "land"}
	for i := range 2 {
		if _, err := w.addNode(fmt.Sprint("edge-north-", i+1), "north", zones); err != nil {
			return nil, nil, err
		}
	}
	return servers, w.nodes[0], w.awaitReady()
}

// judge looks for streams that ended without a complete answer although the process had read them, their servers went
// on, and their time was not over.
func (w *world) judge(calls []*streamCall, stopped time.Time) error {
	lost := 0
	for _, c := range calls {
		afterSignal := c.ended.Sub(stopped)
		switch {
		case c.err == nil && c.status == http.StatusOK:
			continue
		case c.status != http.StatusOK:
			return fmt.Errorf("%s was not served: status %d, %w", c.id, c.status, c.err)
		case c.ended.Sub(c.sent) < lossSlack, c.ended.Sub(c.sent) >= streamTime, afterSignal < 0, afterSignal >= lastSixthFrom:
			continue
		}
		lost++
		w.note("%s was broken off %v after the signal, after %d events", c.id, afterSignal.Round(time.Millisecond), c.events)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d of %d streams", errBroken, lost, len(calls))
	}
	return nil
}
