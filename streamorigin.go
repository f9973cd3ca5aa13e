package shelfshelf

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"
)

// ErrOriginUnknown means that nothing tells at which version a stream began, and that it can't be told from
// the versions that were listed.
var ErrOriginUnknown = errors.New("it is not known at which version the stream began")

// StreamKey identifies a stream over all attempts of its caller. It is a hash that callers can't choose, so
// that no request ID leads to the stream of another customer.
type StreamKey [16]byte

// KeyOfStream returns the key of a customer's stream in a pool, whose first event was brought by the given
// attempt; the customer is empty on public routes.
func KeyOfStream(customer CustomerName, pool PoolName, first RequestID) StreamKey {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + string(pool) + "\x00" + string(first)))
	return StreamKey(sum[:len(StreamKey{})])
}

// StreamOrigin says at which version a stream began.
type StreamOrigin struct {
	Key  StreamKey
	Pool PoolName
	// Version is that of the target that sent the first event.
	Version TargetVersion
	// Lifetime is for how long the caller may still take the stream up.
	Lifetime time.Duration
}

// OriginBasis is what a FoundOrigin is known by.
type OriginBasis uint8

// What an origin is known by.
const (
	// OriginRecorded means that this instance has a record of the stream.
	OriginRecorded OriginBasis = iota + 1
	// OriginAsked means that another instance has one.
	OriginAsked
	// OriginOnlyVersion means that the pool has had targets of one version only for as long as streams last.
	OriginOnlyVersion
)

// String returns the text used in logs and metrics.
func (b OriginBasis) String() string {
	switch b {
	case OriginRecorded:
		return "recorded here"
	case OriginAsked:
		return "another instance"
	case OriginOnlyVersion:
		return "only version"
	}
	return "unspecified"
}

// FoundOrigin is the version at which a stream may go on.
type FoundOrigin struct {
	Version TargetVersion
	Basis   OriginBasis
	// Asked and Answered count the other instances that were asked, and those that answered.
	Asked    int
	Answered int
	// StoreAsked says that the history of versions in the store was needed, StoreAnswered that the store answered.
	StoreAsked    bool
	StoreAnswered bool
}

// StreamOrigins remembers at which versions streams began. It is safe for concurrent use.
type StreamOrigins interface {
	// Begun records where a stream began, before its first event goes to the caller.
	Begun(origin StreamOrigin)
	// Find returns the version at which a stream that a caller takes up may go on. First is the attempt that
	// the caller names; empty if it names none. The error is ErrOriginUnknown; the counts of the result are
	// set then too.
	Find(ctx context.Context, customer CustomerName, pool PoolName, first RequestID) (FoundOrigin, error)
}

// VersionHistory tells which versions the targets of each pool ran lately.
type VersionHistory struct {
	// KnownFor is for how long no version can have been missed.
	KnownFor time.Duration
	// Pools maps pools and versions to how long ago the version was last listed, 0 if it still is.
	Pools map[PoolName]map[TargetVersion]time.Duration
}

// VersionStore keeps the history of versions, which outlives all instances.
type VersionStore interface {
	// SaveVersions replaces the history.
	SaveVersions(ctx context.Context, history VersionHistory) error
	// LoadVersions returns the history with its ages as of now; the error is ErrNotFound if there is none.
	LoadVersions(ctx context.Context) (VersionHistory, error)
}
