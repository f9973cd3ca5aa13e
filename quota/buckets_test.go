package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What remains of the usage is the sum of what remains of its buckets, at any time.
func TestRemainingIsSumOfBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		began := start.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "began")) * time.Millisecond)
		at := began.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond)
		times := bucketTimes{newestStart: began, updatedAt: at, length: time.Second, expireWhole: rapid.Bool().Draw(t, "late")}
		var buckets usageBuckets
		for i := range buckets {
			buckets[i] = rapid.Float64Range(0, 100).Draw(t, "amount")
		}
		now := at.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "now")) * time.Millisecond)
		want := 0.0
		for i, amount := range buckets {
			want += amount * times.fractionInWindow(i, now)
		}
		if got := buckets.remaining(times, now); math.Abs(got-want) > 1e-6 {
			t.Fatalf("%v, not %v", got, want)
		}
	})
}
