package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// drainMargin is how much sooner than it stops serving a draining target gets nothing more: a request takes a while
// to reach it.
const drainMargin = 700 * time.Millisecond

// updateDraining sets until when a target that drains takes streams. One of which it isn't known since when may
// stop at any moment. The caller must hold b.mu.
func (b *Balancer) updateDraining(t *targetState, listed shelfshelf.Target) {
	t.drainsUntil = time.Time{}
	if !listed.Leaving || b.LeavingSince == nil {
		return
	}
	if since := b.LeavingSince(listed.Name); !since.IsZero() {
		t.drainsUntil = since.Add(b.DrainTime - drainMargin)
	}
}

// stays reports whether a target isn't leaving or, for a stream, serves for a while yet: near the end of a
// release all targets of the old version drain, and its streams fit no others. A target that announces in its
// answers that it leaves gets nothing more.
func (t *targetState) stays(need Need, now time.Time) bool {
	if !t.target.Leaving {
		return true
	}
	return need.StreamVersion != nil && !t.announcement.Leaving && now.Before(t.drainsUntil)
}
