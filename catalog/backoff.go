package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

func (c *Catalog) setSourceLost(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceLost && !lost {
		c.outageEnded = c.Clock.Now()
	}
	c.sourceLost = lost
}

// minFullReadInterval is the minimum time between two full reads when the source repeatedly drops its change
// history: without it, five readers made 330 calls a second for 14 s. Changes arrive up to this much later.
const minFullReadInterval = 500 * time.Millisecond

// readBackoff logs when one kind of read of the source begins to fail and when it succeeds again, and
// delays the next read after a failure.
type readBackoff struct {
	catalog  *Catalog
	name     string
	failures int
	lostAt   time.Time
	// fullReadAt is the planned time of the last full read after a loss of the change history.
	fullReadAt time.Time
}

// handleResult takes the error of a read and reports whether the read succeeded. After a failure it waits
// before it returns.
func (b *readBackoff) handleResult(ctx context.Context, err error) bool {
	c := b.catalog
	if err == nil {
		if b.failures > 0 {
			c.setSourceLost(false)
			c.Log.Info("The source is back.", "reads", b.name, "away", c.Clock.Now().Sub(b.lostAt))
		}
		b.failures = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if b.failures == 0 {
		b.lostAt = c.Clock.Now()
		c.Log.Warn("A read of the source failed.", "reads", b.name, "error", err)
	}
	b.failures++
	pause := min(retryDelayBase<<min(b.failures, 8), retryDelayMax)
	pause = time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
	if errors.Is(err, shelfshelf.ErrHistoryGone) {
		// The source does answer, so it is not lost; the next read is a full one.
		pause = b.fullReadDelay(c.Clock.Now())
	} else {
		c.setSourceLost(true)
	}
	select {
	case <-ctx.Done():
	case <-c.Clock.After(pause):
	}
	return false
}

// fullReadDelay returns how long to wait before the full read that a loss of the change history requires;
// 0 for the first one.
func (b *readBackoff) fullReadDelay(now time.Time) time.Duration {
	pause := max(minFullReadInterval-now.Sub(b.fullReadAt), 0)
	b.fullReadAt = now.Add(pause)
	return pause
}
