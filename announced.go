package shelfshelf

import (
	"math"
	"time"
)

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

// TargetWord is what an instance knows that a target has said of itself in its answers.
type TargetWord struct {
	Target TargetKey
	// Born is the life of the target that has said it; zero if targets don't tell their
	// lives. What a later life says goes before it, whatever it is.
	Born time.Time
	// Limit is how many requests the target takes.
	Limit RateLimit
	// Version grows with each change of the limit within a life; the highest counts, whatever
	// clocks say and however late a message is. It is 0 where no limit was ever named.
	Version uint64
	// Leaving says that the target is about to stop; it never takes that back within a life.
	Leaving bool
	// RestUntil is when the rest ends that the target has asked this instance for, which is no
	// word to others; it never ends sooner.
	RestUntil time.Time
}

// Announcements is what targets have said of themselves, at whichever instance. It is safe
// for concurrent use.
type Announcements interface {
	// Said returns what a target has said; only Target is set if it has said nothing.
	Said(target TargetKey) TargetWord
}
