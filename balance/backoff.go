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
	if !b.restsUntil(need).After(need.WaitUntil) {
		return nil
	}
	return &Refusal{Reason: shelfshelf.RefusedRest, RetryAfter: b.comeBack(need)}
}

// comeBack is when a refused caller may come back: not before one of the targets has had its rest
// where all of them want some.
func (b *Balancer) comeBack(need Need) time.Duration {
	if left := b.RestLeft(need); left > 0 {
		return left
	}
	return retryAfter(need)
}

// RestLeft is how long a refused caller should stay away since all targets want rest; 0 if one of
// them wants none now. Those that have failed the request count too: who comes back comes with
// another one.
func (b *Balancer) RestLeft(need Need) time.Duration {
	need.Avoid = nil
	until := b.restsUntil(need)
	if until.IsZero() {
		return 0
	}
	return afterRest(need, until.Sub(b.Clock.Now()))
}

// restsUntil asks the pool of a request.
func (b *Balancer) restsUntil(need Need) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[need.Pool]; p != nil {
		return p.restsUntil(need, b.Clock.Now())
	}
	return time.Time{}
}

// afterRest is when callers may come back who wait for a rest to end; they come spread over the
// goal after it, since whoever asked for rest has little room.
func afterRest(need Need, left time.Duration) time.Duration {
	spread := time.Duration(rand.Float64() * float64(need.Goal))
	return max(min(left, longestRestRetry)+spread, shortestRetryAfter)
}
