package announced

import "github.com/shelfshelf/shelfshelf"

// WireSize bounds the size of one limit in a message, in bytes.
const WireSize = 26

// Wire is what is known of a target's limit as instances tell it.
type Wire struct {
	_         struct{} `cbor:",toarray"`
	Target    uint32
	Named     bool
	PerSecond float64
	Version   uint64
}

// ToWire returns the form in which limits are told; nil, of one byte, if there are none.
func ToWire(limits []shelfshelf.TargetLimit) []Wire {
	var wire []Wire
	for _, told := range limits {
		wire = append(wire, Wire{
			Target: uint32(told.Target), Named: told.Limit.Named, PerSecond: told.Limit.PerSecond, Version: told.Version,
		})
	}
	return wire
}

// FromWire leaves out limits that are no number of requests.
func FromWire(wire []Wire) []shelfshelf.TargetLimit {
	var limits []shelfshelf.TargetLimit
	for _, told := range wire {
		limit := shelfshelf.RateLimit{Named: told.Named, PerSecond: told.PerSecond}
		if limit.Valid() {
			limits = append(limits, shelfshelf.TargetLimit{Target: shelfshelf.TargetKey(told.Target), Limit: limit, Version: told.Version})
		}
	}
	return limits
}
