package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

type (
	// Wire is a crash as instances tell it to each other, in CBOR.
	Wire struct {
		_  struct{} `cbor:",toarray"`
		ID uint64
		// Age is in nanoseconds.
		Age  int64
		Runs []WireRun
	}
	// WireRun is a run of such a crash.
	WireRun struct {
		_        struct{} `cbor:",toarray"`
		Request  uint64
		Outlived bool
	}
)

// The most bytes that a crash, without its runs, and one run take so.
const (
	crashBytes = 24
	runBytes   = 11
)

// WireSize bounds the size of crashes in a message, in bytes.
func WireSize(crashes []shelfshelf.Crash) int {
	size := 0
	for _, crash := range crashes {
		size += wireSize(crash)
	}
	return size
}

func wireSize(crash shelfshelf.Crash) int { return crashBytes + runBytes*len(crash.Runs) }

// ToWire returns crashes in the form of messages.
func ToWire(crashes []shelfshelf.Crash) []Wire {
	wire := make([]Wire, len(crashes))
	for i, crash := range crashes {
		wire[i] = Wire{ID: uint64(crash.ID), Age: int64(crash.Age), Runs: make([]WireRun, len(crash.Runs))}
		for j, run := range crash.Runs {
			wire[i].Runs[j] = WireRun{Request: uint64(run.Request), Outlived: run.Outlived}
		}
	}
	return wire
}

// FromWire reads crashes from the form of messages.
func FromWire(wire []Wire) []shelfshelf.Crash {
	crashes := make([]shelfshelf.Crash, len(wire))
	for i, crash := range wire {
		crashes[i] = shelfshelf.Crash{
			ID: shelfshelf.CrashID(crash.ID), Age: time.Duration(crash.Age), Runs: make([]shelfshelf.CrashedRun, len(crash.Runs)),
		}
		for j, run := range crash.Runs {
			crashes[i].Runs[j] = shelfshelf.CrashedRun{Request: shelfshelf.Fingerprint(run.Request), Outlived: run.Outlived}
		}
	}
	return crashes
}
