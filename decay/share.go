package decay

import (
	"math"
	"time"
)

// Share counts how many of what was offered were served; both counts fade together. The
// zero value has seen nothing.
type Share struct {
	Offered float64
	Served  float64
	at      time.Time
}

// Decay brings the counts up to now: they halve every halfLife.
func (s *Share) Decay(now time.Time, halfLife time.Duration) {
	if !s.at.IsZero() {
		keep := math.Exp2(-float64(now.Sub(s.at)) / float64(halfLife))
		s.Offered *= keep
		s.Served *= keep
	}
	s.at = now
}

// Note counts one that was served or not; Fade comes first.
func (s *Share) Note(served bool) {
	s.Offered++
	if served {
		s.Served++
	}
}
