package shelfshelf

import "time"

// Clock tells the time; clockwork's real and fake clocks both satisfy it.
type Clock interface {
	// Now returns the current instant.
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(d time.Duration) <-chan time.Time
}
