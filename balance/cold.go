package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// coldReportDelay is how long it may take until this instance learns that a target has turned cold.
// It learns that from the target's entry, which the target writes every 1.2 s, or from another
// instance.
const coldReportDelay = 2 * time.Second

// ColdState is what is known of a target that may turn cold.
type ColdState struct {
	// RequestRate is how many requests per second the target can take while cold; 0 if it never is cold.
	RequestRate float64
	// MaybeCold says that the target may be cold now, as far as this instance knows.
	MaybeCold bool
}

// ownerOnly reports whether only owners may grant the slots of a target: it has announced a limit or that it
// is brittle, or may turn cold at any moment.
func (t *targetState) ownerOnly() bool { return t.hasLimit() || t.isBrittle() || t.coldRate > 0 }

// isBrittle reports whether a target fails when it has to turn requests away. Only its owner knows how many
// requests it has in hand from all instances.
func (t *targetState) isBrittle() bool { return t.announcement.Brittle > 0 }

// primaryOwnerOnly reports whether only the primary owner may grant the slots of a target, even if
// that owner doesn't answer: any other owner would grant the full rate again.
func (t *targetState) primaryOwnerOnly(now time.Time) bool {
	return t.hasLimit() || t.isBrittle() || t.maybeCold(now)
}

// maybeCold reports whether the target may be cold now.
func (t *targetState) maybeCold(now time.Time) bool { return t.coldRate > 0 && now.Before(t.coldUntil) }

// updateCold sets the rate that a target can take while cold, and extends the time in which it may
// be cold: after a start seen by this instance, for the time given in the target's entry, and after
// a start of this instance, which can't know how long the target has been running. The caller must
// hold b.mu.
func (b *Balancer) updateCold(t *targetState, p *pool, listed shelfshelf.Target, created bool, now time.Time) {
	t.coldRate = p.spec.Cold.MaxRequestsPerSecond
	if created {
		t.markMaybeCold(p, now)
	}
	if listed.ColdRemaining > 0 && listed.ColdRemaining != t.target.ColdRemaining {
		t.coldUntil = shelfshelf.Later(t.coldUntil, now.Add(listed.ColdRemaining+coldReportDelay))
	}
}

// markMaybeCold notes that a target may have just turned cold.
func (t *targetState) markMaybeCold(p *pool, now time.Time) {
	if t.coldRate > 0 {
		t.coldUntil = shelfshelf.Later(t.coldUntil, now.Add(p.spec.Cold.Duration+coldReportDelay))
	}
}

// markMaybeColdAfterBackoff notes that an unreachable target may have restarted. The caller must
// hold b.mu.
func (b *Balancer) markMaybeColdAfterBackoff(l *Lease, now time.Time) {
	if p := b.pools[l.need.Pool]; p != nil {
		l.state.markMaybeCold(p, shelfshelf.Later(now, l.state.backoffUntil))
	}
}

// ColdState returns what is known of a target that may turn cold.
func (b *Balancer) ColdState(key shelfshelf.TargetKey) ColdState {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targetsByKey[key]
	if t == nil {
		return ColdState{}
	}
	return ColdState{RequestRate: t.coldRate, MaybeCold: t.maybeCold(b.Clock.Now())}
}
