package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// noteBrittle reports whether a response changes how brittle its target's process is known to be. If the
// response repeats what is known, noteBrittle updates brittleSeenAt. The caller must hold the mutex of the
// Tracker.
func noteBrittle(a *announcement, known shelfshelf.TargetAnnouncement, brittle int, sent, now time.Time) bool {
	switch {
	case brittle > 0 && brittle == known.Brittle:
		a.brittleSeenAt = now
		return false
	case brittle > 0:
		return true
	}
	return known.Brittle > 0 && sent.After(a.brittleSeenAt)
}

// brittleSupersedes reports whether what was received of a target's brittleness replaces what is known. Of two
// announcements with the same version, which were read concurrently, the more cautious one wins.
func brittleSupersedes(received shelfshelf.TargetAnnouncement, a *announcement) bool {
	if received.BrittleVersion != a.BrittleVersion {
		return received.BrittleVersion > a.BrittleVersion
	}
	return received.Brittle > 0 && (a.Brittle == 0 || received.Brittle < a.Brittle)
}

// BrittleCount returns the number of brittle targets.
func (t *Tracker) BrittleCount() int {
	return t.count(func(a *announcement) bool { return a.Brittle > 0 })
}
