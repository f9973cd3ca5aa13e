package quota_test

import (
	"testing"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/quota"
)

func customerInRequests(rate float64) *shelfshelf.Customer {
	return &shelfshelf.Customer{Name: "c", Limits: shelfshelf.Limits{RequestsPerSecond: rate, RequestBurst: rate, DefaultRequestTokens: 200}}
}

func observedLedger(f *fleet) *quota.Ledger {
	l := f.ledger(1)
	f.clock.Advance(window)
	return l
}

// The slack of the users is in tokens. It admitted 70,010 requests where 10 were allowed.
func TestSlackIsInTokens(t *testing.T) {
	l := observedLedger(newFleet(1))
	admitted := 0
	for range 100 {
		if l.Charge(customerInRequests(1), 500).OK {
			admitted++
		}
	}
	if admitted != 9 {
		t.Errorf("%d requests admitted of 9 allowed", admitted)
	}
}
