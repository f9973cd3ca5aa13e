package overload

import (
	"context"
	"math"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxDelay is how long work may wait for the processor. A request takes some 20 turns, and a slot answer
	// is awaited for 40 ms.
	maxDelay = 20 * time.Millisecond
	// lateAfter is for how long measurements have to be above their bound before the instance counts as late. A
	// processor that is given as a share of each tenth of a second stands still for most of one, and a few long
	// prompts fill a link of 10 Mbit/s for 150 ms.
	lateAfter = 250 * time.Millisecond
	// probeInterval is the pause between two measurements while work is late.
	probeInterval = 10 * time.Millisecond
	// peakHalfLife is the half-life of the longest measurement.
	peakHalfLife = 200 * time.Millisecond
	// maxAllowance bounds how much longer others may take to answer while this instance is late.
	maxAllowance = 300 * time.Millisecond
	// idlePeriod is after how long without a connection or a request measurements end.
	idlePeriod = time.Second
)

// Meter measures how long work waits for the processor and, where connections to targets are slow, how long round trips
// to other instances take. The instance is late if either has taken too long for a while. Its fields are set before use.
// It is safe for concurrent use.
type Meter struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Processor is the machine's; nil means that of the Go runtime.
	Processor shelfshelf.Processor
	// OnMeasured, if set, is called with each delay.
	OnMeasured func(delay time.Duration)
	// Peers returns the addresses of other instances, of the own data centre if there are any.
	Peers func() []string
	// Dial opens a connection to another instance. If nil, the operating system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// work is what is measured of the processor, and trips what is measured of the links.
	work  series
	trips series
	// usedAt is when the instance last had something to do.
	usedAt time.Time
}

// series is a series of measurements of one kind.
type series struct {
	// bound is what a measurement may take.
	bound time.Duration
	// running says that measurements are made, and began when the current one began; zero between two of them.
	running bool
	began   time.Time
	// excessSince is when the first of the latest measurements began that were all above the bound, and excessUntil
	// when the last of them ended; zero if the latest one was not. excessCount is how many they are.
	excessSince time.Time
	excessUntil time.Time
	excessCount int
	longest     time.Duration
	// logged says that the log tells that the series shows that the instance is late.
	logged bool
	// peak is the longest of all measurements as of peakAt, from which it decays.
	peak   time.Duration
	peakAt time.Time
}

// start begins a measurement.
func (s *series) start(now time.Time) {
	s.running, s.began = true, now
}

// end ends the current measurement. The series goes on while they are above the bound.
func (s *series) end(now time.Time) {
	began := s.began
	took := now.Sub(began)
	s.began = time.Time{}
	s.peak, s.peakAt = max(took, s.decayedPeak(now)), now
	if took <= s.bound {
		s.reset()
		return
	}
	if s.excessSince.IsZero() {
		s.excessSince = began
	}
	s.excessUntil = now
	s.excessCount++
	s.longest = max(s.longest, took)
}

// reset ends the measurements without a result.
func (s *series) reset() {
	s.running, s.began = false, time.Time{}
	s.excessSince, s.excessUntil, s.excessCount, s.longest = time.Time{}, time.Time{}, 0, 0
}

// decayedPeak returns what is left of the longest measurement.
func (s *series) decayedPeak(now time.Time) time.Duration {
	left := math.Exp2(-float64(now.Sub(s.peakAt)) / float64(peakHalfLife))
	return time.Duration(float64(s.peak) * left)
}

// current returns how long the current measurement takes so far.
func (s *series) current(now time.Time) time.Duration {
	if s.began.IsZero() {
		return 0
	}
	return now.Sub(s.began)
}

// excess returns for how long measurements have been above the bound, the current one included once it is.
func (s *series) excess(now time.Time) time.Duration {
	since, until := s.excessSince, s.excessUntil
	if s.current(now) > s.bound {
		until = now
		if since.IsZero() {
			since = s.began
		}
	}
	return until.Sub(since)
}

// late returns for how long the series has shown that the instance is late; 0 if it doesn't. One measurement shows
// nothing: the process may have stood still.
func (s *series) late(now time.Time) time.Duration {
	seen := s.excessCount
	if s.current(now) > s.bound {
		seen++
	}
	if excess := s.excess(now); seen > 1 && excess >= lateAfter {
		return excess
	}
	return 0
}

// expected returns how long a measurement is expected to take at most.
func (s *series) expected(now time.Time) time.Duration {
	return max(s.decayedPeak(now), s.current(now))
}

// Measure begins a measurement of the processor unless one is under way.
func (m *Meter) Measure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedAt = m.Clock.Now()
	if !m.work.running {
		m.work.bound = maxDelay
		m.work.start(m.usedAt)
		go m.run()
	}
}

// run measures once, and again while work is late.
func (m *Meter) run() {
	for m.measure() {
		<-m.Clock.After(probeInterval)
		m.restart(&m.work)
	}
}

// measure measures once, and reports whether to go on.
func (m *Meter) measure() bool {
	m.yield()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.OnMeasured != nil {
		m.OnMeasured(m.work.current(now))
	}
	return m.end(&m.work, "processor", now)
}

// end ends the current measurement of a series and reports whether another one is to follow. The caller must hold
// m.mu.
func (m *Meter) end(s *series, what string, now time.Time) bool {
	s.end(now)
	if now.Sub(m.usedAt) > idlePeriod {
		s.reset()
	}
	m.logChange(s, what, now)
	return s.running
}

func (m *Meter) yield() {
	if m.Processor == nil {
		runtime.Gosched()
		return
	}
	m.Processor.Yield()
}

// restart begins the next measurement of a series.
func (m *Meter) restart(s *series) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.start(m.Clock.Now())
}

// Late returns for how long the instance has been late; 0 if it is not. strained says that the latest measurement
// was above its bound.
func (m *Meter) Late() (late time.Duration, strained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	late = max(m.work.late(now), m.trips.late(now))
	return late, m.work.excess(now) > 0 || m.trips.excess(now) > 0
}

// IsLate reports whether the instance is late.
func (m *Meter) IsLate() bool {
	late, _ := m.Late()
	return late > 0
}

// Allowance returns how much longer others may take to answer because this instance is late itself: a request and
// its answer each wait for the processor, and both for the links.
func (m *Meter) Allowance() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	return min(2*m.work.expected(now)+m.trips.expected(now), maxAllowance)
}

// logChange logs that the instance has become late, or no longer is. The caller must hold m.mu.
func (m *Meter) logChange(s *series, what string, now time.Time) {
	late := s.late(now)
	switch {
	case late > 0 && !s.logged:
		s.logged = true
		m.Log.Info("This instance is late.", "by", what, "since", late, "longest", s.longest)
	case s.excessSince.IsZero() && s.logged:
		s.logged = false
		m.Log.Info("This instance is no longer late.", "by", what)
	}
}
