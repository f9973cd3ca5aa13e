package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	signatureName = "X-Shelfshelf-Response-Signature"
	notRunName    = "X-Shelfshelf-Not-Executed"
	healthPath    = "/health"
	// longestWork bounds a request that names no deadline.
	longestWork = 15 * time.Second
)

// server is a server as the pages describe a sound one: it works on so many requests at once and queues a few, answers
// health checks and reports, tells its load, and says which requests it did not run.
type server struct {
	id      string
	service string
	engine  bool
	slots   int
	queue   int64
	places  chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	// note writes to the record.
	note func(format string, args ...any)
	// work does the request's work and answers it.
	work func(s *server, rw http.ResponseWriter, r *http.Request, id string)
	// answers counts the answers of a server that spoils some, and spoiled those that it has spoiled.
	answers atomic.Int64
	spoiled atomic.Int64
}

func (w *world) newServer(id, service string, slots, queue int, work func(*server, http.ResponseWriter, *http.Request, string)) *server {
	return &server{id: id, service: service, slots: slots, queue: int64(queue), places: make(chan struct{}, slots), note: w.note, work: work}
}

// row is its entry in the store.
func (s *server) row(address string) object {
	entry := object{"Service": s.service, "Address": address, "Zone": "north", "Version": "v1", "Slots": s.slots, "State": "ready", "Sequence": 1}
	if s.engine {
		entry["Stage"] = "both"
		entry["Models"] = models()
	}
	return entry
}

func models() []object {
	return []object{{"Name": "m", "Version": 1, "Adapters": []string{}}}
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Shelfshelf-Request-Id")
	health := r.Method == http.MethodGet && r.URL.Path == healthPath
	expected := r.Header.Get("X-Shelfshelf-Expect-Instance")
	if id != "" {
		rw.Header().Set("X-Shelfshelf-Request-Id", id)
	}
	switch {
	case health:
		rw.Header().Set("X-Shelfshelf-Instance-Id", s.id)
	case s.engine && r.Method == http.MethodGet && r.URL.Path == "/-/report":
		s.report(rw)
		return
	case strings.HasPrefix(r.URL.Path, "/-/"):
		rw.WriteHeader(http.StatusNotFound)
		return
	case id == "":
		s.refuse(rw, http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		rw.Header().Set("X-Shelfshelf-Instance-Id", s.id)
		s.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), given(r))
	defer cancel()
	if !s.enter(ctx) {
		s.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.tellLoad(rw)
	if health {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.note("%s runs %s", s.id, id)
	s.work(s, rw, r.WithContext(ctx), id)
}

// given is the time that the request names for its work.
func given(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Shelfshelf-Request-Deadline"))
	if err != nil {
		return longestWork
	}
	return time.Duration(ms) * time.Millisecond
}

// enter takes a slot, and waits for one if few others do. It reports false if the request isn't run.
func (s *server) enter(ctx context.Context) bool {
	select {
	case s.places <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queue {
		return false
	}
	select {
	case s.places <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) leave() {
	s.running.Add(-1)
	<-s.places
}

func (s *server) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set(notRunName, "1")
	s.tellLoad(rw)
	rw.WriteHeader(status)
}

func (s *server) tellLoad(rw http.ResponseWriter) {
	rw.Header().Set("X-Shelfshelf-Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
}

func (s *server) report(rw http.ResponseWriter) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(object{
		"Stage": "both", "Models": models(), "BusySlots": false, "Sequence": 0, "QueueDepth": s.waiting.Load(),
		"Running": s.running.Load(), "KvUsed": 0, "KvTotal": 571007, "Handles": 0,
	})
}

// rest lasts as long as the work does, and reports whether it came to its end before the caller left and the time was over.
func rest(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// answerPlain works on a plain request and answers it, signed.
func answerPlain(s *server, rw http.ResponseWriter, r *http.Request, id string) {
	answerNamed(s, rw, r, id, signatureName)
}

// answerNamed does the same under the given name of the signature's header.
func answerNamed(s *server, rw http.ResponseWriter, r *http.Request, id, name string) {
	if !rest(r, plainWork) {
		rw.Header().Set(signatureName, s.id+"."+id)
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	rw.Header().Set(name, s.id+"."+id)
	_, _ = io.WriteString(rw, strings.Repeat("x", plainBodyBytes))
}
