package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// waiter is a queued request.
type waiter struct {
	need    Need
	granted chan *Lease
}

// awaitGrant waits until a queued request gets a slot or must be refused.
func (b *Balancer) awaitGrant(ctx context.Context, w *waiter) (*Lease, error) {
	timeout := b.Clock.After(w.need.WaitUntil.Sub(b.Clock.Now()))
	select {
	case lease := <-w.granted:
		return lease, nil
	case <-ctx.Done():
	case <-timeout:
	}
	b.removeFromQueue(w)
	select {
	case lease := <-w.granted:
		// The grant arrived at the same moment.
		if ctx.Err() == nil {
			return lease, nil
		}
		lease.Cancel()
	default:
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &Refusal{Reason: shelfshelf.RefusedShed, RetryAfter: b.refusalRetryAfter(w.need)}
}

func (b *Balancer) removeFromQueue(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[w.need.Pool]; p != nil {
		p.remove(w)
	}
}

// retryAfter returns the retry delay for a refused caller. The delay is randomized: a shortage
// lasts some seconds, and callers that all retry at the same time would cause the next one.
func retryAfter(need Need) time.Duration {
	after := time.Duration(retryAfterGoals * float64(need.LatencyGoal) * (retryAfterMinFactor + retryAfterJitter*rand.Float64()))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// countAhead counts the queued requests that go before a new one.
func (p *pool) countAhead(need Need) int {
	count := 0
	for _, w := range p.queue {
		if compareNeeds(w.need, need) <= 0 {
			count++
		}
	}
	return count
}

func (p *pool) enqueue(w *waiter) {
	at := p.countAhead(w.need)
	p.queue = slices.Insert(p.queue, at, w)
}

// wakeDispatcher wakes the loop that dispatches queued requests. The caller must hold b.mu.
func (b *Balancer) wakeDispatcher() {
	select {
	case b.wakeupChannel() <- struct{}{}:
	default:
	}
}

// wakeupChannel returns the channel that wakes the loop. The caller must hold b.mu.
func (b *Balancer) wakeupChannel() chan struct{} {
	if b.wakeups == nil {
		b.wakeups = make(chan struct{}, 1)
	}
	return b.wakeups
}

// hasQueued reports whether a request waits in a queue of this instance. The caller must hold b.mu.
func (b *Balancer) hasQueued() bool {
	for _, p := range b.pools {
		if len(p.queue) > 0 {
			return true
		}
	}
	return false
}

func (p *pool) remove(w *waiter) {
	if at := slices.Index(p.queue, w); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// compareNeeds orders the queue: started requests first, then by the customer's rank, tier and
// arrival. Where queues are fair, the use of the customers precedes the arrival, when a request is
// dispatched (bringFairestTo).
func compareNeeds(a, b Need) int {
	if a.Started != b.Started {
		if a.Started {
			return -1
		}
		return 1
	}
	if a.Rank != b.Rank {
		return a.Rank - b.Rank
	}
	if a.Tier != b.Tier {
		return int(a.Tier - b.Tier)
	}
	return a.Arrived.Compare(b.Arrived)
}

// dispatch grants slots to queued requests in order. Streams that wait for a slot at their version don't hold
// up the requests behind them. The caller must hold b.mu.
func (b *Balancer) dispatch(p *pool, now time.Time) {
	for next := 0; next < len(p.queue); {
		p.bringFairestTo(next, now)
		w := p.queue[next]
		lease := b.tryGrant(p, w.need, now)
		switch {
		case lease != nil:
			p.queue = slices.Delete(p.queue, next, next+1)
			w.granted <- lease
		case w.need.StreamVersion != nil:
			next++
		default:
			return
		}
	}
}

// Run dispatches queued requests as the reported loads change, until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	return b.dispatchLoop(ctx)
}

// dispatchLoop dispatches queued requests whenever it is woken. It runs a timer only while requests
// are queued: with a permanent timer, 295 idle instances woke 29,500 times per second in total.
func (b *Balancer) dispatchLoop(ctx context.Context) error {
	b.mu.Lock()
	woken := b.wakeupChannel()
	b.mu.Unlock()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-woken:
			b.dispatchWhileQueued(ctx)
		}
	}
	return nil
}

func (b *Balancer) dispatchWhileQueued(ctx context.Context) {
	for queued := true; queued; {
		select {
		case <-ctx.Done():
			return
		case <-b.Clock.After(dispatchInterval):
		}
		b.mu.Lock()
		b.dispatchAll(b.Clock.Now())
		queued = b.hasQueued()
		b.mu.Unlock()
	}
}

// dispatchAll grants slots to the queued requests of all pools. The caller must hold b.mu.
func (b *Balancer) dispatchAll(now time.Time) {
	for _, p := range b.pools {
		b.dispatch(p, now)
	}
}

// Waiting returns how many requests are queued, here and at owners.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := int(b.waitingAtOwners.Load())
	for _, p := range b.pools {
		count += len(p.queue)
	}
	return count
}
