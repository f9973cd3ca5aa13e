package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// coldMargin is how long after a target has turned cold that may be known here: by its entry, which
// it writes every 1.2 s, or another instance's word.
const coldMargin = 2 * time.Second

// ColdState is what is known of a target that may turn cold.
type ColdState struct {
	// Bears is how many requests a second it bears while it is cold; 0 if it never is.
	Bears float64
	// Suspected says that it may be cold now, by what is known here.
	Suspected bool
}

// paced reports that only owners give the places of a target: it has announced a limit, or may turn
// cold at any moment.
func (t *targetState) paced() bool { return t.limited() || t.bears > 0 }

// strict reports that only the first owner does, however silent it is: each further one would give
// as much again.
func (t *targetState) strict(now time.Time) bool {
	return t.limited() || t.suspected(now)
}

// suspected reports that the target may be cold now.
func (t *targetState) suspected(now time.Time) bool { return t.bears > 0 && now.Before(t.coldUntil) }

// setCold notes how many requests a second a target bears while it is cold, and that it may be cold
// now: after a start that was seen here, as far as its entry says, or as long as this instance has
// just started itself and can't know. The lock is held.
func (b *Balancer) setCold(t *targetState, p *pool, listed shelfshelf.Target, began bool, now time.Time) {
	t.bears = p.spec.Cold.PerSecond
	if began {
		t.suspectCold(p, now)
	}
	if listed.ColdFor > 0 && listed.ColdFor != t.target.ColdFor {
		t.coldUntil = shelfshelf.Later(t.coldUntil, now.Add(listed.ColdFor+coldMargin))
	}
}

// suspectCold notes that a target may have turned cold just now.
func (t *targetState) suspectCold(p *pool, now time.Time) {
	if t.bears > 0 {
		t.coldUntil = shelfshelf.Later(t.coldUntil, now.Add(p.spec.Cold.Time+coldMargin))
	}
}

// suspectAfterRest notes that a target may have started anew that could not be reached; the lock is
// held.
func (b *Balancer) suspectAfterRest(l *Lease, now time.Time) {
	if p := b.pools[l.need.Pool]; p != nil {
		l.state.suspectCold(p, shelfshelf.Later(now, l.state.restUntil))
	}
}

// Cold returns what is known of a target that may turn cold.
func (b *Balancer) Cold(key shelfshelf.TargetKey) ColdState {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.keys[key]
	if t == nil {
		return ColdState{}
	}
	return ColdState{Bears: t.bears, Suspected: t.suspected(b.Clock.Now())}
}
