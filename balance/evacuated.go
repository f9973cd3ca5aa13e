package balance

import (
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// SetEvacuated sets the data centres whose targets get no new requests. Targets of all other data
// centres may get requests; requests in flight continue. A target whose evacuation has ended may be
// cold.
func (b *Balancer) SetEvacuated(centres []shelfshelf.DataCentre) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.evacuated = centres
	for _, t := range b.targets {
		before := t.evacuated
		t.evacuated = slices.Contains(centres, t.target.DataCentre)
		if p := b.pools[t.target.Pool]; p != nil && before && !t.evacuated {
			t.markMaybeCold(p, now)
		}
	}
	b.dispatchAll(now)
}
