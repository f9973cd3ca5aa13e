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

// The end of a target's process counts against the requests that it was running only if it was a crash:
// the target had not announced a shutdown and was still listed.
func TestOnlyCrashesCount(t *testing.T) {
	t.Parallel()
	earlier, later := time.UnixMilli(1000), time.UnixMilli(2000)
	for name, c := range map[string]struct {
		reach   error
		listed  shelfshelf.Target
		missing bool
		want    int
	}{
		"connection refused":                    {reach: syscall.ECONNREFUSED, listed: shelfshelf.Target{StartedAt: earlier}, want: 1},
		"still running":                         {listed: shelfshelf.Target{StartedAt: earlier}},
		"unreachable from here":                 {reach: context.DeadlineExceeded, listed: shelfshelf.Target{StartedAt: earlier}},
		"already restarted":                     {listed: shelfshelf.Target{StartedAt: later}, want: 1},
		"unreachable, restarted process listed": {reach: errors.New("no route"), listed: shelfshelf.Target{StartedAt: later}, want: 1},
		"shutdown was announced":                {reach: syscall.ECONNREFUSED, listed: shelfshelf.Target{StartedAt: earlier, Leaving: true}},
		"no longer listed":                      {reach: syscall.ECONNREFUSED, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			tracker := newTracker(clock, "a")
			lookedUp := make(chan struct{})
			detector := &crashes.Detector{
				Clock: clock, Log: log.New(io.Discard), Tracker: tracker,
				Dial: func(context.Context, string) error { return c.reach },
				Lookup: func(shelfshelf.TargetName) (shelfshelf.Target, bool) {
					defer func() { lookedUp <- struct{}{} }()
					return c.listed, !c.missing
				},
			}
			detector.ResponseBroken(shelfshelf.Target{Name: "t", StartedAt: earlier}, poison)
			lookups := 1
			if !errors.Is(c.reach, syscall.ECONNREFUSED) {
				if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(time.Second)
				lookups += c.want
			}
			for range lookups {
				<-lookedUp
			}
			for end := time.Now().Add(300 * time.Millisecond); len(tracker.All()) < 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := len(tracker.All()); got != c.want {
				t.Errorf("%d crashes", got)
			}
		})
	}
}

// A link that is cut may refuse connections on behalf of a target that is well: instances that had lost their links
// reported 20 such targets as crashed. What an instance with working links sees decides, both ways.
func TestRefusalsOverFailingLinksShowNoCrash(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reach     error
		confirmed bool
	}{
		"refused here only":      {syscall.ECONNREFUSED, false},
		"refused there too":      {syscall.ECONNREFUSED, true},
		"not reached here":       {context.DeadlineExceeded, false},
		"refused to others only": {context.DeadlineExceeded, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			tracker := newTracker(clock, "a")
			lookedUp := make(chan struct{}, 2)
			running := shelfshelf.Target{Name: "t", StartedAt: time.UnixMilli(1000)}
			detector := &crashes.Detector{
				Clock: clock, Log: log.New(io.Discard), Tracker: tracker,
				Dial:           func(context.Context, string) error { return c.reach },
				ConfirmRefused: func(context.Context, shelfshelf.Target, bool) bool { return c.confirmed },
				Lookup: func(shelfshelf.TargetName) (shelfshelf.Target, bool) {
					lookedUp <- struct{}{}
					return running, true
				},
			}
			detector.ResponseBroken(running, poison)
			if !c.confirmed {
				if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(time.Second)
			}
			<-lookedUp
			for range 100 {
				if (len(tracker.All()) > 0) == c.confirmed {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if (len(tracker.All()) > 0) != c.confirmed {
				t.Errorf("recorded %d crashes", len(tracker.All()))
			}
		})
	}
}
