package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// drainTime is how long targets serve after they have said that they leave.
const drainTime = 2 * time.Second

// releases has all engines of a version drain, go from the list and come back, again and again. It has draws of
// its own, so that the faults of a seed stay as they are.
type releases struct {
	stage  *stage
	random *rand.Rand
	count  int
	done   chan struct{}
}

func (r *releases) run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		version := fmt.Sprint("v", 1+r.random.IntN(2))
		pause(ctx, time.Duration(1000+r.random.IntN(2000))*time.Millisecond)
		r.list(version, "draining")
		pause(ctx, drainTime)
		r.drop(version)
		pause(ctx, time.Duration(r.random.IntN(2000))*time.Millisecond)
		r.list(version, "ready")
		r.count++
	}
}

// pause waits until the time is over or the context ends.
func pause(ctx context.Context, time time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, time)
	defer cancel()
	<-ctx.Done()
}

// list lists all engines of a version in a state.
func (r *releases) list(version, state string) {
	for _, t := range r.stage.targets {
		if t.server.Version == version {
			r.stage.list(t, state)
		}
	}
}

// drop takes all engines of a version off the list.
func (r *releases) drop(version string) {
	for _, t := range r.stage.targets {
		if t.server.Version == version {
			r.stage.platform.Drop("servers", t.name)
		}
	}
}
