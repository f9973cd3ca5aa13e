package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// coldMargin is how long after a target has turned cold that may be known here: by its entry, which
	// it writes every 1.2 s, or another instance's word.
	coldMargin = 2 * time.Second
	// gateFill is how many times its rate a gate may let through within a second, with what it
	// has saved up.
	gateFill = 1.25
	// coldReserve is the part of the slack that is kept for an owner that takes another one's place.
	coldReserve = 0.5
)

// ColdBounds bound what a target gets that may be cold, over all instances together.
type ColdBounds struct {
	// Excess times what a cold target bears in a second, and Slack more, is the most that it may
	// get.
	Excess float64
	Slack  float64
}

// warm is the pace of a target that is thought to be warm.
func (c ColdBounds) warm(bears float64) float64 {
	return (bears*c.Excess + (1-coldReserve)*c.Slack) / gateFill
}

// paced reports that only owners give the places of a target: it has announced a limit, or may turn
// cold at any moment.
func (t *targetState) paced() bool { return t.limited() || t.bears > 0 }

// strict reports that only the first owner does, however silent it is: each further one would give
// as much again.
func (t *targetState) strict(now time.Time) bool {
	return t.limited() || t.bears > 0 && now.Before(t.coldUntil)
}

// setCold notes how many requests a second a target bears while it is cold, and that it may be cold
// now: after a start that was seen here, as far as its entry says, or as long as this instance has
// just started itself and can't know. The lock is held.
func (b *Balancer) setCold(t *targetState, p *pool, listed shelfshelf.Target, began bool, now time.Time) {
	t.bears = p.spec.Cold.PerSecond
	if began {
		t.suspectCold(p, now)
	}
	if listed.ColdFor > 0 && listed.ColdFor != t.target.ColdFor {
		t.coldUntil = later(t.coldUntil, now.Add(listed.ColdFor+coldMargin))
	}
}

// suspectCold notes that a target may have turned cold just now.
func (t *targetState) suspectCold(p *pool, now time.Time) {
	if t.bears > 0 {
		t.coldUntil = later(t.coldUntil, now.Add(p.spec.Cold.Time+coldMargin))
	}
}

// suspectAfterRest notes that a target may have started anew that could not be reached; the lock is
// held.
func (b *Balancer) suspectAfterRest(l *Lease, now time.Time) {
	if p := b.pools[l.need.Pool]; p != nil {
		l.state.suspectCold(p, later(now, l.state.restUntil))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ColdPace returns how many requests a second the owner of a target may give that may turn cold, and
// whether it may be cold by what is known here; paced is false of one that never is.
func (b *Balancer) ColdPace(key shelfshelf.TargetKey) (perSecond float64, cold, paced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.keys[key]
	if t == nil || t.bears == 0 {
		return 0, false, false
	}
	if b.Clock.Now().Before(t.coldUntil) {
		return min(t.bears, b.Cold.warm(t.bears)), true, true
	}
	return b.Cold.warm(t.bears), false, true
}
