package fake

import "time"

// full reports that all places are taken, and notes the refusal. Too many of them in a second count as a fall.
func (s *Server) full(faults ServerFaults) bool {
	if faults.Places == 0 || s.running() < faults.Places {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refusals = append(s.refusals, now)
	if recent := len(s.refusals) - 1 - faults.Brittle; faults.Brittle > 0 && recent >= 0 && now.Sub(s.refusals[recent]) < time.Second {
		s.falls++
		s.refusals = nil
	}
	return true
}

// Falls returns how often it had to turn away more requests in a second than it outlasts.
func (s *Server) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls
}

// ForgetFalls forgets falls and refusals.
func (s *Server) ForgetFalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals, s.falls = nil, 0
}
