package shelfshelf

import (
	"context"
	"time"
)

// CrashID names one end of a target's process; all instances that saw it agree on it.
type CrashID uint64

// Crash is the end of a target's process, without a word before, while it ran requests.
type Crash struct {
	ID CrashID
	// Age is how long ago it was.
	Age time.Duration
	// Runs are the requests that the target ran.
	Runs []CrashedRun
}

// CrashedRun is a request that ran at a target when it ended.
type CrashedRun struct {
	Request Fingerprint
	// Outlived says that another run of the request has come to its end since, so that
	// this end was not its doing.
	Outlived bool
}

// CrashStore keeps what is known of crashes, for instances that start after all have
// ended.
type CrashStore interface {
	// SaveCrashes replaces what is kept.
	SaveCrashes(ctx context.Context, crashes []Crash) error
	// LoadCrashes returns what is kept; the error is ErrNotFound if nothing is.
	LoadCrashes(ctx context.Context) ([]Crash, error)
}
