package catalog

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// promptAnswer is how long the source takes at most to answer a read that doesn't wait; it usually takes some
// 4 ms. A read that takes longer has waited for the change that it brings.
const promptAnswer = 100 * time.Millisecond

// targetReads follows the reads of the target list by this instance.
type targetReads struct {
	// answeredAt is when the read that the next one continues was answered; zero if the next reads the whole list.
	answeredAt time.Time
}

// changedSince returns a moment after which the changes that a read brings were made; zero if none is known.
func (r *targetReads) changedSince(start, end time.Time) time.Time {
	continues := !r.answeredAt.IsZero() && start.Sub(r.answeredAt) < promptAnswer
	if continues && end.Sub(start) > promptAnswer {
		return end.Add(-promptAnswer)
	}
	return r.answeredAt
}

// LeavingSince returns a moment after which a target that is leaving has said so; zero if none is known. What this
// instance learns late may have been said long before, so that it can't count from when it learnt of it.
func (c *Catalog) LeavingSince(name shelfshelf.TargetName) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leavingSince[name]
}

// noteLeaving records since when a target that is being updated can have been leaving, as far as this instance
// knows or was told. The caller must hold c.mu.
func (c *Catalog) noteLeaving(target shelfshelf.Target, changedSince, told time.Time) {
	if !target.Leaving {
		delete(c.leavingSince, target.Name)
		return
	}
	since := shelfshelf.Later(c.leavingSince[target.Name], told)
	if old, known := c.targets[target.Name]; known && !old.Leaving {
		// It wasn't when the list was last known to be current.
		since = shelfshelf.Later(told, shelfshelf.Later(changedSince, c.targetsValidAt))
	}
	if since.IsZero() {
		return
	}
	if c.leavingSince == nil {
		c.leavingSince = make(map[shelfshelf.TargetName]time.Time)
	}
	c.leavingSince[target.Name] = since
}
