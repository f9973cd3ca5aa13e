package overload

import (
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxDelay is how long work may wait for the processor. A request takes some 20 turns, and a slot answer
	// is awaited for 40 ms.
	maxDelay = 30 * time.Millisecond
	// lateAfter is how long work has to wait for longer than maxDelay before the instance counts as late. A
	// processor that is given as a share of each tenth of a second stands still for most of one.
	lateAfter = 120 * time.Millisecond
	// probeInterval is the pause between two measurements while work is late.
	probeInterval = 10 * time.Millisecond
)

// Meter measures how long work waits for the processor, and tells whether the instance is late: whether work has
// waited for too long in each measurement of the last while. Its fields are set before use. It is safe for
// concurrent use.
type Meter struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Processor is the machine's; nil means that of the Go runtime.
	Processor shelfshelf.Processor
	// OnMeasured, if set, is called with each delay.
	OnMeasured func(delay time.Duration)

	mu sync.Mutex
	// running says that the loop runs, and began when its current measurement began.
	running bool
	began   time.Time
	// excessSince is when the first of the latest measurements began that were all above maxDelay; zero if the
	// latest one was not.
	excessSince time.Time
	lateSince   time.Time
	longest     time.Duration
}

// Measure begins a measurement unless one is under way.
func (m *Meter) Measure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		m.running = true
		m.began = m.Clock.Now()
		go m.run()
	}
}

// run measures once, and again while work is late.
func (m *Meter) run() {
	for m.measure() {
		<-m.Clock.After(probeInterval)
		m.mu.Lock()
		m.began = m.Clock.Now()
		m.mu.Unlock()
	}
}

// measure measures once, and reports whether to go on.
func (m *Meter) measure() bool {
	m.yield()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	delay := now.Sub(m.began)
	if m.OnMeasured != nil {
		m.OnMeasured(delay)
	}
	if delay > maxDelay {
		m.recordExcess(now, delay)
	} else {
		m.recordInTime(now)
	}
	m.running = !m.excessSince.IsZero()
	return m.running
}

func (m *Meter) yield() {
	if m.Processor == nil {
		runtime.Gosched()
		return
	}
	m.Processor.Yield()
}

// recordExcess records a measurement above maxDelay. The caller must hold m.mu.
func (m *Meter) recordExcess(now time.Time, delay time.Duration) {
	m.longest = max(m.longest, delay)
	if m.excessSince.IsZero() {
		m.excessSince = m.began
		return
	}
	if m.lateSince.IsZero() && now.Sub(m.excessSince) >= lateAfter {
		m.lateSince = m.excessSince
		m.Log.Info("Work waits for the processor.", "delay", delay, "longest", m.longest, "since", now.Sub(m.excessSince))
	}
}

// recordInTime records a measurement of at most maxDelay. The caller must hold m.mu.
func (m *Meter) recordInTime(now time.Time) {
	if !m.lateSince.IsZero() {
		m.Log.Info("Work no longer waits for the processor.", "longest", m.longest, "lateFor", now.Sub(m.lateSince))
	}
	m.excessSince, m.lateSince, m.longest = time.Time{}, time.Time{}, 0
}
