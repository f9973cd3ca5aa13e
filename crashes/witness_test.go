package crashes_test

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/crashes"
)

// Only the end of a target that was to go on is held against what it ran.
func TestOnlyEndsCount(t *testing.T) {
	t.Parallel()
	old, later := time.UnixMilli(1000), time.UnixMilli(2000)
	for name, c := range map[string]struct {
		reach   error
		listed  shelfshelf.Target
		missing bool
		want    int
	}{
		"nothing listens":                 {reach: syscall.ECONNREFUSED, listed: shelfshelf.Target{Born: old}, want: 1},
		"it goes on":                      {listed: shelfshelf.Target{Born: old}},
		"it is cut off from here":         {reach: context.DeadlineExceeded, listed: shelfshelf.Target{Born: old}},
		"its next life is there already":  {listed: shelfshelf.Target{Born: later}, want: 1},
		"dark, and its next life is told": {reach: errors.New("no route"), listed: shelfshelf.Target{Born: later}, want: 1},
		"it was leaving":                  {reach: syscall.ECONNREFUSED, listed: shelfshelf.Target{Born: old, Leaving: true}},
		"it had left the list":            {reach: syscall.ECONNREFUSED, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			record := newRecord(clock, "a")
			looked := make(chan struct{})
			witness := &crashes.Witness{
				Clock: clock, Log: log.New(io.Discard), Record: record,
				Reach: func(context.Context, string) error { return c.reach },
				Target: func(shelfshelf.TargetName) (shelfshelf.Target, bool) {
					defer func() { looked <- struct{}{} }()
					return c.listed, !c.missing
				},
			}
			witness.Broken(shelfshelf.Target{Name: "t", Born: old}, deadly)
			looks := 1
			if !errors.Is(c.reach, syscall.ECONNREFUSED) {
				if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(time.Second)
				looks += c.want
			}
			for range looks {
				<-looked
			}
			for end := time.Now().Add(300 * time.Millisecond); len(record.All()) < 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := len(record.All()); got != c.want {
				t.Errorf("%d ends", got)
			}
		})
	}
}
