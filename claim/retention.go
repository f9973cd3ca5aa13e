package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// KeepSettled is how long a finished or released claim is kept, and so how long
	// a retry gets the stored answer.
	KeepSettled = 7 * 24 * time.Hour
	// KeepHeld is how long a claim is kept whose call may have run. A key must not
	// be used again after that long.
	KeepHeld = 90 * 24 * time.Hour
	// sweepPeriod is the time between looks at one part of the claims.
	sweepPeriod  = time.Minute
	sweepTimeout = 10 * time.Second
	// sweepRows bounds one look, and so one transaction.
	sweepRows = 100
	// partCount is how many parts a customer's claims are looked at in, by the
	// first two digits of their keys' hashes.
	partCount = 256
)

// Sweeper deletes old claims, a part at a time, so that the table does not grow
// for ever. Two sweepers at once do no harm: a row is deleted only at the version
// that was read.
type Sweeper struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Table shelfshelf.TableService
	// Mine reports whether this instance is the one to sweep.
	Mine func() bool
	// Customers returns the customers whose claims to look at.
	Customers func() []shelfshelf.CustomerName
}

// Run sweeps until the context ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(sweepPeriod):
		}
		customers := s.Customers()
		if len(customers) == 0 || !s.Mine() {
			continue
		}
		customer := customers[rand.IntN(len(customers))]
		s.sweep(ctx, fmt.Sprintf("%s%s/%02x", keyPrefix, customer, rand.IntN(partCount)))
	}
}

// sweep deletes what is old in one part.
func (s *Sweeper) sweep(ctx context.Context, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.Table.Scan(ctx, prefix, sweepRows)
	if err != nil {
		return
	}
	var old []shelfshelf.Put
	for _, stored := range rows {
		if s.expired(stored) {
			old = append(old, shelfshelf.Put{Key: stored.Key, IfVersion: stored.Version, Delete: true})
		}
	}
	if len(old) == 0 {
		return
	}
	_, err = s.Table.Transact(ctx, old)
	if err != nil && !errors.Is(err, shelfshelf.ErrConflict) {
		s.Log.Debug("Old claims could not be deleted.", "error", err)
		return
	}
	s.Log.Info("Old claims were deleted.", "count", len(old))
}

// expired reports whether a claim is old enough; one that can't be read stays.
func (s *Sweeper) expired(stored shelfshelf.Row) bool {
	found, err := decodeRow(stored.Value)
	if err != nil {
		return false
	}
	age := s.Clock.Now().Sub(found.at)
	if found.state == stateHeld {
		return age > KeepHeld
	}
	return age > KeepSettled
}
