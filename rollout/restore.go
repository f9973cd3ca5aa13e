package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// maxReplacedKept is how many replaced rollouts are remembered per pool. A restored copy of the store
// is a few seconds old, and an operator orders one or two rollouts in that time.
const maxReplacedKept = 8

// adoptRestored handles a received rollout from a later epoch of the store, which begins when the store
// is restored from an older copy. If it is the tracked rollout, ordered again or found in the copy at
// another position, the tracked state continues under the new revision, and changed is true. If it is
// one that the tracked rollout had replaced and that the copy still contains, stale is true. The caller
// must hold the mutex of the Tracker.
func (tracked *trackedRollout) adoptRestored(rollout shelfshelf.Rollout) (changed, stale bool) {
	if shelfshelf.EpochOf(rollout.Revision) <= shelfshelf.EpochOf(tracked.rollout.Revision) {
		return false, false
	}
	if slices.ContainsFunc(tracked.replaced, func(replaced shelfshelf.Rollout) bool { return sameRow(replaced, rollout) }) {
		return false, true
	}
	if tracked.rollout.Version != rollout.Version || tracked.rollout.Period != rollout.Period {
		return false, false
	}
	tracked.rollout.Revision = rollout.Revision
	tracked.evidence.Revision = rollout.Revision
	// The state that was stored for the previous revision is lost.
	tracked.rollout.RowVersion = 0
	tracked.unsaved = tracked.rollout.State != shelfshelf.RolloutOrdered
	return true, false
}

// Unsaved returns the rollouts whose state has to be stored again, because the store was restored from
// an older copy without it.
func (t *Tracker) Unsaved() []shelfshelf.Rollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var unsaved []shelfshelf.Rollout
	for _, tracked := range t.rollouts {
		if tracked.unsaved {
			unsaved = append(unsaved, tracked.current(now))
		}
	}
	return unsaved
}

// markSaved notes that the state of a rollout is stored again.
func (t *Tracker) markSaved(rollout shelfshelf.Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.rollouts[rollout.Pool]; tracked != nil && tracked.rollout.Revision == rollout.Revision {
		tracked.unsaved = false
	}
}

// saveAgainPause is the time between two attempts to store the states again.
const saveAgainPause = time.Second

// saveAgain stores the rollout states that were lost when the store was restored from an older copy,
// for the operator and for instances that start later. Only the leading instance writes; the others
// assume that it does.
func (c *Controller) saveAgain(ctx context.Context, leads bool) {
	for _, rollout := range c.Tracker.Unsaved() {
		if !leads {
			c.Tracker.markSaved(rollout)
			continue
		}
		saveCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		stored, err := c.Store.SaveRollout(saveCtx, rollout)
		cancel()
		switch {
		case err == nil:
			rollout.RowVersion = stored
			c.Tracker.markSaved(rollout)
			c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "own write")
			c.Log.Info("Stored the rollout state again after a store restore.", "pool", rollout.Pool, "version", rollout.Version, "state", rollout.State)
		case errors.Is(err, shelfshelf.ErrConflict), errors.Is(err, shelfshelf.ErrAmbiguous):
			c.reload(ctx, rollout)
		default:
			c.Log.Warn("Could not store the rollout state again yet.", "pool", rollout.Pool, "error", err)
		}
	}
}

// sameRow reports whether two rollouts come from the same row of the store, whatever their epochs.
func sameRow(a, b shelfshelf.Rollout) bool {
	return shelfshelf.VersionOf(a.Revision) == shelfshelf.VersionOf(b.Revision) && a.Version == b.Version && a.Period == b.Period
}

// replacedRollouts returns the rollouts that a new one replaces, latest first.
func replacedRollouts(known *trackedRollout) []shelfshelf.Rollout {
	if known == nil {
		return nil
	}
	replaced := append([]shelfshelf.Rollout{known.rollout}, known.replaced...)
	return replaced[:min(len(replaced), maxReplacedKept)]
}
