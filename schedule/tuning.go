package schedule

import "time"

// Tuning holds the constants of the shelfshelf policy. docs/SCHEDULING.md has
// the measurement behind each.
type Tuning struct {
	// ReserveShare is the share of an engine's slots that the lowest tier leaves
	// free for the tiers above it; those in between leave less.
	ReserveShare float64
	// PrefillAhead bounds the prompt work that may stand before a new request on
	// one engine, at the engine's observed speed.
	PrefillAhead time.Duration
	// PrefillAheadLowest is the same for the lowest tier.
	PrefillAheadLowest time.Duration
	// RecomputeWeight is how much a second of repeated prompt reading counts
	// beside a second of delay.
	RecomputeWeight float64
	// ParkShare is the share of its slack that a request may wait for an engine
	// that holds its prompt.
	ParkShare float64
	// ParkMost bounds that wait.
	ParkMost time.Duration
	// ParkTokens is the least held prompt, in tokens, worth waiting for.
	ParkTokens int
	// SlowFrom is the observed slowdown from which an engine gets fewer slots.
	SlowFrom float64
	// AgedEvery lets one aged request go ahead of higher tiers each so many grants.
	AgedEvery int
	// GrantValid is how long a grant may be unused.
	GrantValid time.Duration
	// MaxWaiting bounds the line; above it the lowest tier is shed.
	MaxWaiting int
	// Candidates is how many of the least loaded engines are weighed.
	Candidates int
	// ScanLimit bounds how many requests one decision looks past.
	ScanLimit int
}

// DefaultTuning returns the constants that run by default.
func DefaultTuning() Tuning {
	return Tuning{
		ReserveShare:       0.15,
		PrefillAhead:       400 * time.Millisecond,
		PrefillAheadLowest: 150 * time.Millisecond,
		RecomputeWeight:    2,
		ParkShare:          0.3,
		ParkMost:           3 * time.Second,
		ParkTokens:         1024,
		SlowFrom:           1.5,
		AgedEvery:          16,
		GrantValid:         2 * time.Second,
		MaxWaiting:         20000,
		Candidates:         16,
		ScanLimit:          128,
	}
}
