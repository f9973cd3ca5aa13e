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
// leave the window by the age that was saved with it. It counted as used at the first digest, so that a
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

// A save that is older than a save interval may be followed by a time in which saves failed. Who uses much
// then must not get its limit again after a restart, and neither must it from an instance that has its
// knowledge from one that restarted, or after a second restart.
func TestUsageSinceAnOldSaveIsAssumed(t *testing.T) {
	const rate, age, down = 1000, 4 * time.Second, time.Second
	customer := limitedCustomer(rate)
	f := newFleet(1)
	start := func(saved shelfshelf.SavedUsages) *quota.Ledger {
		l := f.ledger(1)
		l.Slack = 0
		l.Restore(saved)
		return l
	}
	// Restores an empty save that is 4 s old.
	first := start(shelfshelf.SavedUsages{Age: age})
	assumed := first.Charge(customer, 0).Used
	if assumed < rate*age.Seconds() || assumed > rate*(age+time.Second).Seconds() {
		t.Errorf("%.0f assumed for %v at a limit of %d a second", assumed, age, rate)
	}
	known, err := first.UsageForRestore()
	if err != nil {
		t.Fatal(err)
	}
	if got := start(known).Charge(customer, 0).Used; got < assumed {
		t.Errorf("%.0f assumed after another instance assumed %.0f", got, assumed)
	}
	// The first one saves and restarts again.
	known.Age = down
	f.clock.Advance(down)
	if got := start(known).Charge(customer, 0).Used; got < assumed+rate*down.Seconds() {
		t.Errorf("%.0f assumed after a second restart, %.0f after the first", got, assumed)
	}
	// It ages out with the time that it was assumed for.
	f.clock.Advance(window - down - age/2)
	if got := first.Charge(customer, 0).Used; got > rate*(age/2+time.Second).Seconds() {
		t.Errorf("%.0f still assumed of %.0f", got, assumed)
	}
}

// A charge stays in the window as long as its request is in it. Charges left the window with the beginning
// of their interval, up to 0.1 s early. After a restart of all, the burst of callers that had waited left it
// early at all instances at once.
func TestChargesStayForTheWholeWindow(t *testing.T) {
	customer := limitedCustomer(1000)
	for offset := time.Duration(0); offset < 100*time.Millisecond; offset += 9 * time.Millisecond {
		f := newFleet(1)
		f.ledgers[0].Slack = 0
		f.clock.Advance(window + offset)
		if !f.ledgers[0].Charge(customer, 9000).OK {
			t.Fatal("the burst is refused")
		}
		f.clock.Advance(window - time.Millisecond)
		if v := f.ledgers[0].Charge(customer, 1000); v.OK {
			t.Errorf("%v after the start of an interval: %+v", offset, v)
		}
		f.clock.Advance(52 * time.Millisecond)
		if v := f.ledgers[0].Charge(customer, 9000); !v.OK {
			t.Errorf("%v after the start of an interval: %+v", offset, v)
		}
	}
}

// Where nothing was saved, a restarted instance still learns from peers what its earlier incarnation used. It
// assumed its own part of the limit only: 2,250 where 6,000 had been used.
func TestEndedUsageOfPeersCountsWhereNothingWasSaved(t *testing.T) {
	f := newMultiCentreFleet()
	for _, id := range []shelfshelf.InstanceID{"a1", "a2", "a3", "a4"} {
		f.start(id).RestoreNone()
	}
	f.clock.Advance(window)
	customer := limitedCustomer(1000)
	f.ledgers["a2"].Charge(customer, 6000)
	f.exchangeStatuses()
	f.start("a2").RestoreNone()
	f.exchangeStatuses()
	f.exchangeStatuses()
	if v := f.ledgers["a2"].Charge(customer, 0); v.Used < 6000 {
		t.Errorf("%.0f of 6000 counted", v.Used)
	}
}

// A digest that is overtaken by a newer one doesn't replace it.
func TestLateDigestsAreIgnored(t *testing.T) {
	f := newMultiCentreFleet()
	l := f.start("a1")
	f.clock.Advance(window)
	customer := limitedCustomer(1000)
	digest := func(age time.Duration, amount float64) shelfshelf.Digest {
		return shelfshelf.Digest{
			DataCentre: "b", Age: age, Instances: 1, WindowObserved: true,
			Usage: []shelfshelf.CustomerUsage{{Customer: shelfshelf.KeyOfCustomer(customer.Name), Amount: amount}},
		}
	}
	l.ApplyDigest(digest(0, 5000))
	l.ApplyDigest(digest(500*time.Millisecond, 1000))
	if v := l.Charge(customer, 0); v.Used != 5000 {
		t.Errorf("%.0f counted after a late digest of 1000, 5000 before", v.Used)
	}
}
