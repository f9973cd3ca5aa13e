package balance

import (
	"context"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxSlotRequests is how many engines a request asks for a slot; it takes the first slot granted.
	// Waiting in several queues gets a slot sooner than waiting in one.
	maxSlotRequests = 8
	// maxUnavailable is how many engines may turn out to be unavailable before a request asks no
	// more of them; they don't count towards maxSlotRequests. A quarter of all engines may have
	// crashed at once, and they look best because they run nothing.
	maxUnavailable = 24
	// ownerLoadTTL is how long the load reported by an owner takes precedence over the loads that
	// the instances report, which are 0.1 to 0.4 s old.
	ownerLoadTTL = 300 * time.Millisecond
)

// ownerAcquisition is one request's attempt to get a slot from the owners of engines.
type ownerAcquisition struct {
	balancer *Balancer
	need     Need
	granted  chan shelfshelf.SlotResponse
	// tried holds the first target of each slot request.
	tried []*targetState
	// nextRequest is the slot request for the owner of the engine chosen last, and nextTargets are the targets
	// that it names. It is built when the engine is chosen, since the engine's entry may be replaced while its
	// owner is asked.
	nextRequest shelfshelf.SlotRequest
	nextTargets []*targetState
	// queuedRequests maps the slot requests that wait in the queue of an owner to their targets.
	// Those of owners that have not answered yet are included, whether they are queued or not.
	queuedRequests map[shelfshelf.SlotID][]*targetState
	// shared describes the owners asked whose engines share a queue, and forecast what they expect.
	shared   sharedOwners
	forecast queueForecast
	// answered counts the owners that granted a slot or queued the request, unavailable the engines
	// that accept nothing at the moment.
	answered    int
	unavailable int
}

func (b *Balancer) newOwnerAcquisition(need Need) *ownerAcquisition {
	return &ownerAcquisition{
		balancer:       b,
		need:           need,
		granted:        make(chan shelfshelf.SlotResponse, maxSlotRequests),
		queuedRequests: make(map[shelfshelf.SlotID][]*targetState),
	}
}

// acquireFromOwners asks the owners of the best engines for a slot, one after the other, and waits
// in the queues of those that are full.
func (b *Balancer) acquireFromOwners(ctx context.Context, need Need) (lease *Lease, err error) {
	a := b.newOwnerAcquisition(need)
	defer func() { a.withdrawAll(lease != nil) }()
	for len(a.tried)-a.unavailable < a.maxRequests() && a.unavailable < maxUnavailable {
		if len(a.tried) > 0 && !b.Clock.Now().Before(need.WaitUntil) {
			// Owners that don't answer have used up the time.
			break
		}
		if lease := a.takeGrant(); lease != nil {
			return lease, nil
		}
		t := a.chooseUntried()
		if t == nil {
			break
		}
		if lease := a.requestSlot(ctx, t); lease != nil {
			return lease, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if a.answered == 0 && !a.allOwnerOnly() {
		// No owner has answered: decide by this instance's own view of the load.
		lease, err := b.acquireLocally(ctx, need)
		if err == nil {
			lease.OwnersAsked = len(a.tried)
		}
		return lease, err
	}
	return a.awaitGrant(ctx)
}

// chooseUntried returns the best engine that has not been asked yet: those with room come first.
func (a *ownerAcquisition) chooseUntried() *targetState {
	return a.chooseAndMark(func(t *targetState) bool { return !a.asked(t) })
}

// chooseUnqueued returns the best engine in whose queue the request doesn't wait, whether it has
// been asked or not.
func (a *ownerAcquisition) chooseUnqueued() *targetState {
	return a.chooseAndMark(func(t *targetState) bool { return !a.queuedAt(t) })
}

// chooseAndMark returns the best available target that fits accepts, and records it as tried.
func (a *ownerAcquisition) chooseAndMark(fits func(t *targetState) bool) *targetState {
	best := a.chooseBest(func(t *targetState, _ time.Time) bool { return fits(t) })
	if best != nil {
		a.tried = append(a.tried, best)
	}
	return best
}

// chooseBest returns the best available target that fits accepts, and builds the slot request for
// its owner.
func (a *ownerAcquisition) chooseBest(fits func(t *targetState, now time.Time) bool) *targetState {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil {
		return nil
	}
	b.refreshFleetState(now)
	available := func(t *targetState) bool { return t.available(a.need, now) && fits(t, now) }
	var targets []*targetState
	if b.sharesQueues(p) {
		targets = a.chooseShared(p, now, available)
	} else if best := b.cheapestWithRoom(p, a.need, now, available); best != nil {
		targets = []*targetState{best}
	}
	if len(targets) == 0 {
		return nil
	}
	a.prepareRequest(p, targets, now)
	return targets[0]
}

// prepareRequest builds the slot request that names some targets of one owner. The caller must hold b.mu.
func (a *ownerAcquisition) prepareRequest(p *pool, targets []*targetState, now time.Time) {
	b := a.balancer
	best := targets[0]
	a.nextTargets = targets
	a.shared.next = nil
	if b.SharedQueues {
		a.shared.next = b.sharedQueue(best)
	}
	a.nextRequest = shelfshelf.SlotRequest{
		Target:           best.key,
		DataCentre:       best.target.DataCentre,
		Started:          a.need.Started,
		Rank:             a.need.Rank,
		Tier:             a.need.Tier,
		HoldTime:         p.expectHoldTime(best, a.need, b.uncachedTokens(best, a.need, now), now),
		MaxWait:          a.maxWait(p, best, now),
		Announcement:     best.announcement,
		PrimaryOwnerOnly: best.primaryOwnerOnly(now),
		InTimeUntil:      a.inTimeUntil(p, best, now),
		Customer:         uint32(a.need.Customer),
		Weight:           a.need.Weight,
		Fingerprint:      a.need.Fingerprint,
	}
	if len(targets) > 1 {
		for _, t := range targets {
			a.nextRequest.Targets = append(a.nextRequest.Targets, t.key)
		}
	}
}

// requestSlot asks the owner of one engine for a slot; if nobody owns the engine, this instance
// decides by its own view of the load.
func (a *ownerAcquisition) requestSlot(ctx context.Context, t *targetState) *Lease {
	b := a.balancer
	named := a.nextTargets
	a.shared.markAsked()
	answer := b.SlotOwners.Request(ctx, a.nextRequest, a.granted)
	switch answer.Outcome {
	case shelfshelf.SlotGranted:
		a.answered++
		granted := b.targetOf(answer, named)
		if granted != nil {
			b.recordOwnerLoad(granted, answer.InUse-1)
		}
		return a.acceptGrant(granted, answer.ID)
	case shelfshelf.SlotQueued:
		a.answered++
		if first := b.targetOf(answer, named); first != nil {
			b.recordOwnerLoad(first, answer.InUse)
		}
		a.noteWait(t, answer)
		a.noteForecast(t, answer)
		a.queuedRequests[answer.ID] = named
		return nil
	case shelfshelf.SlotPending:
		if a.nextRequest.PrimaryOwnerOnly {
			return a.skipUnresponsiveOwner(t, answer.ID)
		}
		a.queuedRequests[answer.ID] = named
		return nil
	case shelfshelf.SlotUnavailable:
		// The slot request is in no queue and doesn't count as answered. If it did, a request that
		// no other owner answers would wait in no queue until it is refused.
		a.unavailable++
		for _, t := range named {
			b.recordBackoff(t, answer.RetryAfter)
		}
		return nil
	case shelfshelf.SlotNoOwner:
		if a.grantedByOwnerOnly(t) {
			return a.skipUnresponsiveOwner(t, answer.ID)
		}
	}
	for _, t := range named {
		if lease := a.grantLocally(t); lease != nil {
			return lease
		}
	}
	return nil
}

// targetOf returns the target of an owner's reply among those that the slot request names; nil if it is none of them.
func (b *Balancer) targetOf(answer shelfshelf.SlotResponse, named []*targetState) *targetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.IndexFunc(named, func(t *targetState) bool { return t.key == answer.Target })
	if at < 0 {
		return nil
	}
	return named[at]
}

// grantedByOwnerOnly reports whether only the owner may grant the slots of a target, as far as is known now.
func (a *ownerAcquisition) grantedByOwnerOnly(t *targetState) bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return t.ownerOnly()
}

// grantLocally takes a slot without a grant of the owner if this instance's own view of the load
// shows a free one.
func (a *ownerAcquisition) grantLocally(t *targetState) *Lease {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil || !t.assignable(a.need, now) {
		return nil
	}
	lease := b.grantWithoutOwner(p, t, a.need, now)
	lease.OwnersAsked = len(a.tried)
	return lease
}

// acceptGrant turns a granted slot into a lease, or returns the slot if the engine is unknown or can no longer
// serve the request.
func (a *ownerAcquisition) acceptGrant(t *targetState, id shelfshelf.SlotID) *Lease {
	b := a.balancer
	b.mu.Lock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil || t == nil || b.targets[t.target.Name] != t || !t.available(a.need, now) {
		b.mu.Unlock()
		b.SlotOwners.Release(id, false)
		return nil
	}
	lease := b.grant(p, t, a.need, now)
	lease.grantID = id
	lease.OwnersAsked = len(a.tried)
	lease.Admission = a.admission()
	b.mu.Unlock()
	return lease
}

// awaitGrant waits until one of the queues grants a slot.
func (a *ownerAcquisition) awaitGrant(ctx context.Context) (*Lease, error) {
	b := a.balancer
	b.waitingAtOwners.Add(1)
	defer b.waitingAtOwners.Add(-1)
	a.decide()
	if a.forecast.decision.Refuse {
		return nil, a.refusal()
	}
	timeout := b.Clock.After(a.forecast.decision.HoldUntil.Sub(b.Clock.Now()))
	for {
		select {
		case grant := <-a.granted:
			lease, queued := a.acceptQueued(grant)
			if lease != nil {
				return lease, nil
			}
			if !queued {
				continue
			}
			// The target has started to leave, or has requested a backoff, since the request was
			// queued there. Other targets may be available.
			if lease := a.requestUntilGranted(ctx, a.chooseUnqueued); lease != nil {
				return lease, nil
			}
		case <-a.retryTimer():
			if lease := a.requestUntilGranted(ctx, a.chooseRetry); lease != nil {
				return lease, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout:
			return nil, a.refusal()
		}
	}
}

// acceptQueued turns a grant of a queue into a lease; nil if the engine can no longer serve the request, or if the slot
// request was withdrawn just before it was granted, so that it is queued no more.
func (a *ownerAcquisition) acceptQueued(grant shelfshelf.SlotResponse) (lease *Lease, queued bool) {
	named, queued := a.queuedRequests[grant.ID]
	if !queued {
		return nil, false
	}
	delete(a.queuedRequests, grant.ID)
	return a.acceptGrant(a.balancer.targetOf(grant, named), grant.ID), true
}

// refusal is the error for a request that none of the owners asked has granted a slot.
func (a *ownerAcquisition) refusal() *Refusal {
	return &Refusal{
		Reason: shelfshelf.RefusedShed, RetryAfter: a.refusalDelay(), SlotRequests: len(a.tried), UnaskedWithRoom: a.unaskedWithRoom(),
		Admission: a.admission(),
	}
}

// unaskedWithRoom counts the targets that had room for the request but whose owners were not asked.
func (a *ownerAcquisition) unaskedWithRoom() int {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[a.need.Pool]
	if p == nil {
		return 0
	}
	now := b.Clock.Now()
	count := 0
	for _, t := range p.targets {
		if t.available(a.need, now) && t.hasRoom(a.need, now) && !a.asked(t) {
			count++
		}
	}
	return count
}

// withdrawAll withdraws the slot requests that still wait, and tells their owners whether the
// request has got a slot.
func (a *ownerAcquisition) withdrawAll(served bool) {
	for id := range a.queuedRequests {
		a.balancer.SlotOwners.Withdraw(id, served)
	}
}

// recordOwnerLoad records the load that the owner of a target has reported.
func (b *Balancer) recordOwnerLoad(t *targetState, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.ownerLoad = requests
	t.ownerLoadAt = b.Clock.Now()
}

// recordBackoff records for how long a target gets no requests according to its owner, or for how
// long its owner is not to be asked.
func (b *Balancer) recordBackoff(t *targetState, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.Clock.Now().Add(left)
	switch {
	case t.ownerOnly():
		t.askOwnerAfter = until
	case until.After(t.backoffUntil):
		t.backoffUntil = until
	}
}

// Capacity returns the slots of a target and its load as reported by the instances; false if the
// target is unknown.
func (b *Balancer) Capacity(key shelfshelf.TargetKey) (slots, reported int, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targetsByKey[key]
	if t == nil {
		return 0, 0, false
	}
	return t.slots, t.reportedLoad(b.Clock.Now()).requests, true
}
