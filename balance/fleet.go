package balance

import "time"

// fleetStateTTL is how long the state of the fleet is cached: it is needed for every request and
// changes slowly.
const fleetStateTTL = 100 * time.Millisecond

// Fleet is what a balancer needs to know about the other instances.
type Fleet interface {
	// PropagationDelay is how long it takes until others know what has happened here.
	PropagationDelay() time.Duration
}

// fleetState is the last known state of the fleet.
type fleetState struct {
	staleness time.Duration
	at        time.Time
}

// refreshFleetState updates the cached state of the fleet. The caller must hold b.mu.
func (b *Balancer) refreshFleetState(now time.Time) {
	if b.Fleet == nil || !b.fleetState.at.IsZero() && now.Sub(b.fleetState.at) < fleetStateTTL {
		return
	}
	b.fleetState.at = now
	b.fleetState.staleness = b.Fleet.PropagationDelay()
}
