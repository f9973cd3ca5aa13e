package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// earlierKept is how many orders before its last one a pool is known by: a copy of the store is
// some seconds old, in which an operator gives one or two.
const earlierKept = 8

// returned takes an order of a later era of the store than what is known: the same one, which was
// written again or stands in the copy under another position, goes on as it is, which is news. One
// that the known order has replaced, and that the copy has still, is stale. The lock is held.
func (o *order) returned(word shelfshelf.Rollout) (news, stale bool) {
	if shelfshelf.EraOf(word.Revision) <= shelfshelf.EraOf(o.word.Revision) {
		return false, false
	}
	if slices.ContainsFunc(o.earlier, func(earlier shelfshelf.Rollout) bool { return sameRow(earlier, word) }) {
		return false, true
	}
	if o.word.Version != word.Version || o.word.Period != word.Period {
		return false, false
	}
	o.word.Revision = word.Revision
	o.evidence.Revision = word.Revision
	// What was written down of it is gone with its row's version.
	o.word.Stored = 0
	o.unsaved = o.word.State != shelfshelf.RolloutOrdered
	return true, false
}

// Unsaved returns the orders that have to be written down again, since the store has come back from
// a copy without them.
func (r *Record) Unsaved() []shelfshelf.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var unsaved []shelfshelf.Rollout
	for _, o := range r.orders {
		if o.unsaved {
			unsaved = append(unsaved, o.as(now))
		}
	}
	return unsaved
}

// saved notes that an order is written down again.
func (r *Record) saved(word shelfshelf.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[word.Pool]; o != nil && o.word.Revision == word.Revision {
		o.unsaved = false
	}
}

// restorePause is the time between two tries to write orders down again.
const restorePause = time.Second

// restore writes orders down again that the store has lost with what was written since its copy,
// so that the operator reads how far they are and an instance that starts finds it. One of all
// instances does; the others take it for done.
func (k *Keeper) restore(ctx context.Context, leads bool) {
	for _, word := range k.Record.Unsaved() {
		if !leads {
			k.Record.saved(word)
			continue
		}
		saving, cancel := context.WithTimeout(ctx, saveTimeout)
		stored, err := k.Store.SaveRollout(saving, word)
		cancel()
		switch {
		case err == nil:
			word.Stored = stored
			k.Record.saved(word)
			k.Record.Heard([]shelfshelf.Rollout{word}, 0, "own write")
			k.Log.Info("An order is written down again.", "pool", word.Pool, "version", word.Version, "state", word.State)
		case errors.Is(err, shelfshelf.ErrConflict), errors.Is(err, shelfshelf.ErrAmbiguous):
			k.reload(ctx, word)
		default:
			k.Log.Warn("An order can't be written down again yet.", "pool", word.Pool, "error", err)
		}
	}
}

// sameRow reports that two words are of the same row of the store, whatever its era.
func sameRow(a, b shelfshelf.Rollout) bool {
	return shelfshelf.VersionOf(a.Revision) == shelfshelf.VersionOf(b.Revision) && a.Version == b.Version && a.Period == b.Period
}

// replacing returns the orders that a new one replaces, the last ones first.
func replacing(known *order) []shelfshelf.Rollout {
	if known == nil {
		return nil
	}
	earlier := append([]shelfshelf.Rollout{known.word}, known.earlier...)
	return earlier[:min(len(earlier), earlierKept)]
}
