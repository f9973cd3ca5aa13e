package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// waiter is a request in line.
type waiter struct {
	need  Need
	lease chan *Lease
}

// wait waits until a request in line gets its place or has to be refused.
func (b *Balancer) wait(ctx context.Context, w *waiter) (*Lease, error) {
	timeout := b.Clock.After(w.need.WaitUntil.Sub(b.Clock.Now()))
	select {
	case lease := <-w.lease:
		return lease, nil
	case <-ctx.Done():
	case <-timeout:
	}
	b.leaveLine(w)
	select {
	case lease := <-w.lease:
		// The place came in the same moment.
		if ctx.Err() == nil {
			return lease, nil
		}
		lease.Cancel()
	default:
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &Refusal{Reason: shelfshelf.RefusedShed, RetryAfter: b.comeBack(w.need)}
}

func (b *Balancer) leaveLine(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[w.need.Pool]; p != nil {
		p.remove(w)
	}
}

// retryAfter is when a refused caller may come back: a shortage lasts for some
// seconds, and callers that all come back at once would meet it again.
func retryAfter(need Need) time.Duration {
	after := time.Duration(retryGoals * float64(need.Goal) * (retryLeast + retrySpread*rand.Float64()))
	return min(max(after, shortestRetryAfter), longestRetryAfter)
}

// ahead counts the requests in line that go before a new one.
func (p *pool) ahead(need Need) int {
	count := 0
	for _, w := range p.line {
		if compareNeeds(w.need, need) <= 0 {
			count++
		}
	}
	return count
}

func (p *pool) insert(w *waiter) {
	at := p.ahead(w.need)
	p.line = slices.Insert(p.line, at, w)
}

// wake starts the loop that tries waiting requests again; the lock is held.
func (b *Balancer) wake() {
	select {
	case b.woken() <- struct{}{}:
	default:
	}
}

// woken returns the channel that wakes the loop; the lock is held.
func (b *Balancer) woken() chan struct{} {
	if b.waking == nil {
		b.waking = make(chan struct{}, 1)
	}
	return b.waking
}

// waitsAlone reports that a request waits that no owner gives a place; the lock is held.
func (b *Balancer) waitsAlone() bool {
	for _, p := range b.pools {
		if len(p.line) > 0 {
			return true
		}
	}
	return false
}

func (p *pool) remove(w *waiter) {
	if at := slices.Index(p.line, w); at >= 0 {
		p.line = slices.Delete(p.line, at, at+1)
	}
}

// compareNeeds orders the line: begun requests first, then customers' ranks, tiers
// and arrival.
func compareNeeds(a, b Need) int {
	if a.Begun != b.Begun {
		if a.Begun {
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

// pump gives places to waiting requests in their order; the lock is held.
func (b *Balancer) pump(p *pool, now time.Time) {
	for len(p.line) > 0 {
		w := p.line[0]
		lease := b.place(p, w.need, now)
		if lease == nil {
			return
		}
		p.line = p.line[1:]
		w.lease <- lease
	}
}

// Run tries waiting requests again as the others' loads change.
func (b *Balancer) Run(ctx context.Context) error {
	return b.loopPump(ctx)
}

// loopPump sleeps while nobody waits: with a timer all the time, 295 idle instances woke
// 29,500 times a second.
func (b *Balancer) loopPump(ctx context.Context) error {
	b.mu.Lock()
	woken := b.woken()
	b.mu.Unlock()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-woken:
			b.pumpWhileWaiting(ctx)
		}
	}
	return nil
}

func (b *Balancer) pumpWhileWaiting(ctx context.Context) {
	for waits := true; waits; {
		select {
		case <-ctx.Done():
			return
		case <-b.Clock.After(pumpPeriod):
		}
		b.mu.Lock()
		b.pumpAll(b.Clock.Now())
		waits = b.waitsAlone()
		b.mu.Unlock()
	}
}

func (b *Balancer) pumpAll(now time.Time) {
	for _, p := range b.pools {
		b.pump(p, now)
	}
}

// Waiting returns how many requests stand in line.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := int(b.waitingOwned.Load())
	for _, p := range b.pools {
		count += len(p.line)
	}
	return count
}
