package balance

import (
	"context"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// silentOwnerBackoff is how long the owner of a target with a limit is not asked again after it
	// has failed to answer. Each ask costs a request up to 40 ms, and the owner stays responsible
	// for the target until the other instances no longer hear from it.
	silentOwnerBackoff = 250 * time.Millisecond
	// minAskInterval keeps a waiting request from asking an owner in a busy loop.
	minAskInterval = time.Millisecond
)

// hasLimit reports whether the target has announced a limit, as far as this instance knows.
func (t *targetState) hasLimit() bool { return t.announcement.Limit.Named }

// WordChanged reloads what a target has announced about itself.
func (b *Balancer) WordChanged(key shelfshelf.TargetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targetsByKey[key]
	if t == nil {
		return
	}
	before := t.announcement
	b.loadAnnouncement(t)
	p := b.pools[t.target.Pool]
	if p == nil {
		return
	}
	if t.announcement.Leaving && !before.Leaving {
		p.replaceListed(t)
	}
	if before.Limit.Named && !t.hasLimit() {
		b.dispatch(p, b.Clock.Now())
	}
}

// replaceListed updates a target in a copy of the list, since callers may hold the old list.
func (p *pool) replaceListed(t *targetState) {
	p.listed = slices.Clone(p.listed)
	for i, listed := range p.listed {
		if listed.Name == t.target.Name {
			p.listed[i] = t.target
		}
	}
}

// loadAnnouncement reads what a target has announced about itself; the lock is held.
func (b *Balancer) loadAnnouncement(t *targetState) {
	if b.Announced == nil {
		return
	}
	t.announcement = b.Announced.Said(t.key)
	// The target's entry may say so later than its answers, or never if the store is unavailable.
	t.target.Leaving = t.target.Leaving || t.announcement.Leaving
	if !t.ownerOnly() {
		t.askOwnerAfter = time.Time{}
	}
}

// Where returns the data centre of a target; false if the target is unknown.
func (b *Balancer) Where(key shelfshelf.TargetKey) (shelfshelf.DataCentre, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targetsByKey[key]; t != nil {
		return t.target.DataCentre, true
	}
	return "", false
}

// acquireService waits for a slot at a plain service. Its targets need no owner, except for the
// owner-only ones, whose slots one instance grants for all.
func (b *Balancer) acquireService(ctx context.Context, need Need) (lease *Lease, err error) {
	a := b.newOwnerAcquisition(need)
	some, all := a.ownerOnlyTargets()
	if !some {
		return b.acquireLocally(ctx, need)
	}
	defer func() { a.leaveQueues(lease != nil) }()
	lease = a.askUntilGranted(ctx, a.chooseIfOwnerOnly)
	switch {
	case lease != nil:
		return lease, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case all:
		return a.awaitGrant(ctx)
	}
	return b.acquireLocally(ctx, need)
}

// allOwnerOnly reports whether all targets that may serve the request are owner-only.
func (a *ownerAcquisition) allOwnerOnly() bool {
	_, all := a.ownerOnlyTargets()
	return all
}

// retryAfter returns the retry delay for a refused caller. If all targets that may serve the
// request are owner-only, it is not before one of them may have a free slot.
func (a *ownerAcquisition) retryAfter() time.Duration {
	after := a.balancer.refusalRetryAfter(a.need)
	if !a.allOwnerOnly() {
		return after
	}
	return max(after, min(a.timeUntilRetry(), maxRetryAfter))
}

// ownerOnlyTargets reports whether some, and whether all, of the targets that may serve the request
// are owner-only.
func (a *ownerAcquisition) ownerOnlyTargets() (some, all bool) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[a.need.Pool]
	if p == nil || b.Places == nil {
		return false, false
	}
	all = true
	for _, t := range p.targets {
		if t.eligible(a.need) {
			some = some || t.ownerOnly()
			all = all && t.ownerOnly()
		}
	}
	return some, some && all
}

// askUntilGranted asks the owners of the targets that choose returns, one after the other.
func (a *ownerAcquisition) askUntilGranted(ctx context.Context, choose func() *targetState) *Lease {
	for range maxOwnerAsks {
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

// chooseIfOwnerOnly returns an owner-only target of a plain service whose cost is within the safe
// share of the goal; otherwise the best target if that is owner-only. Owner-only targets within the
// safe share come first even if others cost less: each of 36 instances observes a target with 1.5
// requests per second only every 24 s, so a single slow answer kept it below its rate for long (2
// to 4 of 12 requests, simulated).
func (a *ownerAcquisition) chooseIfOwnerOnly() *targetState {
	safe := time.Duration(safeGoalShare * float64(a.need.Goal))
	best := a.chooseBest(func(t *targetState, now time.Time) bool {
		b := a.balancer
		return t.ownerOnly() && !slices.Contains(a.tried, t) && b.cost(b.pools[a.need.Pool], t, a.need, now) <= safe
	})
	if best == nil {
		best = a.chooseBest(func(t *targetState, now time.Time) bool {
			return (t.ownerOnly() || t.assignable(a.need, now)) && !slices.Contains(a.tried, t)
		})
	}
	if best == nil || !best.ownerOnly() {
		return nil
	}
	a.tried = append(a.tried, best)
	return best
}

// chooseRetry returns the best of the owner-only targets that a waiting request asks again.
func (a *ownerAcquisition) chooseRetry() *targetState {
	return a.chooseAndMark(func(t *targetState) bool { return a.retriable(t) })
}

// retriable reports whether a waiting request asks for a slot at a target again once one may be
// free: always at a target with a limit, and at one that may turn cold only while the request is in
// no queue. Targets in whose queue it already waits are skipped.
func (a *ownerAcquisition) retriable(t *targetState) bool {
	return (t.hasLimit() || t.ownerOnly() && len(a.queuedAsks) == 0) && !a.queuedAt(t)
}

func (a *ownerAcquisition) queuedAt(t *targetState) bool {
	for _, other := range a.queuedAsks {
		if other == t {
			return true
		}
	}
	return false
}

// retryTimer returns a channel that receives when an owner-only target may have a free slot; nil if
// there is no such target.
func (a *ownerAcquisition) retryTimer() <-chan time.Time {
	soonest := a.nextRetryAt()
	if soonest.IsZero() {
		return nil
	}
	now := a.balancer.Clock.Now()
	return a.balancer.Clock.After(max(soonest.Sub(now), minAskInterval))
}

// timeUntilRetry is how long it takes until an owner-only target may have a free slot; 0 if there
// is no such target.
func (a *ownerAcquisition) timeUntilRetry() time.Duration {
	soonest := a.nextRetryAt()
	if soonest.IsZero() {
		return 0
	}
	return soonest.Sub(a.balancer.Clock.Now())
}

// nextRetryAt returns when the first of the owner-only targets that a waiting request asks again
// may be asked; zero if there is no such target.
func (a *ownerAcquisition) nextRetryAt() time.Time {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	var soonest time.Time
	p := b.pools[a.need.Pool]
	if p == nil {
		return soonest
	}
	for _, t := range p.targets {
		if !a.retriable(t) || !t.eligible(a.need) {
			continue
		}
		at := t.availableAt()
		if soonest.IsZero() || at.Before(soonest) {
			soonest = at
		}
	}
	return soonest
}

// skipSilentOwner gives up an ask of an owner-only target whose owner doesn't answer, and backs off
// from the target for a while.
func (a *ownerAcquisition) skipSilentOwner(t *targetState, id shelfshelf.PlaceID) *Lease {
	a.unavailable++
	a.balancer.Places.Leave(id, false)
	a.balancer.recordBackoff(t, silentOwnerBackoff)
	return nil
}
