package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// WireSize is the maximum encoded size of one announcement in a message, in bytes.
const WireSize = 36

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
func ToWire(announcements []shelfshelf.TargetWord) []Wire {
	var wire []Wire
	for _, known := range announcements {
		w := Wire{
			Target: uint32(known.Target), Named: known.Limit.Named, PerSecond: known.Limit.PerSecond, Version: known.Version,
			Leaving: known.Leaving,
		}
		if !known.Born.IsZero() {
			w.Born = known.Born.UnixMilli()
		}
		wire = append(wire, w)
	}
	return wire
}

// FromWire returns the announcements of a message. It drops those whose limit isn't a valid number.
func FromWire(wire []Wire) []shelfshelf.TargetWord {
	var announcements []shelfshelf.TargetWord
	for _, encoded := range wire {
		received := shelfshelf.TargetWord{
			Target: shelfshelf.TargetKey(encoded.Target), Limit: shelfshelf.RateLimit{Named: encoded.Named, PerSecond: encoded.PerSecond},
			Version: encoded.Version, Leaving: encoded.Leaving,
		}
		if encoded.Born != 0 {
			received.Born = time.UnixMilli(encoded.Born)
		}
		if received.Limit.Valid() {
			announcements = append(announcements, received)
		}
	}
	return announcements
}
