package shelfshelf

import "context"

// Row is one row of the platform's table service.
type Row struct {
	Key   string
	Value []byte
	// Version increases with each write of the row; 0 means that the row is absent.
	Version uint64
}

// Put is one conditional write: it takes effect only if the row has the given version.
type Put struct {
	Key   string
	Value []byte
	// IfVersion is the version that the row must have; 0 means that it must be absent.
	IfVersion uint64
	// Delete removes the row instead of writing it.
	Delete bool
}

// TableService is the platform's transactional table store. Errors are ErrConflict, ErrAmbiguous or
// ErrUnavailable, possibly wrapped.
type TableService interface {
	// Get returns the row, with Version 0 if it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Transact applies all writes or none and returns the new version of the written rows. A
	// *ConflictError holds the keys whose versions did not match; ErrAmbiguous means that the writes
	// may have taken effect.
	Transact(ctx context.Context, puts []Put) (version uint64, err error)
	// Scan returns the rows whose keys start with the prefix, in key order.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	// PutObject stores an object and returns its SHA-256 digest in hexadecimal.
	PutObject(ctx context.Context, content []byte) (digest string, err error)
	// GetObject returns the object with the given digest, after verifying it.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState uint8

// The states of an instance.
const (
	// InstanceLive means that the instance should be running.
	InstanceLive InstanceState = iota + 1
	// InstanceLeaving means that the instance is shutting down.
	InstanceLeaving
)

// Instance is one entry of the platform's list of instances, which may be out of date.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentre
	// Address is the instance's peer address, IP and port.
	Address string
	State   InstanceState
	// LinkMbps is the capacity of the network link of the instance's machine, in Mbit/s; 0 if it is not
	// known.
	LinkMbps float64
}

// KnownInstances is the instances that one of them knows. Complete says that it has learnt of all that are listed.
type KnownInstances struct {
	Instances []Instance
	Complete  bool
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) ([]Instance, error)
	// LeavingTargets returns the targets that the platform is about to shut down.
	LeavingTargets(ctx context.Context) ([]TargetName, error)
}

// UsageStore persists the usage of customers, for instances that start after all others have ended.
type UsageStore interface {
	// SaveUsage replaces the stored usage. The age of the given one is ignored: it is taken to be as of now.
	SaveUsage(ctx context.Context, usage SavedUsages) error
	// LoadUsage returns the stored usage; the error is ErrNotFound if none is stored.
	LoadUsage(ctx context.Context) (SavedUsages, error)
}
