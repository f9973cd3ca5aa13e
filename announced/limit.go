package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// limitTolerance is the relative difference up to which a limit counts as unchanged, so that a value
// that varies slightly from response to response is not reported each time.
const limitTolerance = 0.05

// noteLimit reports whether a response changes the known limit of its target's process. If the response
// repeats that limit, noteLimit updates limitSeenAt. The caller must hold the mutex of the Tracker.
func noteLimit(a *announcement, known shelfshelf.TargetAnnouncement, limit shelfshelf.RateLimit, sent, now time.Time) bool {
	switch {
	case limit.Set && sameLimit(known.Limit, limit):
		a.limitSeenAt = now
		return false
	case limit.Set:
		return true
	}
	return known.Limit.Set && sent.After(a.limitSeenAt)
}

// sameLimit reports whether two limits are equal within limitTolerance.
func sameLimit(known, limit shelfshelf.RateLimit) bool {
	if !known.Set {
		return false
	}
	lowest, highest := known.PerSecond*(1-limitTolerance), known.PerSecond*(1+limitTolerance)
	return limit.PerSecond >= lowest && limit.PerSecond <= highest
}

// supersedes reports whether a received limit replaces the known one. Of two limits with the same
// version, which were read concurrently, the smaller one wins.
func supersedes(received shelfshelf.TargetAnnouncement, a *announcement) bool {
	switch {
	case received.Version != a.Version:
		return received.Version > a.Version
	case received.Limit.Set != a.Limit.Set:
		return received.Limit.Set
	}
	return received.Limit.PerSecond < a.Limit.PerSecond
}
