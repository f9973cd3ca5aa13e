package announced

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However often a token bucket is used and its rate changes, it allows no more sends within a window than its
// highest rate and the accumulated tokens permit.
func TestTokenBucketLimitsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 200).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		bucket := NewTokenBucket(0, 0, now)
		var sent []time.Time
		for range 600 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			bucket.SetRate(rate*random.Float64(), now)
			if bucket.Wait(now) == 0 {
				bucket.Take()
				sent = append(sent, now)
			}
		}
		const window = 4 * time.Second
		allowed := rate*window.Seconds() + max(1, rate*burstDuration.Seconds())
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < window {
					count++
				}
			}
			if float64(count) > allowed+1 {
				t.Fatalf("%d sends in %v at a rate of %v", count, window, rate)
			}
		}
	})
}

// A send is allowed after the wait that Wait returned. A token bucket that is new or had the rate 0 has no tokens.
func TestTokenBucketReturnsExactWaits(t *testing.T) {
	// At this rate, the sum of fractions after 67 ms was once less than one token.
	checkWaits(t, 15)
	rapid.Check(t, func(t *rapid.T) {
		checkWaits(t, rapid.Float64Range(0.05, 500).Draw(t, "rate"))
	})
}

// checkWaits checks twenty sends through a token bucket, each after the wait that Wait returned.
func checkWaits(t rapid.TB, rate float64) {
	t.Helper()
	now := time.Unix(100, 0)
	bucket := NewTokenBucket(0, 0, now)
	bucket.SetRate(rate, now)
	for range 20 {
		wait := bucket.Wait(now)
		if wait <= 0 {
			t.Fatal("a send is allowed too early")
		}
		now = now.Add(wait)
		if wait := bucket.Wait(now); wait != 0 {
			t.Fatalf("%v left after the wait", wait)
		}
		bucket.Take()
	}
	now = now.Add(time.Minute)
	bucket.SetRate(0, now)
	if bucket.Wait(now) != zeroRateDelay {
		t.Fatal("a token bucket with the rate 0 allows a send")
	}
	bucket.SetRate(rate, now)
	if bucket.Wait(now) == 0 {
		t.Fatal("a token bucket that had the rate 0 has kept a token")
	}
}
