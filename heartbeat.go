package shelfshelf

import (
	"context"
	"time"
)

// Heartbeat is the state that two instances exchange periodically, in both directions.
type Heartbeat struct {
	From Instance
	// Incarnation increases each time an instance with the same name starts.
	Incarnation uint64
	// Head is the bundle in force at the sender.
	Head Head
	// StoreSeen is set if the sender knows when the store's head was last read, by itself or by another
	// instance. StoreAge is the time since that read.
	StoreSeen bool
	StoreAge  time.Duration
	// Leaving lists the targets that the sender knows to be shutting down.
	Leaving []TargetName
	// Known lists the instances from which the sender receives heartbeats.
	Known []Instance
	// Crashes are the crashes of targets that the sender has recently learnt of.
	Crashes []Crash
}

// Peers is the client for requests to other instances.
type Peers interface {
	// Heartbeat sends a heartbeat and returns that of the other instance.
	Heartbeat(ctx context.Context, to Instance, beat Heartbeat) (Heartbeat, error)
	// Ask requests a decision from the owner of a pool; errors are ErrOwnerUnreachable or that of the
	// context.
	Ask(ctx context.Context, to Instance, ask Ask) (Ticket, error)
	// Hold tells the new owner of a pool of a request that an earlier owner has granted. The returned
	// ticket holds the earlier decision.
	Hold(ctx context.Context, to Instance, ask Ask, decision Decision) (Ticket, error)
	// GetObject returns the signed bundle with the given digest.
	GetObject(ctx context.Context, to Instance, digest string) ([]byte, error)
}

// PeerHandler handles the requests of other instances.
type PeerHandler interface {
	// Heard processes another instance's heartbeat and returns that of this instance.
	Heard(beat Heartbeat) Heartbeat
	// AskOwner decides on a request that another instance received.
	AskOwner(ctx context.Context, ask Ask) (Decision, error)
	// HoldOwner registers a request of another instance that is in flight already.
	HoldOwner(ask Ask, target TargetName)
	// FirstTokenOwner and DoneOwner record the progress of another instance's request.
	FirstTokenOwner(pool PoolName, id RequestID)
	DoneOwner(pool PoolName, completion Completion)
	// Object returns the signed bundle with the given digest, if this instance has it.
	Object(digest string) ([]byte, bool)
}
