package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// suspendable is the clock of a machine that may be suspended: what it shows counts that
// time, while its timers, like Go's, leave it out.
type suspendable struct {
	shelfshelf.Clock

	mu     sync.Mutex
	asleep time.Duration
}

func (s *suspendable) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Add(s.asleep)
}

func (s *suspendable) suspend(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asleep += span
}

// A machine that was suspended trusts nothing that it knew before: a key that was revoked
// meanwhile is not taken at its first request, nor is anything older than the lease, and it
// serves again as soon as it has read anew.
func TestSuspendedInstancesTrustNothing(t *testing.T) {
	t.Parallel()
	for _, span := range []time.Duration{5 * time.Second, 30 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			clock := &suspendable{Clock: clockwork.NewRealClock()}
			f.clock = clock
			plain := f.serve("p1", "plain", 0)
			n := f.start()
			if got := f.ask(n, "before", "/once/", nil); got.status != 200 {
				t.Fatalf("%+v", got)
			}
			// Nothing reaches it while it is suspended.
			f.doors[0].set(true)
			f.keys = []string{"k2"}
			f.configure()
			clock.suspend(span)
			for _, id := range []string{"first", "second"} {
				if got := f.ask(n, id, "/once/", nil); got.status != 503 || got.header.Get("Retry-After") == "" {
					t.Errorf("a revoked key was answered %d: %s", got.status, got.body)
				}
			}
			f.doors[0].set(false)
			f.eventually("the revoked key is not unknown", func() bool { return f.ask(n, "later", "/once/", nil).status == 401 })
			f.eventually("not ready again", n.isReady)
			if runs := len(plain.Runs()); runs != 1 {
				t.Errorf("%d requests ran", runs)
			}
		})
	}
}
