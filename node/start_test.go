package node

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/gossip"
)

// Who reads the store at the start: the first of a data centre at once, the others only if
// nobody has told them in time.
func TestStartingInstancesReadInTurn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		running, listed, told time.Duration
		before                int
		first                 bool
		want                  bool
	}{
		"the first reads at once":                     {listed: 0, told: -1, want: true},
		"so does the second":                          {before: 1, told: -1, want: true},
		"the third waits":                             {before: 2, told: -1},
		"and reads in its turn":                       {before: 2, listed: startStep, told: -1, want: true},
		"the last of many reads after a bounded time": {before: 1000, listed: startLast, told: -1, want: true},
		"who has been told of waits for it":           {listed: time.Second / 2, told: 100 * time.Millisecond},
		"but not for long":                            {before: 1000, told: tellPatience, want: true},
		"without the directory it waits":              {running: listPatience / 2, listed: -1, told: -1},
		"and reads":                                   {running: listPatience, listed: -1, told: -1, want: true},
		"at the very first start it waits longer":     {running: listPatience, listed: -1, told: -1, first: true},
		"and then reads":                              {running: firstListPatience, listed: -1, told: -1, first: true, want: true},
		"even if it is the first":                     {running: firstListPatience - 1, listed: firstListPatience - 1, told: -1, first: true},
		"which reads once all are announced":          {running: firstListPatience, listed: time.Second, told: -1, first: true, want: true},
		"and the third in its turn":                   {before: 2, running: firstListPatience, listed: time.Second, told: -1, first: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := starting{
				StartupState: gossip.StartupState{Running: c.running, SinceDirectoryRead: c.listed, Preceding: c.before}, Told: c.told, First: c.first,
			}
			if got := s.reads(); got != c.want {
				t.Errorf("%+v reads: %v", s, got)
			}
		})
	}
}
