package balance

import (
	"context"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// unresponsiveOwnerBackoff is how long the owner of an owner-only target is not asked again
	// after it has failed to answer. Each attempt costs a request up to 40 ms, and the owner stays
	// responsible for the target as long as the other instances hear from it.
	unresponsiveOwnerBackoff = 250 * time.Millisecond
	// minRetryInterval keeps a waiting request from asking owners in a busy loop.
	minRetryInterval = time.Millisecond
)

// hasLimit reports whether the target has announced a limit, as far as this instance knows.
func (t *targetState) hasLimit() bool { return t.announcement.Limit.Set }

// AnnouncementChanged reloads what a target has announced about itself.
func (b *Balancer) AnnouncementChanged(key shelfshelf.TargetKey) {
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
	if before.Limit.Set && !t.hasLimit() {
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

// loadAnnouncement reads what a target has announced about itself. The caller must hold b.mu.
func (b *Balancer) loadAnnouncement(t *targetState) {
	if b.Announcements == nil {
		return
	}
	t.announcement = b.Announcements.Latest(t.key)
	// The target's entry may show the leaving later than its answers do, or never if the store is
	// unavailable.
	t.target.Leaving = t.target.Leaving || t.announcement.Leaving
	if !t.ownerOnly() {
		t.askOwnerAfter = time.Time{}
	}
}

// DataCentreOf returns the data centre of a target; false if the target is unknown.
func (b *Balancer) DataCentreOf(key shelfshelf.TargetKey) (shelfshelf.DataCentre, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targetsByKey[key]; t != nil {
		return t.target.DataCentre, true
	}
	return "", false
}

// acquireService waits for a slot at a plain service. Only the owner-only targets among its targets
// need a grant of their owner.
func (b *Balancer) acquireService(ctx context.Context, need Need) (lease *Lease, err error) {
	a := b.newOwnerAcquisition(need)
	some, all := a.ownerOnlyTargets()
	if !some {
		return b.acquireLocally(ctx, need)
	}
	defer func() { a.withdrawAll(lease != nil) }()
	lease = a.requestUntilGranted(ctx, a.chooseIfOwnerOnly)
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
// request are owner-only, the delay lasts at least until one of them may have a free slot, up to
// maxRetryAfter.
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
	if p == nil || b.SlotOwners == nil {
		return false, false
	}
	all = true
	now := b.Clock.Now()
	for _, t := range p.targets {
		if t.eligible(a.need, now) {
			some = some || t.ownerOnly()
			all = all && t.ownerOnly()
		}
	}
	return some, some && all
}

// requestUntilGranted asks the owners of the targets that choose returns for a slot, one after the
// other, until one grants it.
func (a *ownerAcquisition) requestUntilGranted(ctx context.Context, choose func() *targetState) *Lease {
	for range maxSlotRequests {
		t := choose()
		if t == nil {
			return nil
		}
		if lease := a.requestSlot(ctx, t); lease != nil || ctx.Err() != nil {
			return lease
		}
	}
	return nil
}

// chooseIfOwnerOnly returns the best owner-only target of a plain service whose cost is within the
// safe share of the goal. If there is none, it returns the best of all targets that may have a free
// slot, or nil if that one is not owner-only.
//
// Owner-only targets within the safe share come first even if others cost less: at a limit of 1.5
// requests per second, each of 36 instances observes the target only every 24 s, so a single slow
// answer would keep the target below its limit for long (it got 2 to 4 of 12 requests, simulated).
func (a *ownerAcquisition) chooseIfOwnerOnly() *targetState {
	safe := time.Duration(safeGoalShare * float64(a.need.LatencyGoal))
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

// chooseRetry returns the best of the owner-only targets whose owners a waiting request asks again.
func (a *ownerAcquisition) chooseRetry() *targetState {
	return a.chooseAndMark(func(t *targetState) bool { return a.retriable(t) })
}

// retriable reports whether a waiting request asks for a slot at a target again once one may be
// free. If the request is queued at the target, it does not ask again. Otherwise it does: at a
// target with a limit always, and at one that may turn cold only while it is in no queue at all.
func (a *ownerAcquisition) retriable(t *targetState) bool {
	return (t.hasLimit() || t.ownerOnly() && len(a.queuedRequests) == 0) && !a.queuedAt(t)
}

func (a *ownerAcquisition) queuedAt(t *targetState) bool {
	for _, named := range a.queuedRequests {
		if slices.Contains(named, t) {
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
	return a.balancer.Clock.After(max(soonest.Sub(now), minRetryInterval))
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

// nextRetryAt returns when a waiting request may ask again for a slot at one of the retriable
// targets; zero if there is no such target.
func (a *ownerAcquisition) nextRetryAt() time.Time {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	var soonest time.Time
	p := b.pools[a.need.Pool]
	if p == nil {
		return soonest
	}
	now := b.Clock.Now()
	for _, t := range p.targets {
		if !a.retriable(t) || !t.eligible(a.need, now) {
			continue
		}
		at := t.availableAt()
		if soonest.IsZero() || at.Before(soonest) {
			soonest = at
		}
	}
	return soonest
}

// skipUnresponsiveOwner withdraws a slot request for an owner-only target whose owner doesn't
// answer, and does not ask that owner again for unresponsiveOwnerBackoff.
func (a *ownerAcquisition) skipUnresponsiveOwner(t *targetState, id shelfshelf.SlotID) *Lease {
	a.unavailable++
	a.balancer.SlotOwners.Withdraw(id, false)
	a.balancer.recordBackoff(t, unresponsiveOwnerBackoff)
	return nil
}
