package shelfshelf

import (
	"context"
	"time"
)

// Heartbeat is what instances tell each other every so often, both ways.
type Heartbeat struct {
	From Instance
	// Incarnation grows each time an instance with the same name starts.
	Incarnation uint64
	// Head is the bundle in force at the sender.
	Head Head
	// StoreSeen says that the sender knows of a read of the store's head, by itself
	// or by another instance, StoreAge ago.
	StoreSeen bool
	StoreAge  time.Duration
	// Leaving lists targets that the sender knows to be leaving.
	Leaving []TargetName
	// Known lists the instances that the sender hears.
	Known []Instance
	// Crashes are ends of targets of which the sender has learnt lately.
	Crashes []Crash
}

// Peers is the way to other instances.
type Peers interface {
	// Heartbeat sends one and returns the other side's.
	Heartbeat(ctx context.Context, to Instance, beat Heartbeat) (Heartbeat, error)
	// Ask asks the owner of a pool; errors are ErrOwnerUnreachable or the
	// context's.
	Ask(ctx context.Context, to Instance, ask Ask) (Ticket, error)
	// Hold tells a new owner of a request that an earlier one has granted. The
	// ticket carries the decision given.
	Hold(ctx context.Context, to Instance, ask Ask, decision Decision) (Ticket, error)
	// GetObject fetches a signed bundle by its digest.
	GetObject(ctx context.Context, to Instance, digest string) ([]byte, error)
}

// PeerHandler is what an instance does for others.
type PeerHandler interface {
	// Heard takes another instance's heartbeat and returns ours.
	Heard(beat Heartbeat) Heartbeat
	// AskOwner decides on another entry's request.
	AskOwner(ctx context.Context, ask Ask) (Decision, error)
	// HoldOwner counts another entry's request that is in flight already.
	HoldOwner(ask Ask, target TargetName)
	// FirstTokenOwner and DoneOwner go on with another entry's request.
	FirstTokenOwner(pool PoolName, id RequestID)
	DoneOwner(pool PoolName, completion Completion)
	// Object returns a signed bundle by its digest, if this instance has it.
	Object(digest string) ([]byte, bool)
}
