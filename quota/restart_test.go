package quota_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/quota"
)

func newMultiCentreFleet() *multiCentreFleet {
	return &multiCentreFleet{
		clock:   clockwork.NewFakeClock(),
		ledgers: make(map[shelfshelf.InstanceID]*quota.Ledger), incarnations: make(map[shelfshelf.InstanceID]uint64),
	}
}

// After a restart of all, what another data centre's digest tells was used before the restart. It must
// leave the window by the age that was saved with it, and not count as used at the first digest: a
// customer was refused at 0.4 of its limit for a whole window.
func TestRestoredUsageOfOtherDataCentresExpiresByAge(t *testing.T) {
	f := newMultiCentreFleet()
	customer := limitedCustomer(1000)
	saved := shelfshelf.SavedUsages{Usage: []shelfshelf.SavedUsage{{
		DataCentre: "b", Customer: shelfshelf.KeyOfCustomer(customer.Name),
		Buckets: [shelfshelf.UsageBuckets]float64{5: 6000},
	}}}
	for _, id := range []shelfshelf.InstanceID{"a1", "b1"} {
		f.start(id).Restore(saved)
	}
	f.ledgers["a1"].Charge(customer, 100)
	for range 40 {
		f.exchangeStatuses()
		f.clock.Advance(100 * time.Millisecond)
	}
	if v := f.ledgers["a1"].Charge(customer, 0); v.Used > 2000 {
		t.Errorf("%.0f of 9000 used 4 s after the start, all but 100 of it over 5 s before", v.Used)
	}
}
