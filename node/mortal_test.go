package node_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// lapseAfter is how long the list still names an engine that is gone.
const lapseAfter = 900 * time.Millisecond

// mortals are engines whose processes end when they run a request with a deadly body,
// without a word, and are back after some time under another name at another address, or
// under their own at the same.
type mortals struct {
	f         *fleet
	pool      string
	events    int
	faults    fake.ServerFaults
	backAfter time.Duration
	sameName  bool

	mu sync.Mutex
	// ends are when a process ended, and runs when one ran a deadly request.
	ends []time.Time
	runs []time.Time
}

// serve starts so many engines.
func (m *mortals) serve(count int) {
	for i := range count {
		m.live(fmt.Sprint("e", i), "127.0.0.1:0", 1)
	}
}

// live starts an engine's process, a life of it, at an address.
func (m *mortals) live(engine, address string, life int) {
	name := fmt.Sprint(engine, "-", life)
	if m.sameName {
		name = engine
	}
	listener, err := net.Listen("tcp", address)
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
			next := "127.0.0.1:0"
			if m.sameName {
				next = listener.Addr().String()
			} else {
				time.AfterFunc(lapseAfter, func() { m.f.platform.Drop("servers", name) })
			}
			time.AfterFunc(m.backAfter, func() { m.live(engine, next, life+1) })
		})
	}
	server.SetFaults(m.faults)
	go func() { _ = process.Serve(listener) }()
	m.f.t.Cleanup(func() { _ = process.Close() })
	m.f.listLife(name, m.pool, listener.Addr().String(), int64(life))
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
