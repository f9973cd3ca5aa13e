package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// WireSize is the maximum encoded size of one announcement in a message, in bytes: that of two entries.
const WireSize = 72

// Wire is the CBOR form of an announcement in messages between instances.
type Wire struct {
	_         struct{} `cbor:",toarray"`
	Target    uint32
	Named     bool
	PerSecond float64
	Version   uint64
	Leaving   bool
	// Born is when the target's process started, in Unix milliseconds; 0 if that isn't known.
	Born int64
}

// ToWire returns the message form of announcements, or nil, which takes one byte, if there are none.
func ToWire(announcements []shelfshelf.TargetAnnouncement) []Wire {
	var wire []Wire
	for _, known := range announcements {
		w := Wire{
			Target: uint32(known.Target), Named: known.Limit.Set, PerSecond: known.Limit.PerSecond, Version: known.Version,
			Leaving: known.Leaving,
		}
		if !known.StartedAt.IsZero() {
			w.Born = known.StartedAt.UnixMilli()
		}
		wire = append(wire, w)
		if known.BrittleVersion > 0 {
			wire = append(wire, brittleToWire(known, w.Born))
		}
	}
	return wire
}

// brittleToWire returns the entry that tells how brittle a target is: instead of a rate it has the number of
// refusals, below zero and less one. Older builds drop an entry with such a rate.
func brittleToWire(known shelfshelf.TargetAnnouncement, born int64) Wire {
	return Wire{Target: uint32(known.Target), PerSecond: -float64(known.Brittle + 1), Version: known.BrittleVersion, Born: born}
}

// FromWire returns the announcements of a message. It drops those whose limit isn't a valid number.
func FromWire(wire []Wire) []shelfshelf.TargetAnnouncement {
	var announcements []shelfshelf.TargetAnnouncement
	for _, encoded := range wire {
		received := shelfshelf.TargetAnnouncement{
			Target: shelfshelf.TargetKey(encoded.Target), Limit: shelfshelf.RateLimit{Set: encoded.Named, PerSecond: encoded.PerSecond},
			Version: encoded.Version, Leaving: encoded.Leaving,
		}
		if encoded.Born != 0 {
			received.StartedAt = time.UnixMilli(encoded.Born)
		}
		if !encoded.Named && encoded.PerSecond <= -1 {
			received.Limit, received.Version = shelfshelf.RateLimit{}, 0
			received.Brittle, received.BrittleVersion = int(-encoded.PerSecond)-1, encoded.Version
		}
		if received.Limit.Valid() {
			announcements = append(announcements, received)
		}
	}
	return announcements
}
