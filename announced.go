package shelfshelf

import (
	"math"
	"time"
)

// RateLimit is the total request rate that a target accepts from all instances together. It applies for
// as long as the target's responses announce it.
type RateLimit struct {
	// Set is set if the target has announced a limit.
	Set bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// Valid reports whether the limit is a finite number that is not negative.
func (l RateLimit) Valid() bool {
	return !math.IsNaN(l.PerSecond) && !math.IsInf(l.PerSecond, 0) && l.PerSecond >= 0
}

// TargetAnnouncement is what an instance knows of the announcements that a target makes in its response
// headers: its rate limit, that it is shutting down, and a backoff.
type TargetAnnouncement struct {
	Target TargetKey
	// StartedAt is the start time of the target's process that made the announcement; zero if targets don't
	// report it. An announcement of a later process always replaces that of an earlier one.
	StartedAt time.Time
	// Limit is the rate limit that the target announced.
	Limit RateLimit
	// Version increases with each change of the limit by the same process. The highest version wins,
	// independent of clocks and of delayed messages. It is 0 if no limit was ever announced.
	Version uint64
	// Leaving is set once the target has announced that it is shutting down; the same process never
	// revokes that.
	Leaving bool
	// Brittle is how many requests the target may have to turn away in a second before it fails; 0 if it has
	// announced nothing of the kind. BrittleVersion increases with each change by the same process.
	Brittle        int
	BrittleVersion uint64
	// BackoffUntil is the end of the backoff that the target has asked of this instance alone, so it is not
	// passed on to other instances. It is never moved to an earlier time.
	BackoffUntil time.Time
}

// Announcements holds the announcements of targets that any instance has received. It is safe for
// concurrent use.
type Announcements interface {
	// Latest returns the current announcement of a target; only Target is set if there is none.
	Latest(target TargetKey) TargetAnnouncement
}
