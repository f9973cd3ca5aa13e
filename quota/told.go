package quota

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// told is what others have told last of their use in the window.
type told struct {
	incarnation uint64
	at          time.Time
	// settled says that it comes from one who has seen a whole window.
	settled bool
	uses    map[shelfshelf.CustomerKey]spread
	// ended is what was told of instances that have ended or are silent, and instances
	// how many the word is of.
	ended     map[shelfshelf.CustomerKey]spread
	instances int
}

// left returns what is still in the window of a use that was told some time ago.
func (t *told) left(key shelfshelf.CustomerKey, now time.Time, window time.Duration) float64 {
	return t.rest(key, now, window).sum()
}

// rest is the same by parts of the window.
func (t *told) rest(key shelfshelf.CustomerKey, now time.Time, window time.Duration) spread {
	return t.uses[key].after(now.Sub(t.at), window)
}

func (t *told) addTo(sums map[shelfshelf.CustomerKey]spread, now time.Time, window time.Duration) {
	for key := range t.uses {
		sums[key] = sums[key].plus(t.rest(key, now, window))
	}
}

// Heard takes what an instance of this data centre says its customers have used.
func (l *Ledger) Heard(status shelfshelf.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	before := l.peers[status.From.ID]
	if before != nil && before.incarnation != status.Incarnation {
		l.ended = append(l.ended, before)
	}
	t := l.newTold(status.Incarnation, now, status.Settled, status.Uses)
	t.ended = l.newTold(0, now, false, status.EndedUses).uses
	l.peers[status.From.ID] = t
	l.ended = slices.DeleteFunc(l.ended, func(t *told) bool { return now.Sub(t.at) >= l.Window })
}

// HeardCentre takes what another data centre says its customers have used. An instance
// that has just started may not know it all: what was heard before counts on where its
// word says less, since a use only leaves the window with time.
func (l *Ledger) HeardCentre(digest shelfshelf.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.Clock.Now().Add(-digest.Age)
	t := l.newTold(0, at, digest.Settled, digest.Uses)
	if digest.DataCentre == l.DataCentre {
		l.centre = t
		return
	}
	t.instances = digest.Instances
	if before := l.remotes[digest.DataCentre]; before != nil && !digest.Settled {
		for key, use := range before.uses {
			if rest := use.after(max(at.Sub(before.at), 0), l.Window); rest.sum() > t.uses[key].sum() {
				t.uses[key] = rest
			}
		}
	}
	l.remotes[digest.DataCentre] = t
}

// newTold keeps what was told. Sums don't tell when within the window; callers reach
// all instances alike, so that it is taken to have been as here. The lock is held.
func (l *Ledger) newTold(incarnation uint64, at time.Time, settled bool, uses []shelfshelf.CustomerUse) *told {
	t := &told{incarnation: incarnation, at: at, settled: settled, uses: make(map[shelfshelf.CustomerKey]spread, len(uses))}
	for _, use := range uses {
		var shape spread
		if a := l.accounts[use.Customer]; a != nil {
			shape = a.own.parts()
		}
		t.uses[use.Customer] = shape.scaled(use.Amount)
	}
	return t
}
