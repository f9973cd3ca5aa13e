package elapsed

import (
	"errors"
	"testing"
	"time"
)

func TestSuspensionsCount(t *testing.T) {
	t.Parallel()
	shown := 5 * time.Hour
	var failure error
	clock, err := newClock(func() (time.Duration, error) { return shown, failure })
	if err != nil {
		t.Fatal(err)
	}
	before := clock.Now()
	if off := time.Since(before); off < -time.Minute || off > time.Minute {
		t.Errorf("%v off the time of day", off)
	}
	// The machine is suspended: Go's steady clock stands meanwhile.
	shown += 30 * time.Second
	if passed := clock.Now().Sub(before); passed != 30*time.Second {
		t.Errorf("%v passed", passed)
	}
	failure = errors.New("gone")
	if passed := clock.Now().Sub(before); passed < time.Hour {
		t.Errorf("what is known looks young while no clock is read: %v", passed)
	}
	if _, err := newClock(func() (time.Duration, error) { return 0, failure }); err == nil {
		t.Error("a clock that can't be read")
	}
}

func TestTheMachinesClockGoesOn(t *testing.T) {
	t.Parallel()
	clock, err := New()
	if err != nil {
		t.Fatal(err)
	}
	before, steady := clock.Now(), time.Now()
	<-clock.After(20 * time.Millisecond)
	passed := clock.Now().Sub(before)
	if passed < 20*time.Millisecond || passed > time.Since(steady)+time.Second {
		t.Errorf("%v passed", passed)
	}
}

// BenchmarkNow is one look at the clock: 82 ns by Go's own before, 267 ns with what counts
// suspensions, a call of the kernel, beside other load.
func BenchmarkNow(b *testing.B) {
	clock, err := New()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		clock.Now()
	}
}

// BenchmarkStandard is one look at Go's own clock, as instances had it before.
func BenchmarkStandard(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
