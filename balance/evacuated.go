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
	b.evacuated = centres
	for _, t := range b.targets {
		t.evacuated = slices.Contains(centres, t.target.DataCentre)
	}
	b.pumpAll(b.Clock.Now())
}
