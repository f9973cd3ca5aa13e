package balance

import (
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// longestRestRetry bounds what a caller is told where all targets want a long rest: others may
// be added meanwhile.
const longestRestRetry = 30 * time.Second

// restsUntil returns when the first of the targets that a request may go to has had the rest that
// it asked this instance for; zero if one of them wants none now.
func (p *pool) restsUntil(need Need, now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		if !t.fits(need) {
			continue
		}
		until := t.said.RestUntil
		if !until.After(now) {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// refuseForRest refuses a request at once where all targets that it may go to want rest for longer
// than it can wait; nil where it may be served.
func (b *Balancer) refuseForRest(need Need) *Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[need.Pool]
	if p == nil {
		return nil
	}
	now := b.Clock.Now()
	until := p.restsUntil(need, now)
	if !until.After(need.WaitUntil) {
		return nil
	}
	return &Refusal{Reason: shelfshelf.RefusedRest, RetryAfter: afterRest(need, until.Sub(now))}
}

// comeBack is when a refused caller may come back: not before one of the targets has had its rest
// where all of them want some.
func (b *Balancer) comeBack(need Need) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.pools[need.Pool]
	if p == nil {
		return retryAfter(need)
	}
	if until := p.restsUntil(need, now); !until.IsZero() {
		return afterRest(need, until.Sub(now))
	}
	return retryAfter(need)
}

// afterRest is when callers may come back who wait for a rest to end; they come spread over the
// goal after it, since whoever asked for rest has little room.
func afterRest(need Need, left time.Duration) time.Duration {
	spread := time.Duration(rand.Float64() * float64(need.Goal))
	return max(min(left, longestRestRetry)+spread, shortestRetryAfter)
}
