package shelfshelf

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the store no longer has the requested changes, so that everything must be
// read again.
var ErrHistoryGone = errors.New("history of changes is gone")

// Configuration is a bundle without targets, as put in force by an operator.
type Configuration struct {
	Revision Revision
	Bundle   *Bundle
	// Encoded is the encoding in which instances exchange the configuration.
	Encoded []byte
	// InvalidFields are the fields that can't be decoded. They don't prevent the configuration from being
	// applied.
	InvalidFields []InvalidField
}

// InvalidField is a field of a configuration that can't be decoded.
type InvalidField struct {
	// Field names the field and what it belongs to, such as "route r1: AllowedRegions".
	Field string
	// Reason is the decoding error.
	Reason error
	// Effect describes what applies instead.
	Effect string
}

// ConfigurationUpdate is the result of one read of the configuration.
type ConfigurationUpdate struct {
	// Configuration is nil if nothing has changed.
	Configuration *Configuration
	// Rollouts are the rollouts that were read, with their progress. They include the newest of all that
	// had been ordered as of the source's position Cursor.
	Rollouts []Rollout
	// Evacuations holds the changes to the evacuated data centres.
	Evacuations EvacuationUpdate
	// InvalidRollouts are the rollout entries that can't be decoded.
	InvalidRollouts []InvalidRollout
	// Cursor is the position from which the next read continues.
	Cursor uint64
}

// InvalidRollout is a rollout entry that can't be decoded.
type InvalidRollout struct {
	Name string
	// Reason is the error, including the name of the field.
	Reason error
}

// TargetsUpdate is the result of one read of the list of targets.
type TargetsUpdate struct {
	// Full is set if Changed is the full list, not only the changes.
	Full    bool
	Changed []Target
	Removed []TargetName
	// Invalid are the entries that don't decode to a usable target.
	Invalid []InvalidTarget
	// Version orders the lists: a newer list has a greater version.
	Version uint64
	// Cursor is the position from which the next read continues.
	Cursor uint64
}

// InvalidTarget is an entry of the list that doesn't decode to a usable target. Other programs write
// to the list too.
type InvalidTarget struct {
	Name TargetName
	// Reason is the error, including the name of the field.
	Reason error
}

// CatalogSource is the store of the configuration and the targets. Errors are ErrHistoryGone or
// ErrUnavailable, possibly wrapped. A read has an idle timeout but no total one: it fails when the
// source stops sending, however long a response that makes progress may take.
type CatalogSource interface {
	// ReadConfiguration returns the current configuration.
	ReadConfiguration(ctx context.Context) (ConfigurationUpdate, error)
	// AwaitConfiguration waits up to the given time for a configuration newer than the cursor.
	AwaitConfiguration(ctx context.Context, cursor uint64, wait time.Duration) (ConfigurationUpdate, error)
	// ReadTargets returns all targets.
	ReadTargets(ctx context.Context) (TargetsUpdate, error)
	// AwaitTargets waits up to the given time for changes after the cursor.
	AwaitTargets(ctx context.Context, cursor uint64, wait time.Duration) (TargetsUpdate, error)
	// DecodeConfiguration decodes the encoding in which instances exchange the configuration.
	DecodeConfiguration(encoded []byte) (*Configuration, error)
}

// InstanceDirectory is where instances register their addresses for each other.
type InstanceDirectory interface {
	// Announce registers this instance's address in a part of the directory.
	Announce(ctx context.Context, part string, instance Instance) error
	// InstancesIn returns all instances registered in a part, including some that ended long ago.
	InstancesIn(ctx context.Context, part string) ([]Instance, error)
}
