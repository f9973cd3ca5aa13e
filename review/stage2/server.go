package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	// ended is when the answer was written or the caller had left; zero if the server ended before.
	ended time.Time
	// unframed says that the answer lacks a length.
	unframed bool
}

// server is a server of a plain service: it works for a fixed time and answers.
type server struct {
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	http    *http.Server
	over    atomic.Bool
	leaves  atomic.Bool

	mu       sync.Mutex
	arrivals []*arrival
}

func newServer(id, service, zone string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: listener.Addr().String(), work: work}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// row is the server's entry in the store.
func (s *server) row(state string) map[string]any {
	return map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": 6, "State": state, "ColdMs": 0, "Sequence": 1,
	}
}

// end ends the server's process: nothing listens any more, and open connections close.
func (s *server) end() {
	s.over.Store(true)
	_ = s.http.Close()
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("X-Shelfshelf-Instance-Id", s.id)
		if s.leaves.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Shelfshelf-Request-Id")
	w.Header().Set("X-Shelfshelf-Request-Id", id)
	if r.Header.Get("X-Shelfshelf-Expect-Instance") != s.id {
		w.Header().Set("X-Shelfshelf-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: id, server: s.id, at: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(s.work):
	}
	if s.over.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Shelfshelf-Response-Signature", s.id+"."+id)
	body := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	s.mu.Lock()
	a.ended = time.Now()
	s.mu.Unlock()
}

// all returns what has arrived.
func (s *server) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		list[i] = *a
	}
	return list
}
