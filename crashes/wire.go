package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

type (
	// Wire is the CBOR form of a crash in messages between instances.
	Wire struct {
		_  struct{} `cbor:",toarray"`
		ID uint64
		// Age is in nanoseconds.
		Age  int64
		Runs []WireRun
	}
	// WireRun is a request that the target was running.
	WireRun struct {
		_        struct{} `cbor:",toarray"`
		Request  uint64
		Outlived bool
	}
)

// The maximum encoded sizes, in bytes, of a crash without its runs and of a run.
const (
	crashBytes = 24
	runBytes   = 11
)

// WireSize returns the maximum encoded size of crashes in a message, in bytes.
func WireSize(crashes []shelfshelf.Crash) int {
	size := 0
	for _, crash := range crashes {
		size += wireSize(crash)
	}
	return size
}

func wireSize(crash shelfshelf.Crash) int { return crashBytes + runBytes*len(crash.Requests) }

// ToWire returns the message form of crashes.
func ToWire(crashes []shelfshelf.Crash) []Wire {
	wire := make([]Wire, len(crashes))
	for i, crash := range crashes {
		wire[i] = Wire{ID: uint64(crash.ID), Age: int64(crash.Age), Runs: make([]WireRun, len(crash.Requests))}
		for j, run := range crash.Requests {
			wire[i].Runs[j] = WireRun{Request: uint64(run.Request), Outlived: run.Cleared}
		}
	}
	return wire
}

// FromWire returns the crashes of a message.
func FromWire(wire []Wire) []shelfshelf.Crash {
	crashes := make([]shelfshelf.Crash, len(wire))
	for i, crash := range wire {
		crashes[i] = shelfshelf.Crash{
			ID: shelfshelf.CrashID(crash.ID), Age: time.Duration(crash.Age), Requests: make([]shelfshelf.InFlightRequest, len(crash.Runs)),
		}
		for j, run := range crash.Runs {
			crashes[i].Requests[j] = shelfshelf.InFlightRequest{Request: shelfshelf.Fingerprint(run.Request), Cleared: run.Outlived}
		}
	}
	return crashes
}
