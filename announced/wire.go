package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// WireSize bounds the size of one word in a message, in bytes.
const WireSize = 36

// Wire is what a target has said of itself as instances tell it.
type Wire struct {
	_         struct{} `cbor:",toarray"`
	Target    uint32
	Named     bool
	PerSecond float64
	Version   uint64
	Leaving   bool
	// Born is in Unix milliseconds, 0 if it isn't known.
	Born int64
}

// ToWire returns the form in which words are told; nil, of one byte, if there are none.
func ToWire(words []shelfshelf.TargetWord) []Wire {
	var wire []Wire
	for _, told := range words {
		w := Wire{
			Target: uint32(told.Target), Named: told.Limit.Named, PerSecond: told.Limit.PerSecond, Version: told.Version,
			Leaving: told.Leaving,
		}
		if !told.Born.IsZero() {
			w.Born = told.Born.UnixMilli()
		}
		wire = append(wire, w)
	}
	return wire
}

// FromWire leaves out words whose limits are no number of requests.
func FromWire(wire []Wire) []shelfshelf.TargetWord {
	var words []shelfshelf.TargetWord
	for _, told := range wire {
		word := shelfshelf.TargetWord{
			Target: shelfshelf.TargetKey(told.Target), Limit: shelfshelf.RateLimit{Named: told.Named, PerSecond: told.PerSecond},
			Version: told.Version, Leaving: told.Leaving,
		}
		if told.Born != 0 {
			word.Born = time.UnixMilli(told.Born)
		}
		if word.Limit.Valid() {
			words = append(words, word)
		}
	}
	return words
}
