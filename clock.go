package shelfshelf

import "time"

// Later returns the later of two instants.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Clock tells the time; clockwork's real and fake clocks both satisfy it.
type Clock interface {
	// Now returns the current instant.
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(d time.Duration) <-chan time.Time
}
