package bundle

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// ErrRaced means that another operator has rolled a bundle in between.
var ErrRaced = errors.New("another bundle was rolled in between")

// ErrUncertain means that a roll may or may not have been accepted.
var ErrUncertain = errors.New("it is not known whether the bundle was accepted")

const (
	headKey   = "bundle/head"
	logPrefix = "bundle/log/"
	// keysPrefix begins the rows that name each change of approvers, so that a
	// fresh instance can follow the chain of trust without reading every bundle.
	keysPrefix = "bundle/keys/"

	rollTries = 10
	rollPause = 200 * time.Millisecond
	maxLog    = 100000
)

// Entry is one accepted bundle in the log.
type Entry struct {
	Head shelfshelf.Head
	Name string
	// By is the operator who rolled it.
	By string
	At time.Time
	// RollbackOf is the revision whose content was rolled again; 0 if none.
	RollbackOf shelfshelf.Revision
	nonce      string
}

type wireHead struct {
	Revision   uint64    `json:"revision"`
	Digest     string    `json:"digest"`
	Name       string    `json:"name"`
	By         string    `json:"by"`
	At         time.Time `json:"at"`
	RollbackOf uint64    `json:"rollbackOf,omitempty"`
	Nonce      string    `json:"nonce"`
}

func (e *Entry) encode() []byte {
	encoded, err := json.Marshal(wireHead{
		Revision:   uint64(e.Head.Revision),
		Digest:     e.Head.Digest,
		Name:       e.Name,
		By:         e.By,
		At:         e.At,
		RollbackOf: uint64(e.RollbackOf),
		Nonce:      e.nonce,
	})
	if err != nil {
		panic(err) // the fields above always encode
	}
	return encoded
}

func decodeEntry(content []byte) (Entry, error) {
	var wire wireHead
	if err := json.Unmarshal(content, &wire); err != nil {
		return Entry{}, eris.Wrap(err, "unreadable bundle head")
	}
	return Entry{
		Head:       shelfshelf.Head{Revision: shelfshelf.Revision(wire.Revision), Digest: wire.Digest},
		Name:       wire.Name,
		By:         wire.By,
		At:         wire.At,
		RollbackOf: shelfshelf.Revision(wire.RollbackOf),
		nonce:      wire.Nonce,
	}, nil
}

// Store keeps bundles in the platform.
type Store struct {
	Clock   shelfshelf.Clock
	Table   shelfshelf.TableService
	Objects shelfshelf.ObjectStore
	// Trust are the approvers from settings and how many must sign; they are the
	// beginning of the chain of trust.
	Trust Trust
	// Nonce returns a new unguessable name for a roll.
	Nonce func() string
}

// Trust is who must sign a bundle.
type Trust struct {
	Approvers []shelfshelf.Approver
	Threshold int
}

// Head returns the log entry of the bundle in force; ok is false if none was
// ever rolled.
func (s *Store) Head(ctx context.Context) (_ Entry, ok bool, _ error) {
	entry, version, err := s.head(ctx)
	return entry, version > 0, err
}

func (s *Store) head(ctx context.Context) (Entry, uint64, error) {
	row, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Entry{}, 0, eris.Wrap(err, "read bundle head")
	}
	if row.Version == 0 {
		return Entry{}, 0, nil
	}
	entry, err := decodeEntry(row.Value)
	return entry, row.Version, err
}

// Load returns a signed bundle by its digest and its parsed content; signatures
// are not checked.
func (s *Store) Load(ctx context.Context, digest string) (*Signed, *shelfshelf.Bundle, error) {
	encoded, err := s.Objects.GetObject(ctx, digest)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read bundle %s", digest)
	}
	return Open(encoded)
}

// Open decodes and parses a signed bundle; signatures are not checked.
func Open(encoded []byte) (*Signed, *shelfshelf.Bundle, error) {
	signed, err := DecodeSigned(encoded)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := Parse("bundle", signed.Content)
	if err != nil {
		return nil, nil, err
	}
	return signed, parsed, nil
}

// CurrentTrust follows the chain of approver changes from the settings to now.
func (s *Store) CurrentTrust(ctx context.Context) (Trust, error) {
	return s.TrustBefore(ctx, nil)
}

// TrustBefore is CurrentTrust before a bundle that itself may be the latest change
// of approvers; with nil, before none.
func (s *Store) TrustBefore(ctx context.Context, stop *Signed) (Trust, error) {
	rows, err := s.Table.Scan(ctx, keysPrefix, maxLog)
	if err != nil {
		return Trust{}, eris.Wrap(err, "read approver changes")
	}
	trust := s.Trust
	for _, row := range rows {
		entry, err := decodeEntry(row.Value)
		if err != nil {
			return Trust{}, err
		}
		signed, parsed, err := s.Load(ctx, entry.Head.Digest)
		if err != nil {
			return Trust{}, err
		}
		if stop != nil && bytes.Equal(stop.Content, signed.Content) {
			break
		}
		if err := signed.Verify(trust.Approvers, trust.Threshold); err != nil {
			return Trust{}, eris.Wrapf(err, "approver change at revision %d", entry.Head.Revision)
		}
		trust = TrustOf(parsed)
	}
	return trust, nil
}

// TrustOf returns who must sign the bundle after this one.
func TrustOf(parsed *shelfshelf.Bundle) Trust {
	return Trust{Approvers: parsed.Approvers, Threshold: parsed.Threshold}
}

func (t Trust) equal(other Trust) bool {
	return t.Threshold == other.Threshold && slices.EqualFunc(t.Approvers, other.Approvers,
		func(a, b shelfshelf.Approver) bool {
			return a.Name == b.Name && hex.EncodeToString(a.PublicKey) == hex.EncodeToString(b.PublicKey)
		})
}

// Roll puts a signed bundle in force as the next revision. Errors: ErrSignature,
// ErrRaced with nothing changed, ErrUncertain, or the store's.
func (s *Store) Roll(ctx context.Context, signed *Signed, by string) (Entry, error) {
	return s.roll(ctx, signed, by, 0)
}

// Rollback rolls the content of an earlier revision again, as a new revision.
func (s *Store) Rollback(ctx context.Context, to shelfshelf.Revision, by string) (Entry, error) {
	earlier, err := s.Entry(ctx, to)
	if err != nil {
		return Entry{}, err
	}
	signed, _, err := s.Load(ctx, earlier.Head.Digest)
	if err != nil {
		return Entry{}, err
	}
	return s.roll(ctx, signed, by, to)
}

// Entry returns the log entry of a revision.
func (s *Store) Entry(ctx context.Context, revision shelfshelf.Revision) (Entry, error) {
	row, err := s.Table.Get(ctx, logKey(revision))
	if err != nil {
		return Entry{}, eris.Wrap(err, "read bundle log")
	}
	if row.Version == 0 {
		return Entry{}, eris.Wrapf(shelfshelf.ErrNotFound, "revision %d", revision)
	}
	return decodeEntry(row.Value)
}

// Log returns all entries, the oldest first.
func (s *Store) Log(ctx context.Context) ([]Entry, error) {
	rows, err := s.Table.Scan(ctx, logPrefix, maxLog)
	if err != nil {
		return nil, eris.Wrap(err, "read bundle log")
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeEntry(row.Value)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func logKey(revision shelfshelf.Revision) string {
	return fmt.Sprintf("%s%012d", logPrefix, revision)
}

func (s *Store) roll(ctx context.Context, signed *Signed, by string, rollbackOf shelfshelf.Revision) (Entry, error) {
	parsed, err := Parse("bundle", signed.Content)
	if err != nil {
		return Entry{}, err
	}
	current, version, err := s.head(ctx)
	if err != nil {
		return Entry{}, err
	}
	trust, err := s.CurrentTrust(ctx)
	if err != nil {
		return Entry{}, err
	}
	if err := signed.Verify(trust.Approvers, trust.Threshold); err != nil {
		return Entry{}, err
	}
	encoded, err := signed.Encode()
	if err != nil {
		return Entry{}, err
	}
	digest, err := s.Objects.PutObject(ctx, encoded)
	if err != nil {
		return Entry{}, eris.Wrap(err, "store bundle")
	}
	entry := Entry{
		Head:       shelfshelf.Head{Revision: current.Head.Revision + 1, Digest: digest},
		Name:       parsed.Name,
		By:         by,
		At:         s.Clock.Now().UTC(),
		RollbackOf: rollbackOf,
		nonce:      s.Nonce(),
	}
	puts := []shelfshelf.Put{
		{Key: headKey, Value: entry.encode(), IfVersion: version},
		{Key: logKey(entry.Head.Revision), Value: entry.encode()},
	}
	if !trust.equal(TrustOf(parsed)) {
		key := fmt.Sprintf("%s%012d", keysPrefix, entry.Head.Revision)
		puts = append(puts, shelfshelf.Put{Key: key, Value: entry.encode()})
	}
	return s.commit(ctx, entry, puts)
}

// commit moves the head. A lost answer is read back: the log row of the
// revision tells whose roll took effect.
func (s *Store) commit(ctx context.Context, entry Entry, puts []shelfshelf.Put) (Entry, error) {
	uncertain := false
	for range rollTries {
		_, err := s.Table.Transact(ctx, puts)
		if err == nil {
			return entry, nil
		}
		if errors.Is(err, shelfshelf.ErrUnavailable) && !uncertain {
			return Entry{}, eris.Wrap(err, "nothing was rolled")
		}
		if !errors.Is(err, shelfshelf.ErrUnavailable) {
			uncertain = true
		}
		stored, err := s.Entry(ctx, entry.Head.Revision)
		switch {
		case err == nil && stored.nonce == entry.nonce:
			return entry, nil
		case err == nil:
			return Entry{}, eris.Wrapf(ErrRaced, "revision %d is %q, rolled by %s", stored.Head.Revision, stored.Name, stored.By)
		}
		select {
		case <-ctx.Done():
			return Entry{}, eris.Wrapf(ErrUncertain, "revision %d, digest %s", entry.Head.Revision, entry.Head.Digest)
		case <-s.Clock.After(rollPause):
		}
	}
	return Entry{}, eris.Wrapf(ErrUncertain, "revision %d, digest %s", entry.Head.Revision, entry.Head.Digest)
}
