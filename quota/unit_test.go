package quota_test

import (
	"testing"
	"time"

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

// The slack is in tokens. It was added to limits in requests too, so that 70,010 requests were admitted where
// 10 were allowed.
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

// What a customer used still counts after the unit of its limit has changed, and a refund that was charged
// in the other unit takes back what it charged.
func TestUsageOutlivesAChangeOfTheUnit(t *testing.T) {
	inRequests, inTokens := customerInRequests(10), limitedCustomer(1000)
	f := newFleet(1)
	l := observedLedger(f)
	l.Slack = 0
	for range 20 {
		l.Charge(inRequests, 200)
	}
	refused := l.Charge(inRequests, 200)
	if used := l.Charge(inTokens, 0).Used; used != 21*200 {
		t.Errorf("%.0f tokens used, 4200 of them under a limit in requests", used)
	}
	l.Refund(refused.Charge)
	f.clock.Advance(time.Second)
	if used := l.Charge(inTokens, 0).Used; used != 20*200 {
		t.Errorf("%.0f tokens used after a refund of 200", used)
	}
	if used := l.Charge(inRequests, 0).Used; used < 20 || used > 22 {
		t.Errorf("%.0f requests used of 20 and two without tokens", used)
	}
}
