package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/fake"
)

// store is the platform's store, the project's own stand-in.
type store struct {
	platform *fake.Platform
	server   *http.Server
	address  string
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{platform: fake.NewPlatform(clockwork.NewRealClock()), address: listener.Addr().String()}
	handler := s.platform.Handler()
	s.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&plainWriter{ResponseWriter: w}, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// plainWriter leaves out the one header of the stand-in that the pages of the small deployments don't name.
type plainWriter struct {
	http.ResponseWriter
}

// WriteHeader sends the header.
func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// put writes a row and returns when the store had taken it.
func (s *store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.platform.Put(table, key, content)
	return time.Now()
}

// drop removes a row and returns when the store had done so.
func (s *store) drop(table, key string) time.Time {
	s.platform.Drop(table, key)
	return time.Now()
}

// link is a proxy between one machine and the store.
type link struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	silent   map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l := &link{target: target, address: "127.0.0.1:0", open: make(map[net.Conn]bool), silent: make(map[net.Conn]bool)}
	return l, l.mend()
}

// mend opens the address.
func (l *link) mend() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.address = listener.Addr().String()
	l.mu.Unlock()
	go l.loop(listener)
	return nil
}

// cut resets all open connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// silence makes the open connections silent for good, without a reset; new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		l.silent[conn] = true
	}
}

func (l *link) isSilent(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[conn]
}

func (l *link) loop(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mu.Lock()
		l.open[near], l.open[far] = true, true
		l.mu.Unlock()
		go l.run(near, far)
		go l.run(far, near)
	}
}

// run copies one way.
func (l *link) run(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		l.mu.Lock()
		delete(l.open, from)
		delete(l.silent, from)
		l.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilent(from) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
