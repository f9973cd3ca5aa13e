package quota_test

import (
	"testing"
	"time"

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
