package quota

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// told is what others have told last of their use in the window.
type told struct {
	incarnation uint64
	marks
	// settled says that it comes from one who has seen a whole window.
	settled bool
	uses    map[shelfshelf.CustomerKey]history
	// ended is what was told of instances that have ended or are silent, and instances
	// how many the word is of.
	ended     map[shelfshelf.CustomerKey]history
	instances int
}

// left returns what is still in the window of a use that was told some time ago.
func (t *told) left(key shelfshelf.CustomerKey, now time.Time) float64 {
	use, known := t.uses[key]
	if !known {
		return 0
	}
	return use.left(t.marks, now)
}

// rest is the same by parts of the window.
func (t *told) rest(key shelfshelf.CustomerKey, now time.Time) spread {
	return t.uses[key].before(t.marks, now)
}

func (t *told) addTo(sums map[shelfshelf.CustomerKey]spread, now time.Time) {
	for key := range t.uses {
		sums[key] = sums[key].plus(t.rest(key, now))
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
		before = nil
	}
	t := l.newTold(before, status.Incarnation, now, status.Settled, status.Uses)
	t.ended = l.newTold(before.endedLives(), 0, now, false, status.EndedUses).uses
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
	if digest.DataCentre == l.DataCentre {
		l.centre = l.newTold(l.centre, 0, at, digest.Settled, digest.Uses)
		return
	}
	before := l.remotes[digest.DataCentre]
	t := l.newTold(before, 0, at, digest.Settled, digest.Uses)
	t.instances = digest.Instances
	if before != nil && !digest.Settled {
		_, parts := before.moved(at)
		for key, use := range before.uses {
			if rest := use.shifted(parts); rest.left(t.marks, at) > t.left(key, at) {
				t.uses[key] = rest
			}
		}
	}
	l.remotes[digest.DataCentre] = t
}

// newTold keeps what was told. Sums don't tell when within the window: what a sum has grown by
// since the word before was used since then. Of a first word it is taken to have been as here. The
// lock is held.
func (l *Ledger) newTold(before *told, incarnation uint64, at time.Time, settled bool, uses []shelfshelf.CustomerUse) *told {
	t := &told{
		incarnation: incarnation, settled: settled, uses: make(map[shelfshelf.CustomerKey]history, len(uses)),
		marks: marks{began: at, at: at, part: partOf(l.Window)},
	}
	if before != nil {
		moved, parts := before.moved(at)
		t.marks = moved
		for _, use := range uses {
			t.uses[use.Customer] = before.uses[use.Customer].shifted(parts).become(use.Amount, moved)
		}
		return t
	}
	for _, use := range uses {
		var shape spread
		if a := l.accounts[use.Customer]; a != nil {
			shape = a.own.parts()
		}
		t.uses[use.Customer] = historyOf(shape.scaled(use.Amount))
	}
	return t
}

// endedLives is the word on lives that have ended; nil where there is none.
func (t *told) endedLives() *told {
	if t == nil {
		return nil
	}
	return &told{marks: t.marks, uses: t.ended}
}
