package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxTopTierOwners and maxOwners are how many owners of shared queues a request asks. An owner has eight engines,
	// so that three of them are more than the engines that a request asked when each had its own queue; the top tier
	// asks all owners of its data centre and some of another one.
	maxTopTierOwners = 6
	maxOwners        = 3
)

// sharedOwners are the owners of shared queues that one request has asked.
type sharedOwners struct {
	// asked are the engines of these owners, whether the request names them or not, and next those of the owner that
	// the next slot request goes to.
	asked map[shelfshelf.TargetKey]bool
	next  []shelfshelf.TargetKey
	// localWait is the shortest expected wait in a queue of this data centre, if localWaitKnown.
	localWait      time.Duration
	localWaitKnown bool
}

// markAsked records that the owner of the next slot request is asked.
func (s *sharedOwners) markAsked() {
	if len(s.next) > 0 && s.asked == nil {
		s.asked = make(map[shelfshelf.TargetKey]bool)
	}
	for _, engine := range s.next {
		s.asked[engine] = true
	}
}

// rankedTarget is a target that a request may use, and whether it has room for the request.
type rankedTarget struct {
	candidate
	room bool
}

// order is the cost by which targets of the same data centre are ordered: a full one goes behind one with room that
// costs up to a goal more.
func (r rankedTarget) order(goal time.Duration) time.Duration {
	if r.room {
		return r.cost
	}
	return r.cost + goal
}

// sharedQueue returns the engines that share a queue with an engine. One whose slots only its owner may grant is asked
// for alone. The caller must hold b.mu.
func (b *Balancer) sharedQueue(t *targetState) []shelfshelf.TargetKey {
	if b.SlotOwners == nil || !t.engine || t.ownerOnly() {
		return nil
	}
	return b.SlotOwners.SharedQueue(t.key, t.target.DataCentre)
}

// sharesQueues reports whether some engines of a pool share a queue. The caller must hold b.mu.
func (b *Balancer) sharesQueues(p *pool) bool {
	return b.SharedQueues && p.spec.Engine != nil && slices.ContainsFunc(p.targets, func(t *targetState) bool { return b.sharedQueue(t) != nil })
}

// maxRequests is how many slot requests a request makes at most.
func (a *ownerAcquisition) maxRequests() int {
	switch {
	case len(a.shared.asked) == 0:
		return maxSlotRequests
	case a.need.Tier == 0:
		return maxTopTierOwners
	}
	return maxOwners
}

// asked reports whether the request has asked for a slot of a target, or the owner in whose queue the target is. The
// caller must hold b.mu.
func (a *ownerAcquisition) asked(t *targetState) bool {
	return a.shared.asked[t.key] && !t.ownerOnly() || slices.Contains(a.tried, t)
}

// noteWait records the expected wait in the queue of an owner of this data centre.
func (a *ownerAcquisition) noteWait(t *targetState, answer shelfshelf.SlotResponse) {
	if !answer.WaitKnown || a.nextRequest.DataCentre != a.balancer.DataCentre {
		return
	}
	if !a.shared.localWaitKnown || answer.ExpectedWait < a.shared.localWait {
		a.shared.localWait, a.shared.localWaitKnown = answer.ExpectedWait, true
	}
}

// takeGrant returns a slot that the shared queue of one owner has granted while others were asked; nil if there is none.
func (a *ownerAcquisition) takeGrant() *Lease {
	if len(a.shared.asked) == 0 {
		return nil
	}
	select {
	case grant := <-a.granted:
		lease, _ := a.acceptQueued(grant)
		return lease
	default:
		return nil
	}
}

// chooseShared returns the engines to name in the next slot request, the best first, among those that fits accepts.
// An owner of this data centre goes first unless an engine of another one costs less, with the price of its bytes
// included. When no owner of this data centre is left, another one is asked if the expected wait here is longer than
// what that price stands for. The caller must hold b.mu.
func (a *ownerAcquisition) chooseShared(p *pool, now time.Time, fits func(*targetState) bool) []*targetState {
	var local, remote rankedTarget
	goal := a.need.LatencyGoal
	for _, t := range p.targets {
		if !fits(t) {
			continue
		}
		best := &remote
		if t.target.DataCentre == a.balancer.DataCentre {
			best = &local
		}
		if r := a.rank(p, t, now); best.target == nil || r.order(goal) < best.order(goal) {
			*best = r
		}
	}
	if home := a.homeTarget(p, now, fits); home.target != nil {
		return a.sameQueue(p, home, now, fits)
	}
	switch {
	case local.target == nil && (remote.target == nil || !a.mayLeaveDataCentre()):
		return nil
	case local.target == nil, remote.target != nil && remote.cost < local.cost:
		return a.sameQueue(p, remote, now, fits)
	}
	return a.sameQueue(p, local, now, fits)
}

// mayLeaveDataCentre reports whether an engine of another data centre may be asked for although the request waits
// in queues of this one.
func (a *ownerAcquisition) mayLeaveDataCentre() bool {
	price := time.Duration(remotePenaltyShare * float64(a.need.LatencyGoal))
	return !a.shared.localWaitKnown || a.shared.localWait > price
}

// rank returns a target with its cost. How many slots lower tiers leave free is up to the owner of a shared queue. The
// caller must hold b.mu.
func (a *ownerAcquisition) rank(p *pool, t *targetState, now time.Time) rankedTarget {
	room := t.hasRoom(a.need, now) || !t.ownerOnly() && t.load(now).requests < t.slots
	return rankedTarget{candidate: candidate{target: t, cost: a.balancer.cost(p, t, a.need, now)}, room: room}
}

// sameQueue returns the best target and, in order, the others that share its queue and that fits accepts. It leaves out
// those that fail or leave, and those on which the request would miss its goal, unless the best one is such a target too.
// A slow engine with a free slot is better than a wait for a fast one: the top tier waited for 0.4 s in one of ten
// cases while lower tiers got the slots of engines that cost more. The caller must hold b.mu.
func (a *ownerAcquisition) sameQueue(p *pool, best rankedTarget, now time.Time, fits func(*targetState) bool) []*targetState {
	late := a.missesGoal(p, best.target, now)
	avoidsBest := a.avoids(best.target, now)
	var others []rankedTarget
	for _, key := range a.balancer.sharedQueue(best.target) {
		t := a.balancer.targetsByKey[key]
		if t == nil || t == best.target || t.target.Pool != best.target.target.Pool || t.ownerOnly() || !fits(t) {
			continue
		}
		if (late || !a.missesGoal(p, t, now)) && (avoidsBest || !a.avoids(t, now)) {
			others = append(others, a.rank(p, t, now))
		}
	}
	goal := a.need.LatencyGoal
	slices.SortFunc(others, func(x, y rankedTarget) int {
		return cmp.Or(cmp.Compare(x.order(goal), y.order(goal)), cmp.Compare(x.target.key, y.target.key))
	})
	targets := []*targetState{best.target}
	for _, r := range others[:min(len(others), shelfshelf.MaxSlotTargets-1)] {
		targets = append(targets, r.target)
	}
	return targets
}

// avoids reports whether a target leaves, or fails so many requests that a goal is lost by it. The caller must hold b.mu.
func (a *ownerAcquisition) avoids(t *targetState, now time.Time) bool {
	return t.target.Leaving || time.Duration(t.failureShare(now)*float64(failurePenalty)) > a.need.LatencyGoal
}

// timeToFirst predicts the time from the grant of a slot to the first token. The caller must hold b.mu.
func (a *ownerAcquisition) timeToFirst(p *pool, t *targetState, now time.Time) time.Duration {
	uncached := a.balancer.uncachedTokens(t, a.need, now)
	return firstTokenOverhead + p.prefillTime(t, uncached+t.load(now).prefillAhead(uncached), now)
}

// missesGoal reports whether the request would miss its goal on an engine even with a slot at once. The caller must
// hold b.mu.
func (a *ownerAcquisition) missesGoal(p *pool, t *targetState, now time.Time) bool {
	return a.need.LatencyGoal > 0 && a.timeToFirst(p, t, now) > a.timeLeft(now)
}

// timeLeft is how long it is until the goal of the request.
func (a *ownerAcquisition) timeLeft(now time.Time) time.Duration {
	if a.need.Arrived.IsZero() {
		return a.need.LatencyGoal
	}
	return a.need.Arrived.Add(a.need.LatencyGoal).Sub(now)
}

// inTimeUntil is for how long a grant is still in time for the goal of the request; 0 if none is. The caller must
// hold b.mu.
func (a *ownerAcquisition) inTimeUntil(p *pool, t *targetState, now time.Time) time.Duration {
	return max(a.timeLeft(now)-a.timeToFirst(p, t, now), 0)
}

// SharedPool returns the pool of an engine that shares a queue with other engines of its owner, if queues are shared;
// false if it is no engine, or if its owner has to count its requests by themselves.
func (b *Balancer) SharedPool(key shelfshelf.TargetKey) (shelfshelf.PoolName, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targetsByKey[key]
	if t == nil || !t.engine || t.ownerOnly() {
		return "", false
	}
	return t.target.Pool, true
}
