package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What is left of a use is the sum of what is left of its parts, at any instant.
func TestLeftIsTheSumOfParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		began := start.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "began")) * time.Millisecond)
		at := began.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond)
		m := marks{began: began, at: at, part: time.Second, late: rapid.Bool().Draw(t, "late")}
		var h history
		for i := range h {
			h[i] = rapid.Float64Range(0, 100).Draw(t, "amount")
		}
		now := at.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "now")) * time.Millisecond)
		want := 0.0
		for i, amount := range h {
			want += amount * m.within(i, now)
		}
		if got := h.left(m, now); math.Abs(got-want) > 1e-6 {
			t.Fatalf("%v, not %v", got, want)
		}
	})
}
