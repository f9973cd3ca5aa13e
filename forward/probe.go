package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// probeInterval is how often links that are down are tried, and probesAtOnce how many of them.
	probeInterval = 500 * time.Millisecond
	probesAtOnce  = 4
)

// Run tries links that are down until the context ends. Requests find out about the others.
func (c *Client) Run(ctx context.Context) error {
	return c.probeLoop(ctx)
}

func (c *Client) probeLoop(ctx context.Context) error {
	defer c.transport.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(probeInterval):
		}
		var probes sync.WaitGroup
		for _, target := range c.links.down(probesAtOnce) {
			probes.Go(func() { c.probe(ctx, target) })
		}
		for _, pool := range c.links.cutPools() {
			probes.Go(func() { c.probePool(ctx, pool) })
		}
		probes.Wait()
	}
}

// probePool finds out whether this instance reaches targets of a pool again. A pool may have none any more.
func (c *Client) probePool(ctx context.Context, pool shelfshelf.PoolName) {
	if c.ownLinksWork(ctx, shelfshelf.Target{Pool: pool}) {
		c.links.endCut(pool)
	}
}

// probe tries the link to a target. The connection is kept for the next request.
func (c *Client) probe(ctx context.Context, target shelfshelf.Target) {
	if err := c.Direct.Preconnect(ctx, target.Address); err != nil {
		c.Log.Debug("A link is still down.", "target", target.Name, "address", target.Address, "error", err)
	}
}

// probeOrder returns the links that were tried longest ago.
func probeOrder(downLinks []*link, count int) []shelfshelf.Target {
	slices.SortFunc(downLinks, func(a, b *link) int { return cmp.Compare(a.failedAt.UnixNano(), b.failedAt.UnixNano()) })
	var targets []shelfshelf.Target
	for _, k := range downLinks[:min(len(downLinks), count)] {
		targets = append(targets, k.target)
	}
	return targets
}
