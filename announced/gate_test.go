package announced

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whenever it is asked, and however often its rate changes, a gate gives in no span more than
// its highest rate there allows, with what it keeps.
func TestGatesGiveNoMoreThanTheirRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 200).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		gate := NewGate(0, 0, now)
		var given []time.Time
		for range 600 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			gate.SetRate(rate*random.Float64(), now)
			if gate.Left(now) == 0 {
				gate.Take()
				given = append(given, now)
			}
		}
		const window = 4 * time.Second
		allowed := rate*window.Seconds() + max(1, rate*burstTime.Seconds())
		for i, first := range given {
			count := 0
			for _, at := range given[i:] {
				if at.Sub(first) < window {
					count++
				}
			}
			if float64(count) > allowed+1 {
				t.Fatalf("%d in %v at a rate of %v", count, window, rate)
			}
		}
	})
}

// Who waits for as long as it is told finds a send, and a gate that has just begun, or was
// closed, keeps none.
func TestGatesTellWhenTheyOpen(t *testing.T) {
	// After 67 ms at this rate a gate's sum of fractions was less than one.
	checkOpening(t, 15)
	rapid.Check(t, func(t *rapid.T) {
		checkOpening(t, rapid.Float64Range(0.05, 500).Draw(t, "rate"))
	})
}

// checkOpening checks twenty sends of a gate, each asked for when the time told is over.
func checkOpening(t rapid.TB, rate float64) {
	t.Helper()
	now := time.Unix(100, 0)
	gate := NewGate(0, 0, now)
	gate.SetRate(rate, now)
	for range 20 {
		left := gate.Left(now)
		if left <= 0 {
			t.Fatal("there is a send before its time")
		}
		now = now.Add(left)
		if left := gate.Left(now); left != 0 {
			t.Fatalf("%v is left after the time told", left)
		}
		gate.Take()
	}
	now = now.Add(time.Minute)
	gate.SetRate(0, now)
	if gate.Left(now) != closedPause {
		t.Fatal("a closed gate gives")
	}
	gate.SetRate(rate, now)
	if gate.Left(now) == 0 {
		t.Fatal("a gate that was closed has kept a send")
	}
}
