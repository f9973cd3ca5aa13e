package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

func (c *Catalog) setLost(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceLost && !lost {
		c.outageEnded = c.Clock.Now()
	}
	c.sourceLost = lost
}

// historyPause is the least time between two whole reads where the source drops its
// history again and again: without it, five readers made 330 calls a second for 14 s. A
// change is heard that much later.
const historyPause = 500 * time.Millisecond

// follower logs when a read's source is lost or back, and paces failed reads.
type follower struct {
	catalog *Catalog
	name    string
	failed  int
	lostAt  time.Time
	// goneAt is when the history of changes was last found gone.
	goneAt time.Time
}

// settle takes a read's error and reports whether it succeeded; after a failure
// it waits before it returns.
func (f *follower) settle(ctx context.Context, err error) bool {
	c := f.catalog
	if err == nil {
		if f.failed > 0 {
			c.setLost(false)
			c.Log.Info("The source is back.", "reads", f.name, "away", c.Clock.Now().Sub(f.lostAt))
		}
		f.failed = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if f.failed == 0 {
		f.lostAt = c.Clock.Now()
		c.Log.Warn("A read of the source failed.", "reads", f.name, "error", err)
	}
	f.failed++
	pause := min(firstPause<<min(f.failed, 8), lastPause)
	pause = time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
	if errors.Is(err, shelfshelf.ErrHistoryGone) {
		// The source answers: it is not lost, and is read as a whole.
		pause = f.pauseForHistory(c.Clock.Now())
	} else {
		c.setLost(true)
	}
	select {
	case <-ctx.Done():
	case <-c.Clock.After(pause):
	}
	return false
}

// pauseForHistory returns how long to wait before the source is read as a whole because
// its history is gone: not at all the first time.
func (f *follower) pauseForHistory(now time.Time) time.Duration {
	pause := max(historyPause-now.Sub(f.goneAt), 0)
	f.goneAt = now.Add(pause)
	return pause
}
