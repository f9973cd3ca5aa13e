package shelfshelf

import "context"

// Row is one row of the platform's table service.
type Row struct {
	Key   string
	Value []byte
	// Version grows with each write of the row; 0 means the row is absent.
	Version uint64
}

// Put is one conditional write: it takes effect only at the given version.
type Put struct {
	Key   string
	Value []byte
	// IfVersion is the version that the row must have; 0 means absent.
	IfVersion uint64
	// Delete removes the row instead of writing it.
	Delete bool
}

// TableService is the platform's transactional table. Errors are ErrConflict,
// ErrAmbiguous or ErrUnavailable, possibly wrapped.
type TableService interface {
	// Get returns the row, with Version 0 if it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Transact does all the writes or none and returns the version that the written
	// rows have. A *ConflictError names those whose version did not match;
	// ErrAmbiguous means that they may have been done.
	Transact(ctx context.Context, puts []Put) (version uint64, err error)
	// Scan returns the rows whose keys begin with the prefix, in key order.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
}

// ObjectStore is the platform's store of immutable content.
type ObjectStore interface {
	// PutObject stores content and returns its SHA-256 in hexadecimal.
	PutObject(ctx context.Context, content []byte) (digest string, err error)
	// GetObject returns the content of that digest, verified.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// InstanceState is what the platform's list says of an instance.
type InstanceState uint8

// The states of an instance.
const (
	// InstanceLive means that the instance should be running.
	InstanceLive InstanceState = iota + 1
	// InstanceLeaving means that the instance is about to go.
	InstanceLeaving
)

// Instance is one line of the platform's list, which lags behind reality.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentre
	// Address is the instance's peer address, IP and port.
	Address string
	State   InstanceState
	// LinkMbps is what the link of the instance's machine carries, in Mbit/s; 0 if it is
	// not known.
	LinkMbps float64
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// Instances returns the list as the platform knows it.
	Instances(ctx context.Context) ([]Instance, error)
	// LeavingTargets returns the targets that the platform is about to stop.
	LeavingTargets(ctx context.Context) ([]TargetName, error)
}

// UseStore keeps what customers have used, for instances that start after all have
// ended.
type UseStore interface {
	// SaveUses replaces what is kept.
	SaveUses(ctx context.Context, uses []SavedUse) error
	// LoadUses returns what is kept; the error is ErrNotFound if nothing is.
	LoadUses(ctx context.Context) (SavedUses, error)
}
