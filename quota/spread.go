package quota

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// spread is a use by equal parts of the window before an instant, the newest first.
type spread [shelfshelf.UseParts]float64

// sum returns the whole use.
func (s spread) sum() float64 {
	sum := 0.0
	for _, part := range s {
		sum += part
	}
	return sum
}

// scaled returns a use of another sum with the same shape; without a shape, an even one.
func (s spread) scaled(amount float64) spread {
	sum := s.sum()
	for i := range s {
		if sum > 0 {
			s[i] *= amount / sum
		} else {
			s[i] = amount / float64(len(s))
		}
	}
	return s
}

// plus adds two uses.
func (s spread) plus(other spread) spread {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// partOf is the length of a part of the window.
func partOf(window time.Duration) time.Duration { return window / shelfshelf.UseParts }
