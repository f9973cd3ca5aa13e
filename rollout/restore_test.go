package rollout

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// rolloutAt returns a rollout as stored at an epoch and a store version.
func rolloutAt(epoch, version uint64, to shelfshelf.TargetVersion, state shelfshelf.RolloutState) shelfshelf.Rollout {
	return shelfshelf.Rollout{
		Pool: "p", Version: to, Period: 20 * time.Second, Revision: shelfshelf.PositionOf(epoch, version), State: state,
	}
}

// knownRollout returns the rollout that the tracker knows for its pool.
func knownRollout(r *Tracker) shelfshelf.Rollout {
	known, _ := r.Snapshot()
	return known[0]
}

// A store that is restored from an older copy may contain a rollout's row at another store version, or
// the row of an earlier rollout. If these were taken for new rollouts, the first would try a rolled-back
// version again, and the second would undo a completed rollout.
func TestRolloutsSurviveStoreRestore(t *testing.T) {
	for name, c := range map[string]struct {
		known   []shelfshelf.Rollout
		rollout shelfshelf.Rollout
		want    shelfshelf.Rollout
	}{
		"ordered again": {
			[]shelfshelf.Rollout{rolloutAt(1, 50, "v2", shelfshelf.RolloutRolledBack)},
			rolloutAt(2, 28, "v2", shelfshelf.RolloutOrdered),
			rolloutAt(2, 28, "v2", shelfshelf.RolloutRolledBack),
		},
		"same row in the restored copy": {
			[]shelfshelf.Rollout{rolloutAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			rolloutAt(2, 50, "v2", shelfshelf.RolloutServing),
			rolloutAt(2, 50, "v2", shelfshelf.RolloutCompleted),
		},
		"replaced rollout in the restored copy": {
			[]shelfshelf.Rollout{rolloutAt(1, 30, "v1", shelfshelf.RolloutCompleted), rolloutAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			rolloutAt(2, 30, "v1", shelfshelf.RolloutServing),
			rolloutAt(1, 50, "v2", shelfshelf.RolloutCompleted),
		},
		"a new rollout after the restore": {
			[]shelfshelf.Rollout{rolloutAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			rolloutAt(2, 28, "v3", shelfshelf.RolloutOrdered),
			rolloutAt(2, 28, "v3", shelfshelf.RolloutOrdered),
		},
		"the same version ordered again in the same epoch": {
			[]shelfshelf.Rollout{rolloutAt(1, 50, "v2", shelfshelf.RolloutRolledBack)},
			rolloutAt(1, 60, "v2", shelfshelf.RolloutOrdered),
			rolloutAt(1, 60, "v2", shelfshelf.RolloutOrdered),
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestTracker(&manualClock{now: time.Unix(1000, 0)})
			for _, known := range c.known {
				r.Merge([]shelfshelf.Rollout{known}, known.Revision, "the store")
			}
			r.Merge([]shelfshelf.Rollout{c.rollout}, c.rollout.Revision, "the store")
			got := knownRollout(r)
			if got.Revision != c.want.Revision || got.Version != c.want.Version || got.State != c.want.State {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
