package elapsed

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Clock tells the time by what has elapsed since it was made, suspensions included. With Go's
// steady clock a machine that was suspended for 6 s took a key that had been revoked
// meanwhile: what it knew of keys looked as young as before. The time of day may jump and
// counts only once, for the instant at which the clock was made. It is safe for concurrent
// use.
type Clock struct {
	// made is the time of day when the clock was made, and start what read returned then.
	made  time.Time
	start time.Duration
	read  func() (time.Duration, error)
}

// New returns a clock; the error says that the machine doesn't tell its suspensions.
func New() (*Clock, error) {
	return newClock(sinceBoot)
}

func newClock(read func() (time.Duration, error)) (*Clock, error) {
	start, err := read()
	if err != nil {
		return nil, eris.Wrap(err, "read the clock that counts suspensions")
	}
	// Without a reading of the steady clock, differences are those of what elapsed.
	return &Clock{made: time.Now().Round(0), start: start, read: read}, nil
}

// Now returns the current instant.
func (c *Clock) Now() time.Time {
	now, err := c.read()
	if err != nil {
		// A kernel that has told it once goes on telling it. Should it not, what is known
		// counts as too old to be trusted rather than as young.
		return c.made.Add(unreadable)
	}
	return c.made.Add(now - c.start)
}

// unreadable is how much time a clock that can't be read any more has seen.
const unreadable = 1000 * time.Hour

// After returns a channel that receives once the duration has passed, suspensions left out:
// whoever waits looks at the time again.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// sinceBoot reads the kernel's clock that counts suspensions.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
