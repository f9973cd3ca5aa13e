package shelfshelf

import (
	"context"
	"time"
)

// CrashID identifies one crash of a target's process; all instances that observed it derive the same
// ID.
type CrashID uint64

// Crash is the unannounced end of a target's process while it had requests in flight.
type Crash struct {
	ID CrashID
	// Age is the time since the crash.
	Age time.Duration
	// Requests are the requests that were in flight at the target.
	Requests []InFlightRequest
}

// InFlightRequest is a request that was in flight at a target when the target crashed.
type InFlightRequest struct {
	Request Fingerprint
	// Cleared is set if another run of the request has completed since, so that the request is not the
	// cause of the crash.
	Cleared bool
}

// CrashStore persists the known crashes for instances that start after all others have ended.
type CrashStore interface {
	// SaveCrashes replaces the stored crashes.
	SaveCrashes(ctx context.Context, crashes []Crash) error
	// LoadCrashes returns the stored crashes; the error is ErrNotFound if none are stored.
	LoadCrashes(ctx context.Context) ([]Crash, error)
}
