package balance

import (
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// maxRequestedBackoff bounds the retry delay given to a caller if all targets have requested a long
// backoff: other targets may be added in the meantime.
const maxRequestedBackoff = 30 * time.Second

// requestedBackoffEnd returns when the first requested backoff ends among the targets that may
// serve the request; zero if one of these targets requests none at the moment, or if there are no
// such targets.
func (p *pool) requestedBackoffEnd(need Need, now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		if !t.eligible(need, now) {
			continue
		}
		until := t.announcement.BackoffUntil
		if !until.After(now) {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// refuseForBackoff refuses a request at once if all targets that may serve it have requested a
// backoff for longer than it can wait; nil otherwise.
func (b *Balancer) refuseForBackoff(need Need) *Refusal {
	if !b.requestedBackoffEnd(need).After(need.WaitUntil) {
		return nil
	}
	return &Refusal{Reason: shelfshelf.RefusedBackoff, RetryAfter: b.refusalRetryAfter(need)}
}

// refusalRetryAfter returns the retry delay for a refused caller. If all targets have requested a
// backoff, the delay lasts at least until the first of these ends, up to maxRequestedBackoff.
func (b *Balancer) refusalRetryAfter(need Need) time.Duration {
	if left := b.RequestedBackoffLeft(need); left > 0 {
		return left
	}
	return retryAfter(need)
}

// RequestedBackoffLeft returns the retry delay for a refused caller if all targets have requested a
// backoff; 0 if one of them requests none at the moment. Targets in ExcludedTargets count too, since
// the caller will return with a new request.
func (b *Balancer) RequestedBackoffLeft(need Need) time.Duration {
	need.ExcludedTargets = nil
	until := b.requestedBackoffEnd(need)
	if until.IsZero() {
		return 0
	}
	return spreadRetryAfter(need, until.Sub(b.Clock.Now()))
}

// requestedBackoffEnd is pool.requestedBackoffEnd for the pool of the request; zero if that pool is
// unknown.
func (b *Balancer) requestedBackoffEnd(need Need) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[need.Pool]; p != nil {
		return p.requestedBackoffEnd(need, b.Clock.Now())
	}
	return time.Time{}
}

// spreadRetryAfter returns the retry delay for callers that wait for a backoff to end. Callers are
// spread over one goal after it, since a target that requested a backoff has little capacity.
func spreadRetryAfter(need Need, left time.Duration) time.Duration {
	spread := time.Duration(rand.Float64() * float64(need.LatencyGoal))
	return max(min(left, maxRequestedBackoff)+spread, minRetryAfter)
}
