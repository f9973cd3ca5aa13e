package balance

import (
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// SetEvacuated keeps new requests from the targets of data centres, and lets them go to those of all
// others; what runs goes on.
func (b *Balancer) SetEvacuated(centres []shelfshelf.DataCentre) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.evacuated = centres
	for _, t := range b.targets {
		before := t.evacuated
		t.evacuated = slices.Contains(centres, t.target.DataCentre)
		if p := b.pools[t.target.Pool]; p != nil && before && !t.evacuated {
			t.suspectCold(p, now)
		}
	}
	b.pumpAll(now)
}
