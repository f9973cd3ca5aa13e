package shelfshelf

import "math"

// RateLimit is what a target takes from all instances together, for as long as its answers
// say so.
type RateLimit struct {
	// Named says that there is a limit.
	Named bool
	// PerSecond is how many requests a second it takes.
	PerSecond float64
}

// Valid reports that the limit is a number of requests that is not negative.
func (l RateLimit) Valid() bool {
	return !math.IsNaN(l.PerSecond) && !math.IsInf(l.PerSecond, 0) && l.PerSecond >= 0
}

// TargetLimit is what an instance knows of a target's limit.
type TargetLimit struct {
	Target TargetKey
	Limit  RateLimit
	// Version grows with each change of the target's word; the highest counts, whatever
	// clocks say and however late a message is. It is 0 where nothing is known.
	Version uint64
}

// AnnouncedLimits is what targets have announced, at whichever instance. It is safe for
// concurrent use.
type AnnouncedLimits interface {
	// Limit returns a target's limit; one that isn't named if it has none.
	Limit(target TargetKey) TargetLimit
}
