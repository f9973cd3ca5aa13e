package fake

import (
	"maps"
	"sync"

	"github.com/shelfshelf/shelfshelf"
)

// targetState is what the stand-ins of engines and of plain services have in common.
type targetState struct {
	mu      sync.Mutex
	runs    map[shelfshelf.RequestID]int
	leaving bool
}

func newTargetState() targetState {
	return targetState{runs: make(map[shelfshelf.RequestID]int)}
}

// SetLeaving says in the target's reports whether it wants no new work.
func (s *targetState) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Runs returns how many times each request was run.
func (s *targetState) Runs() map[shelfshelf.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}
