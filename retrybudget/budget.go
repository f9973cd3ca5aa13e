package retrybudget

import (
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// windowIntervals is the number of intervals that the window is divided into. Counts expire one interval
	// at a time.
	windowIntervals = 20
	// countedIntervals is the number of intervals that are counted. It is one more than windowIntervals,
	// because the newest interval is only partly over and the counts must cover a whole window.
	countedIntervals = windowIntervals + 1
	// safetyFactor is the fraction of the limit that is used. It leaves room for instances that
	// restart with empty counts, and for targets whose windows start at other times.
	safetyFactor = 0.6
)

// Limits bounds the retries of all instances together.
type Limits struct {
	// The retries within a window may not exceed Ratio times the requests plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts requests and retries by pool. Its exported fields must be set before use. It is safe
// for concurrent use.
type Budget struct {
	Clock  shelfshelf.Clock
	Limits Limits
	// Instances returns the number of instances that share the slack.
	Instances func() int

	mu           sync.Mutex
	start        time.Time
	countsByPool map[shelfshelf.PoolName]*poolCounts
}

type poolCounts struct {
	requests [countedIntervals]int
	retries  [countedIntervals]int
	// newestInterval is the number of the newest interval, counted since the budget was first used.
	newestInterval int64
}

// SetLimits replaces the limits. A change of the window resets all counts.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.Limits.Window {
		b.countsByPool = nil
	}
	b.Limits = limits
}

// CountRequest counts the first attempt of a request to a pool.
func (b *Budget) CountRequest(pool shelfshelf.PoolName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(pool)
	c.requests[c.newestInterval%countedIntervals]++
}

// TakeRetry counts a retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) TakeRetry(pool shelfshelf.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(pool)
	requests, retries := 0, 0
	for i := range countedIntervals {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	instances := float64(max(b.Instances(), 1))
	allowed := safetyFactor * (b.Limits.Ratio*float64(requests) + b.Limits.Slack/instances)
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.newestInterval%countedIntervals]++
	return true
}

// currentCounts returns a pool's counts after clearing the intervals that have left the window. The
// caller must hold b.mu.
func (b *Budget) currentCounts(pool shelfshelf.PoolName) *poolCounts {
	if b.countsByPool == nil {
		b.countsByPool = make(map[shelfshelf.PoolName]*poolCounts)
		b.start = b.Clock.Now()
	}
	currentInterval := int64(b.Clock.Now().Sub(b.start) / (b.Limits.Window / windowIntervals))
	c := b.countsByPool[pool]
	if c == nil {
		c = &poolCounts{newestInterval: currentInterval}
		b.countsByPool[pool] = c
	}
	for c.newestInterval < currentInterval {
		c.newestInterval++
		c.requests[c.newestInterval%countedIntervals] = 0
		c.retries[c.newestInterval%countedIntervals] = 0
		if currentInterval-c.newestInterval > countedIntervals {
			c.newestInterval = currentInterval - countedIntervals
		}
	}
	return c
}
