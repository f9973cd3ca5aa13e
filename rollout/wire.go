package rollout

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Wire is the CBOR form of a rollout in messages between instances.
type Wire struct {
	_        struct{} `cbor:",toarray"`
	Pool     string
	Revision uint64
	Version  string
	// Period, Age and Moving are in nanoseconds.
	Period int64
	Age    int64
	State  uint8
	Moving int64
	// Doubted is in nanoseconds too.
	Doubted int64
	Halted  bool
	Stored  uint64
	Barred  []string
}

// maxRolloutBytes bounds the encoded size of a rollout without its names, in bytes.
const maxRolloutBytes = 69

// WireSize returns an upper bound of the encoded size of rollouts in a message, in bytes.
func WireSize(rollouts []shelfshelf.Rollout) int {
	size := 0
	for _, r := range rollouts {
		size += maxRolloutBytes + len(r.Pool) + len(r.Version)
		for _, version := range r.BarredVersions {
			size += len(version) + 2
		}
	}
	return size
}

// ToWire converts rollouts to their form in messages.
func ToWire(rollouts []shelfshelf.Rollout) []Wire {
	wire := make([]Wire, len(rollouts))
	for i, r := range rollouts {
		wire[i] = Wire{
			Pool: string(r.Pool), Revision: r.Revision, Version: string(r.Version), Period: int64(r.Period),
			Age: int64(r.Age), State: uint8(r.State), Moving: int64(r.MovingFor), Doubted: int64(r.DoubtedUntil), Halted: r.Halted, Stored: r.RowVersion,
			Barred: convertNames[string](r.BarredVersions),
		}
	}
	return wire
}

// FromWire converts rollouts from their form in messages.
func FromWire(wire []Wire) []shelfshelf.Rollout {
	if len(wire) == 0 {
		return nil
	}
	rollouts := make([]shelfshelf.Rollout, len(wire))
	for i, w := range wire {
		rollouts[i] = shelfshelf.Rollout{
			Pool: shelfshelf.PoolName(w.Pool), Revision: w.Revision, Version: shelfshelf.TargetVersion(w.Version),
			Period: time.Duration(w.Period), Age: time.Duration(w.Age), State: shelfshelf.RolloutState(w.State),
			MovingFor: time.Duration(w.Moving), DoubtedUntil: time.Duration(w.Doubted), Halted: w.Halted, RowVersion: w.Stored,
			BarredVersions: convertNames[shelfshelf.TargetVersion](w.Barred),
		}
	}
	return rollouts
}

// convertNames converts names to another string type.
func convertNames[To, From ~string](names []From) []To {
	var converted []To
	for _, name := range names {
		converted = append(converted, To(name))
	}
	return converted
}
