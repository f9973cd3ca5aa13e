package rollout

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// orderAt is an order as the store has it at an era and a version.
func orderAt(era, version uint64, to shelfshelf.TargetVersion, state shelfshelf.RolloutState) shelfshelf.Rollout {
	return shelfshelf.Rollout{
		Pool: "p", Version: to, Period: 20 * time.Second, Revision: shelfshelf.PositionOf(era, version), State: state,
	}
}

// stateOfPool returns what is known of the pool's order.
func stateOfPool(r *Record) shelfshelf.Rollout {
	told, _ := r.Told()
	return told[0]
}

// A store that comes back from an older copy has an order's row again under another version, or
// the row of an order before it. Taken for another order, the first would try a version that was
// rolled back once more, and the second would take back one that is completed.
func TestOrdersOutliveAnOlderCopy(t *testing.T) {
	for name, c := range map[string]struct {
		known []shelfshelf.Rollout
		word  shelfshelf.Rollout
		want  shelfshelf.Rollout
	}{
		"written again": {
			[]shelfshelf.Rollout{orderAt(1, 50, "v2", shelfshelf.RolloutRolledBack)},
			orderAt(2, 28, "v2", shelfshelf.RolloutOrdered),
			orderAt(2, 28, "v2", shelfshelf.RolloutRolledBack),
		},
		"as it was in the copy": {
			[]shelfshelf.Rollout{orderAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			orderAt(2, 50, "v2", shelfshelf.RolloutServing),
			orderAt(2, 50, "v2", shelfshelf.RolloutCompleted),
		},
		"an order before it, in the copy": {
			[]shelfshelf.Rollout{orderAt(1, 30, "v1", shelfshelf.RolloutCompleted), orderAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			orderAt(2, 30, "v1", shelfshelf.RolloutServing),
			orderAt(1, 50, "v2", shelfshelf.RolloutCompleted),
		},
		"a new order after it": {
			[]shelfshelf.Rollout{orderAt(1, 50, "v2", shelfshelf.RolloutCompleted)},
			orderAt(2, 28, "v3", shelfshelf.RolloutOrdered),
			orderAt(2, 28, "v3", shelfshelf.RolloutOrdered),
		},
		"the same order once more, in the same era": {
			[]shelfshelf.Rollout{orderAt(1, 50, "v2", shelfshelf.RolloutRolledBack)},
			orderAt(1, 60, "v2", shelfshelf.RolloutOrdered),
			orderAt(1, 60, "v2", shelfshelf.RolloutOrdered),
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRecord(&stillClock{now: time.Unix(1000, 0)})
			for _, known := range c.known {
				r.Heard([]shelfshelf.Rollout{known}, known.Revision, "the store")
			}
			r.Heard([]shelfshelf.Rollout{c.word}, c.word.Revision, "the store")
			got := stateOfPool(r)
			if got.Revision != c.want.Revision || got.Version != c.want.Version || got.State != c.want.State {
				t.Errorf("%+v, not %+v", got, c.want)
			}
		})
	}
}
