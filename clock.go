package shelfshelf

import "time"

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Clock is a source of time; the real and fake clocks of clockwork implement it.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives a value once the duration has passed.
	After(d time.Duration) <-chan time.Time
}
