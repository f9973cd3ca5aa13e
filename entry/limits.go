package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/shelfshelf/shelfshelf"
)

// limiters keep customers and routes to their limits. Each entry enforces its
// share, one of as many as there are live instances, since the platform's
// balancer spreads callers evenly.
type limiters struct {
	mu     sync.Mutex
	byName map[string]*limiter
	share  int
}

// limiter is one customer's or route's share.
type limiter struct {
	limits   shelfshelf.Limits
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// allow takes a request of so many tokens; wait says when to come back if not.
func (l *limiters) allow(now time.Time, name string, limits shelfshelf.Limits, tokens, share int) (wait time.Duration, ok bool) {
	if limits == (shelfshelf.Limits{}) {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil || l.share != share {
		l.byName = make(map[string]*limiter)
		l.share = share
	}
	one := l.byName[name]
	if one == nil || one.limits != limits {
		one = &limiter{
			limits:   limits,
			requests: newRate(limits.RequestsPerSecond, share, 1),
			tokens:   newRate(limits.TokensPerSecond, share, tokens),
		}
		l.byName[name] = one
	}
	if one.tokens != nil && one.tokens.Burst() < tokens {
		one.tokens.SetBurstAt(now, tokens)
	}
	requests, wait := reserve(one.requests, now, 1)
	if wait > 0 {
		return wait, false
	}
	if _, wait = reserve(one.tokens, now, tokens); wait > 0 {
		if requests != nil {
			requests.CancelAt(now)
		}
		return wait, false
	}
	return 0, true
}

func newRate(perSecond float64, share, least int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	mine := perSecond / float64(max(share, 1))
	return rate.NewLimiter(rate.Limit(mine), max(int(mine), least, 1))
}

// reserve takes n at once or nothing.
func reserve(limiter *rate.Limiter, now time.Time, n int) (*rate.Reservation, time.Duration) {
	if limiter == nil || n == 0 {
		return nil, 0
	}
	reservation := limiter.ReserveN(now, n)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return reservation, wait
}
