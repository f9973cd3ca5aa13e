package balance

import "time"

// viewKept is how long a view of the other instances is used: it is asked for with
// every request and changes slowly.
const viewKept = 100 * time.Millisecond

// Fleet is what a balancer has to know of the other instances.
type Fleet interface {
	// SpreadTime is how long it takes until others know what happened here.
	SpreadTime() time.Duration
}

// view is what was last seen of the fleet.
type view struct {
	staleness time.Duration
	at        time.Time
}

// look brings the view up to date; the lock is held.
func (b *Balancer) look(now time.Time) {
	if b.Fleet == nil || !b.view.at.IsZero() && now.Sub(b.view.at) < viewKept {
		return
	}
	b.view.at = now
	b.view.staleness = b.Fleet.SpreadTime()
}
