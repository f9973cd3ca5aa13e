package fake

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/transport"
)

// Service is a plain service over HTTP: it answers any call after its declared
// time and records what it ran.
type Service struct {
	Clock  shelfshelf.Clock
	Target shelfshelf.Target

	targetState
	keys     map[string]int
	slowdown float64
	running  int
	waiting  int
	slots    chan struct{}
	dropped  int
}

// NewService returns an idle service for a target.
func NewService(clock shelfshelf.Clock, target shelfshelf.Target) *Service {
	return &Service{
		Clock:       clock,
		Target:      target,
		targetState: newTargetState(),
		keys:        make(map[string]int),
		slowdown:    1,
		slots:       make(chan struct{}, max(target.Slots, 1)),
	}
}

// SetSlowdown changes the service's speed.
func (s *Service) SetSlowdown(slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = slowdown
}

// DropAnswers makes the service run so many of the next calls and then cut the
// connection without an answer.
func (s *Service) DropAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = count
}

// KeyRuns returns how many times a call with each Idempotency-Key was run.
func (s *Service) KeyRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.keys)
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	s.count(&s.waiting, 1)
	s.slots <- struct{}{}
	s.count(&s.waiting, -1)
	s.count(&s.running, 1)
	defer func() {
		s.count(&s.running, -1)
		<-s.slots
	}()
	id := shelfshelf.RequestID(r.Header.Get(transport.HeaderRequestID))
	pause, drop := s.begin(id, r.Header.Get("Idempotency-Key"))
	<-s.Clock.After(pause)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(transport.HeaderRequestID, string(id))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"request":%q,"path":%q,"bytes":%d}`+"\n", s.Target.Name, id, r.URL.Path, len(body))
}

// begin records a run; drop says that its answer is to be lost.
func (s *Service) begin(id shelfshelf.RequestID, key string) (pause time.Duration, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if key != "" {
		s.keys[key]++
	}
	if s.dropped > 0 {
		s.dropped--
		drop = true
	}
	return time.Duration(float64(s.Target.StepTime) * s.slowdown), drop
}

func (s *Service) count(counter *int, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += change
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := shelfshelf.LoadReport{
		Target:           s.Target.Name,
		At:               s.Clock.Now(),
		Running:          s.running,
		Waiting:          s.waiting,
		StepTime:         time.Duration(float64(s.Target.StepTime) * s.slowdown),
		ExpectedStepTime: s.Target.StepTime,
		Leaving:          s.leaving,
	}
	s.mu.Unlock()
	writeJSON(w, engine.LoadToWire(report, s.Clock.Now()))
}
