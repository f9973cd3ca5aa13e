package balance

import (
	"context"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// silentOwnerPause is how long the owner of a target with a limit is not asked again that
	// has not answered: each ask costs a request up to 40 ms, and the target stays its own
	// until the others no longer hear it.
	silentOwnerPause = 250 * time.Millisecond
	// leastAskPause keeps a waiting request from asking an owner without a pause.
	leastAskPause = time.Millisecond
)

// limited reports that the target has announced a limit, as far as is known here.
func (t *targetState) limited() bool { return t.said.Limit.Named }

// WordChanged takes what a target has newly said of itself.
func (b *Balancer) WordChanged(key shelfshelf.TargetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.keys[key]
	if t == nil {
		return
	}
	before := t.said
	b.recallWord(t)
	p := b.pools[t.target.Pool]
	if p == nil {
		return
	}
	if t.said.Leaving && !before.Leaving {
		p.relist(t)
	}
	if before.Limit.Named && !t.limited() {
		b.pump(p, b.Clock.Now())
	}
}

// relist puts a target into the list as it now stands; those who were given the list keep the
// old one.
func (p *pool) relist(t *targetState) {
	p.listed = slices.Clone(p.listed)
	for i, listed := range p.listed {
		if listed.Name == t.target.Name {
			p.listed[i] = t.target
		}
	}
}

// recallWord notes what a target has said of itself; the lock is held.
func (b *Balancer) recallWord(t *targetState) {
	if b.Announced == nil {
		return
	}
	t.said = b.Announced.Said(t.key)
	// The entry may say it later than the target's answers, or never while the store is away.
	t.target.Leaving = t.target.Leaving || t.said.Leaving
	if !t.paced() {
		t.pacedUntil = time.Time{}
	}
}

// Where returns the data centre of a target; false if it is unknown.
func (b *Balancer) Where(key shelfshelf.TargetKey) (shelfshelf.DataCentre, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.keys[key]; t != nil {
		return t.target.DataCentre, true
	}
	return "", false
}

// acquirePlain waits for a place at a plain service. Its targets need no owner but for those
// that are paced, by one instance for all.
func (b *Balancer) acquirePlain(ctx context.Context, need Need) (lease *Lease, err error) {
	a := b.newAsking(need)
	some, only := a.paces()
	if !some {
		return b.acquireAlone(ctx, need)
	}
	defer func() { a.leaveLines(lease != nil) }()
	lease = a.askWhile(ctx, a.chooseIfPaced)
	switch {
	case lease != nil:
		return lease, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case only:
		return a.wait(ctx)
	}
	return b.acquireAlone(ctx, need)
}

// onlyPaced reports that all targets that the request may go to are paced.
func (a *asking) onlyPaced() bool {
	_, only := a.paces()
	return only
}

// retryAfter is when a refused caller may come back: not before a target that is paced has room
// again where the request may go to no other.
func (a *asking) retryAfter() time.Duration {
	after := a.balancer.comeBack(a.need)
	if !a.onlyPaced() {
		return after
	}
	return max(after, min(a.untilRoom(), longestRetryAfter))
}

// paces reports whether some, and whether all, of the targets that the request may go to are
// paced.
func (a *asking) paces() (some, only bool) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[a.need.Pool]
	if p == nil || b.Places == nil {
		return false, false
	}
	only = true
	for _, t := range p.targets {
		if t.fits(a.need) {
			some = some || t.paced()
			only = only && t.paced()
		}
	}
	return some, some && only
}

// askWhile asks the owners of the targets that are chosen, one after the other.
func (a *asking) askWhile(ctx context.Context, choose func() *targetState) *Lease {
	for range asksAtMost {
		t := choose()
		if t == nil {
			return nil
		}
		if lease := a.ask(ctx, t); lease != nil || ctx.Err() != nil {
			return lease
		}
	}
	return nil
}

// chooseIfPaced returns a paced target of a plain service that does well enough for
// the request, else the best target if it is a paced one. Those that do well enough go
// first: one of 36 instances hears of a target of 1.5 a second every 24 s, so that a single
// slow answer kept it from its due (2 to 4 of 12 requests, simulated).
func (a *asking) chooseIfPaced() *targetState {
	safe := time.Duration(safeShare * float64(a.need.Goal))
	best := a.chooseFrom(func(t *targetState, now time.Time) bool {
		b := a.balancer
		return t.paced() && !slices.Contains(a.tried, t) && b.cost(b.pools[a.need.Pool], t, a.need, now) <= safe
	})
	if best == nil {
		best = a.chooseFrom(func(t *targetState, now time.Time) bool {
			return (t.paced() || t.usable(a.need, now)) && !slices.Contains(a.tried, t)
		})
	}
	if best == nil || !best.paced() {
		return nil
	}
	a.tried = append(a.tried, best)
	return best
}

// choosePaced returns the best of the paced targets that a waiting request asks.
func (a *asking) choosePaced() *targetState {
	return a.try(func(t *targetState) bool { return a.asksAgain(t) })
}

// asksAgain reports that a waiting request asks for a place at a target once there may be room: at one
// with a limit wherever it waits, at one that may turn cold only while it stands in no line.
func (a *asking) asksAgain(t *targetState) bool {
	return (t.limited() || t.paced() && len(a.waits) == 0) && !a.waitsAt(t)
}

func (a *asking) waitsAt(t *targetState) bool {
	for _, other := range a.waits {
		if other == t {
			return true
		}
	}
	return false
}

// again returns a channel that receives once a paced target may have room for another
// request; nil where there is none.
func (a *asking) again() <-chan time.Time {
	soonest := a.soonestRoom()
	if soonest.IsZero() {
		return nil
	}
	now := a.balancer.Clock.Now()
	return a.balancer.Clock.After(max(soonest.Sub(now), leastAskPause))
}

// untilRoom is how long it takes until a paced target may have room; 0 where there is none.
func (a *asking) untilRoom() time.Duration {
	soonest := a.soonestRoom()
	if soonest.IsZero() {
		return 0
	}
	return soonest.Sub(a.balancer.Clock.Now())
}

// soonestRoom returns when the first of the paced targets that a waiting request asks may be asked
// again; zero where there is none.
func (a *asking) soonestRoom() time.Time {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	var soonest time.Time
	p := b.pools[a.need.Pool]
	if p == nil {
		return soonest
	}
	for _, t := range p.targets {
		if !a.asksAgain(t) || !t.fits(a.need) {
			continue
		}
		at := t.openAt()
		if soonest.IsZero() || at.Before(soonest) {
			soonest = at
		}
	}
	return soonest
}

// passBy gives up an ask of a target with a limit whose owner doesn't answer, and leaves the
// target alone for a while.
func (a *asking) passBy(t *targetState, id shelfshelf.PlaceID) *Lease {
	a.resting++
	a.balancer.Places.Leave(id, false)
	a.balancer.hearRest(t, silentOwnerPause)
	return nil
}
