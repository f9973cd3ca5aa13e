package node_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// backAfter is how long an engine's process is away after its end, and lapseAfter how
	// long the list still names it.
	backAfter  = 300 * time.Millisecond
	lapseAfter = 900 * time.Millisecond
)

// mortals are engines whose processes end when they run a request with a deadly body,
// without a word, and are back under another name at another address.
type mortals struct {
	f      *fleet
	pool   string
	events int
	faults fake.ServerFaults

	mu sync.Mutex
	// ends are when a process ended, and runs when one ran a deadly request.
	ends []time.Time
	runs []time.Time
}

// serve starts so many engines.
func (m *mortals) serve(count int) {
	for i := range count {
		m.live(fmt.Sprint("e", i), 1)
	}
}

// live starts an engine's process, a life of it.
func (m *mortals) live(engine string, life int) {
	name := fmt.Sprint(engine, "-", life)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.f.t.Error(err)
		return
	}
	server := &fake.Server{ID: name, Events: m.events}
	process := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	var once sync.Once
	server.Die = func() {
		m.note(&m.runs)
		once.Do(func() {
			m.note(&m.ends)
			_ = process.Close()
			time.AfterFunc(backAfter, func() { m.live(engine, life+1) })
			time.AfterFunc(lapseAfter, func() { m.f.platform.Drop("servers", name) })
		})
	}
	server.SetFaults(m.faults)
	go func() { _ = process.Serve(listener) }()
	m.f.t.Cleanup(func() { _ = process.Close() })
	m.f.list(name, m.pool, listener.Addr().String(), "ready")
}

func (m *mortals) note(instants *[]time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*instants = append(*instants, time.Now())
}

// ended returns how many processes have ended, and when the one of a number did; zero if
// there have not been as many.
func (m *mortals) ended(number int) (count int, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ends) >= number {
		at = m.ends[number-1]
	}
	return len(m.ends), at
}

// runsAfter returns how many runs of a deadly request came after an instant.
func (m *mortals) runsAfter(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, run := range m.runs {
		if run.After(at) {
			count++
		}
	}
	return count
}
