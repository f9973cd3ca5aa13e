package shelfshelf

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the store no longer has the changes asked for; the
// whole must be read again.
var ErrHistoryGone = errors.New("history of changes is gone")

// Configuration is a bundle without targets, as an operator has put it in force.
type Configuration struct {
	Revision Revision
	Bundle   *Bundle
	// Encoded is the form that instances hand to each other.
	Encoded []byte
	// Flaws are the fields that can't be read, of a configuration that is in force all the same.
	Flaws []Flaw
}

// Flaw is a field of a configuration that can't be read.
type Flaw struct {
	// Place is the field, with the name of what it belongs to, such as route r1: Homes.
	Place string
	// Reason says what is wrong.
	Reason error
	// Effect says what holds instead.
	Effect string
}

// ConfigurationUpdate is the answer to one read of the configuration.
type ConfigurationUpdate struct {
	// Configuration is nil if nothing has changed.
	Configuration *Configuration
	// Rollouts are orders to move pools that were read, with how far they have come; with
	// none newer that had been given when the source stood at Cursor.
	Rollouts []Rollout
	// Evacuations are what was read of data centres to evacuate.
	Evacuations EvacuationUpdate
	// UnreadableOrders are entries that should be orders and aren't.
	UnreadableOrders []UnreadableOrder
	// Cursor is where the next read goes on.
	Cursor uint64
}

// UnreadableOrder is an entry among the orders that orders nothing.
type UnreadableOrder struct {
	Name string
	// Reason says what is wrong, with the field.
	Reason error
}

// TargetsUpdate is the answer to one read of the list of targets.
type TargetsUpdate struct {
	// Whole says that Changed is the whole list.
	Whole   bool
	Changed []Target
	Removed []TargetName
	// Unreadable are entries that name no target to use.
	Unreadable []UnreadableTarget
	// Version orders the lists: a list with a greater one is newer.
	Version uint64
	// Cursor is where the next read goes on.
	Cursor uint64
}

// UnreadableTarget is an entry of the list that names no target to use, as another writer
// may leave it.
type UnreadableTarget struct {
	Name TargetName
	// Reason says what is wrong, with the field.
	Reason error
}

// CatalogSource is where configuration and targets are kept. Errors are
// ErrHistoryGone or ErrUnavailable, possibly wrapped. A read ends by itself when the
// source falls silent, however long an answer that goes on may take.
type CatalogSource interface {
	// ReadConfiguration returns the configuration as it stands.
	ReadConfiguration(ctx context.Context) (ConfigurationUpdate, error)
	// AwaitConfiguration waits for one after the cursor, at most so long.
	AwaitConfiguration(ctx context.Context, cursor uint64, wait time.Duration) (ConfigurationUpdate, error)
	// ReadTargets returns all targets.
	ReadTargets(ctx context.Context) (TargetsUpdate, error)
	// AwaitTargets waits for changes after the cursor, at most so long.
	AwaitTargets(ctx context.Context, cursor uint64, wait time.Duration) (TargetsUpdate, error)
	// DecodeConfiguration reads the form that instances hand to each other.
	DecodeConfiguration(encoded []byte) (*Configuration, error)
}

// InstanceDirectory is where instances leave their addresses for each other.
type InstanceDirectory interface {
	// Announce writes this instance's address into a part of the directory.
	Announce(ctx context.Context, part string, instance Instance) error
	// InstancesIn returns all that have announced themselves in a part, some long gone.
	InstancesIn(ctx context.Context, part string) ([]Instance, error)
}
