package decay

import (
	"math"
	"testing"
	"time"
)

func TestSharesFade(t *testing.T) {
	t.Parallel()
	const halfLife = 2 * time.Second
	var s Share
	now := time.Now()
	for i := range 4 {
		s.Decay(now, halfLife)
		s.Note(i > 0)
	}
	s.Decay(now.Add(halfLife), halfLife)
	if s.Offered != 2 || s.Served != 1.5 {
		t.Errorf("after one half-life: %+v", s)
	}
	s.Decay(now.Add(2*halfLife), halfLife)
	if math.Abs(s.Offered-1) > 1e-9 || math.Abs(s.Served-0.75) > 1e-9 {
		t.Errorf("after two: %+v", s)
	}
}
