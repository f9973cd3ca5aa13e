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
	control := make(chan bool, 1)
	begun := make(chan struct{})
	opened := make(chan struct{})
	go func() {
		defer close(begun)
		select {
		case <-opened:
		case <-c.Clock.After(controlDelay):
			control <- c.ownLinksWork(ctx, target.Name)
		}
	}()
	reserved, err := c.Direct.Reserve(ctx, target.Address, fresh)
	close(opened)
	if err == nil {
		return reserved, outcomeReached
	}
	<-begun
	select {
	case works := <-control:
		return nil, c.unreached(err, works)
	default:
		return nil, c.unreached(err, c.ownLinksWork(ctx, target.Name))
	}
}

// unreached says why a target was not reached.
func (c *Client) unreached(err error, linksWork bool) outcome {
	switch {
	case !linksWork:
		c.links.foundCut()
		return outcomeCut
	case isRefused(err):
		return outcomeRefused
	}
	return outcomeUnreachable
}

// reachesOther reports whether this instance reaches a target other than one. It tries several at once, as one
// may have ended too.
func (c *Client) reachesOther(ctx context.Context, excluded shelfshelf.TargetName) bool {
	controls := c.Controls(excluded)
	results := make(chan error, len(controls))
	for _, address := range controls {
		go func() { results <- c.Direct.Preconnect(ctx, address) }()
	}
	for range controls {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}
