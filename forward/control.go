package forward

import (
	"context"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// controlDelay is how long a connection may take before another target is tried beside it: ten times as long as
// one usually takes.
const controlDelay = 20 * time.Millisecond

// failing reports whether the link of this instance to a target is known to fail, or may.
func (c *Client) failing(target shelfshelf.Target) bool {
	state := c.links.state(target)
	return state == linkDown || state == linkDoubtful
}

// reserve opens a connection to a target for another instance. Without one, the outcome says why: a target
// that isn't reached is told from links of this instance that fail by trying another target.
func (c *Client) reserve(ctx context.Context, target shelfshelf.Target, fresh bool) (*upstream.Reservation, outcome) {
	c.links.use(target)
	// The check begins beside a connection that takes long, or once the connection has failed.
	failed := make(chan struct{})
	works := make(chan bool, 1)
	check, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-check.Done():
			return
		case <-failed:
		case <-c.Clock.After(controlDelay):
		}
		works <- c.ownLinksWork(check, target)
	}()
	reserved, err := c.Direct.Reserve(ctx, target.Address, fresh)
	if err == nil {
		return reserved, outcomeReached
	}
	close(failed)
	select {
	case linksWork := <-works:
		return nil, c.unreached(target, err, linksWork)
	case <-ctx.Done():
		// The one that asked has gone, which says nothing of the target or the links.
		return nil, outcomeUnsent
	}
}

// unreached says why a target was not reached.
func (c *Client) unreached(target shelfshelf.Target, err error, linksWork bool) outcome {
	switch {
	case !linksWork:
		c.links.foundCut(target.Pool)
		return outcomeCut
	case isRefused(err):
		return outcomeRefused
	}
	return outcomeUnreachable
}

// ownLinksWork reports whether this instance reaches another target of a target's pool, or there is none. A whole
// pool may be cut off while others are reached.
func (c *Client) ownLinksWork(ctx context.Context, target shelfshelf.Target) bool {
	controls := c.Controls(target)
	return len(controls) == 0 || c.reachesAny(ctx, controls)
}

// reachesAny reports whether this instance reaches one of some targets. It tries them at once, as some may have ended.
func (c *Client) reachesAny(ctx context.Context, controls []shelfshelf.Target) bool {
	results := make(chan error, len(controls))
	for _, control := range controls {
		c.links.use(control)
		go func() { results <- c.Direct.Preconnect(ctx, control.Address) }()
	}
	for range controls {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}
