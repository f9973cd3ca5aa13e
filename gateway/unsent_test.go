package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// A target gets no requests for a while after it was not reached, but not after a failure that is none of its own:
// of this instance's link to it, or of a check right before the send.
func TestFailuresOfOthersDontKeepRequestsFromTargets(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		err  error
		free bool
	}{
		"not reached":    {shelfshelf.ErrNotRun, false},
		"own link":       {fmt.Errorf("%w: %w", shelfshelf.ErrNotRun, shelfshelf.ErrOwnLink), true},
		"check failed":   {upstream.NotPrepared(errors.New("the time is over")), true},
		"check and link": {errors.Join(upstream.NotPrepared(errors.New("no key")), shelfshelf.ErrOwnLink), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			balancer := &balance.Balancer{Clock: clock}
			balancer.SetTargets([]shelfshelf.Pool{{Name: "p"}}, []shelfshelf.Target{{Name: "t", Pool: "p", Slots: 2}})
			need := balance.Need{Pool: "p", WaitUntil: clock.Now(), LatencyGoal: time.Second}
			lease, err := balancer.Acquire(context.Background(), need)
			if err != nil {
				t.Fatal(err)
			}
			r := &request{server: &Server{Clock: clock}, ctx: context.Background(), deadline: clock.Now().Add(time.Second)}
			r.releaseUnsent(lease, c.err)
			if _, err := balancer.Acquire(context.Background(), need); (err == nil) != c.free {
				t.Errorf("the next request: %v", err)
			}
		})
	}
}
