package quota_test

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/quota"
)

// An instance that has not heard from the others takes its even share of what remains once, not anew with
// every report delay: no reports tell it what the others have taken meanwhile.
func TestEvenShareIsTakenOnceUntilOthersReport(t *testing.T) {
	const instances, rate = 7, 70000
	f := newFleet(1)
	unheard := instances - 1
	l := &quota.Ledger{
		Clock: f.clock, Window: window,
		Instances:   func() (int, int) { return instances, instances },
		Unheard:     func() int { return unheard },
		ReportDelay: func() time.Duration { return delay },
	}
	l.Start()
	f.clock.Advance(window)
	customer := limitedCustomer(rate)
	share := customer.Limits.TokensPerSecond * (window.Seconds() + 1) / instances
	charge := func() float64 {
		sum := 0.0
		for range 300 {
			if l.Charge(customer, 1000).OK {
				sum += 1000
			}
			f.clock.Advance(step)
		}
		return sum
	}
	if got := charge(); got > share || got < share-1000 {
		t.Errorf("%.0f taken of a share of %.0f while nobody was heard", got, share)
	}
	unheard = 0
	if got := charge(); got <= share {
		t.Errorf("%.0f taken, no more than a share of %.0f, after all were heard", got, share)
	}
}

// What an instance has admitted since the digest of its own data centre was made is not in the digest, even
// if it has been reported since. It was subtracted all the same, so that as much of the others' usage was lost.
func TestUsageReportedSinceTheDigestIsNotSubtracted(t *testing.T) {
	f := newMultiCentreFleet()
	l := f.start("a1")
	f.clock.Advance(window)
	customer := limitedCustomer(10000)
	l.Charge(customer, 1000)
	l.LocalUsage()
	l.ApplyDigest(shelfshelf.Digest{
		DataCentre: "a", WindowObserved: true,
		Usage: []shelfshelf.CustomerUsage{{Customer: shelfshelf.KeyOfCustomer(customer.Name), Amount: 11000}},
	})
	for range 4 {
		f.clock.Advance(200 * time.Millisecond)
		l.Charge(customer, 5000)
		l.LocalUsage()
	}
	if v := l.Charge(customer, 0); v.Used != 31000 {
		t.Errorf("%.0f counted: 21000 here, and 10000 by the others according to a digest 0.8 s old", v.Used)
	}
}

// Usage at other instances makes a save urgent too. The saving instance took it to be like its own, so that a
// customer whose callers come to another instance waited for the next save.
func TestUsageElsewhereIsUrgent(t *testing.T) {
	f := newFleet(7)
	f.clock.Advance(window)
	customer := limitedCustomer(10000)
	saver := f.ledgers[0]
	saver.Charge(customer, 100)
	f.idle(time.Second)
	since := f.clock.Now()
	saver.RecordSave()
	if got := saver.MaxRecentFraction(since); got > 0.01 {
		t.Errorf("%.2f of the limit used since a save", got)
	}
	f.ledgers[5].Charge(customer, 27000)
	f.idle(delay)
	if got := saver.MaxRecentFraction(since); got < 0.29 || got > 0.31 {
		t.Errorf("%.2f of the limit used since a save, 0.3 of it at another instance", got)
	}
}
