package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// failurePenalty is added to the cost of a target that fails every request.
	failurePenalty = 2 * time.Second
	// remotePenaltyShare is the share of its goal that a request may lose by staying in its data
	// centre. Traffic between data centres costs money, and an answer long before its goal is worth
	// no more than one just before it.
	remotePenaltyShare = 0.15
	// completionTimeShare is the share of the time left until the caller's deadline within which
	// the whole answer should end; an engine expected to take longer is penalized by one goal. The
	// duration of the answer has no other influence on the cost, since a slow engine is slow for
	// short answers in the same proportion. With a weight of 0.2 on the duration, requests with
	// long answers asked only the fastest engines, which all other requests ask too: of the tenth
	// with the longest answers, 0.28 were served, against 0.75 of all requests.
	completionTimeShare = 0.7
	// safeGoalShare is the share of its goal that a request may be expected to use without a
	// penalty. Predictions are often off by a factor of two.
	safeGoalShare = 0.35
	// maxBiasShare, multiplied by the staleness of the load reports, is the largest bias that an
	// instance adds to the cost of a target (see instanceBias). The bias has biasSteps different
	// values.
	maxBiasShare = 0.3
	biasSteps    = 64
	// prefillChunkTokens is how many prompt tokens an engine is assumed to prefill in one step.
	prefillChunkTokens = 2048
	// speedHalfLife is the half-life of an observed speed that no new observation confirms.
	speedHalfLife = 20 * time.Second
	// inFlightPenalty is added for each request in flight at a target. It spreads requests over
	// targets with equal predictions.
	inFlightPenalty = 3 * time.Millisecond
)

// tryGrant grants a request a slot at the target with the lowest cost among those with a free slot;
// nil if there is none. The caller must hold b.mu.
func (b *Balancer) tryGrant(p *pool, need Need, now time.Time) *Lease {
	b.refreshFleetState(now)
	best := b.cheapest(p, need, now, func(t *targetState) bool { return t.assignable(need, now) })
	if best == nil {
		return nil
	}
	return b.grantWithoutOwner(p, best, need, now)
}

// candidate is a target that may serve a request, with its cost; the zero value stands for none.
type candidate struct {
	target *targetState
	cost   time.Duration
}

// orCheaper returns the cheaper of two candidates.
func (c candidate) orCheaper(other candidate) candidate {
	if c.target == nil || other.cost < c.cost {
		return other
	}
	return c
}

// cheapest returns the target with the lowest cost among those that fits accepts, or nil. The
// caller must hold b.mu.
func (b *Balancer) cheapest(p *pool, need Need, now time.Time, fits func(*targetState) bool) *targetState {
	var best candidate
	for _, t := range p.targets {
		if fits(t) {
			best = best.orCheaper(candidate{target: t, cost: b.cost(p, t, need, now)})
		}
	}
	return best.target
}

// cheapestWithRoom returns the target to ask for a slot among those that fits accepts, or nil: the cheapest
// one that has room, or the cheapest full one if none has room or if the one that has costs more by over a
// goal, as one does that fails its requests. The cost doesn't tell room: all requests of a crowd would wait at
// the same few targets of their data centre while others are idle. The caller must hold b.mu.
func (b *Balancer) cheapestWithRoom(p *pool, need Need, now time.Time, fits func(*targetState) bool) *targetState {
	var free, full candidate
	for _, t := range p.targets {
		if !fits(t) {
			continue
		}
		c := candidate{target: t, cost: b.cost(p, t, need, now)}
		if t.hasRoom(need, now) {
			free = free.orCheaper(c)
		} else {
			full = full.orCheaper(c)
		}
	}
	if free.target == nil || full.target != nil && free.cost > full.cost+need.LatencyGoal {
		return full.target
	}
	return free.target
}

// grantWithoutOwner takes a slot that no owner has granted, and reports it to the owner. The caller
// must hold b.mu.
func (b *Balancer) grantWithoutOwner(p *pool, t *targetState, need Need, now time.Time) *Lease {
	lease := b.grant(p, t, need, now)
	if b.SlotOwners != nil && t.engine {
		lease.WithoutOwner = true
		lease.grantID = b.SlotOwners.RecordLocalGrant(t.key, t.target.DataCentre)
	}
	return lease
}

// available reports whether a target accepts this request now. A backoff that a target has
// requested applies to all requests of this instance, not only to the one that it rejected.
func (t *targetState) available(need Need, now time.Time) bool {
	return t.eligible(need, now) && !now.Before(t.availableAt())
}

// availableAt returns when the target accepts requests again, as far as is known.
func (t *targetState) availableAt() time.Time {
	return shelfshelf.Later(t.backoffUntil, shelfshelf.Later(t.askOwnerAfter, t.announcement.BackoffUntil))
}

// eligible reports whether a target may serve this request, now or later.
func (t *targetState) eligible(need Need, now time.Time) bool {
	allowedRegion := need.AllowedRegions == nil || need.AllowedRegions.Allows(t.region)
	return allowedRegion && !t.evacuated && t.stays(need, now) && !slices.Contains(need.ExcludedTargets, t.target.Name) && allowed(need, t)
}

// assignable reports whether a target may get this request now without asking its owner. It is
// always false for owner-only targets: if each of 85 instances sent one request within 4 s, the
// target would get 85.
func (t *targetState) assignable(need Need, now time.Time) bool {
	return !t.ownerOnly() && t.available(need, now) && t.hasRoom(need, now)
}

// hasRoom reports whether a target would take a request at once, as far as this instance knows.
func (t *targetState) hasRoom(need Need, now time.Time) bool {
	return t.load(now).requests < t.slotLimit(need)
}

// slotLimit is how many requests a target may have in flight, including this one. An engine
// reserves some slots for higher tiers. A plain service queues its calls (serviceLimit).
func (t *targetState) slotLimit(need Need) int {
	if t.engine {
		return t.slots - shelfshelf.ReservedSlots(t.slots, need.Tier, need.Started)
	}
	return t.serviceLimit(need.LatencyGoal)
}

// cost is the expected time to the first token, or to a plain answer, plus penalties, all as
// durations. The caller must hold b.mu.
func (b *Balancer) cost(p *pool, t *targetState, need Need, now time.Time) time.Duration {
	requests := t.load(now).requests
	uncached := b.uncachedTokens(t, need, now)
	expected := b.expect(p, t, uncached, now)
	cost := expected + latenessPenalty(expected, need.LatencyGoal)
	cost += time.Duration(t.failureShare(now) * float64(failurePenalty))
	cost += time.Duration(requests) * inFlightPenalty
	if t.target.DataCentre != b.DataCentre {
		cost += time.Duration(remotePenaltyShare * float64(need.LatencyGoal))
	}
	if t.target.Leaving {
		// A stream goes on there only if no other target has room: it may outlast the target.
		cost += need.LatencyGoal
	}
	if p.spec.Engine == nil {
		return cost
	}
	if p.tooSlow(t, need, uncached, now) {
		cost += need.LatencyGoal
	}
	return cost + b.instanceBias(t)
}

// tooSlow reports whether an engine is expected to finish the answer too late.
func (p *pool) tooSlow(t *targetState, need Need, uncached int, now time.Time) bool {
	if need.Deadline.IsZero() {
		return false
	}
	left := float64(need.Deadline.Sub(now))
	return float64(p.expectHoldTime(t, need, uncached, now)) > completionTimeShare*left
}

// latenessPenalty is the penalty for an expected time beyond the safe share of the goal: zero up to
// that share, one goal when the expected time equals the goal, and growing quadratically.
func latenessPenalty(expected, goal time.Duration) time.Duration {
	safe := time.Duration(safeGoalShare * float64(goal))
	if goal <= 0 || expected <= safe {
		return 0
	}
	over := float64(expected-safe) / float64(goal-safe)
	return time.Duration(over * over * float64(goal))
}

// instanceBias returns a part of the cost that is constant for a pair of instance and target, so
// that each instance prefers different targets among nearly equal ones. Load reports arrive late;
// without the bias, all instances would send to the same target that looks best. With it, much of
// the load of a target comes from the instances that prefer it, and each of them knows its own part
// exactly. The caller must hold b.mu.
func (b *Balancer) instanceBias(t *targetState) time.Duration {
	hash := xxhash.Sum64String(string(b.Self) + "/" + string(t.target.Name))
	part := float64(hash%biasSteps) / biasSteps
	return time.Duration(part * float64(b.fleetState.staleness) * maxBiasShare)
}

// unreportedRequests estimates how many requests other instances have sent to a target since their
// last reports: their requests there, times the fraction of the hold time that has passed since,
// which on average is half the staleness. The caller must hold b.mu.
func (b *Balancer) unreportedRequests(t *targetState, requests int) float64 {
	if t.holdTime == 0 {
		return 0
	}
	others := float64(requests - t.local.requests)
	return others * float64(b.fleetState.staleness) / 2 / float64(t.holdTime)
}

// expect predicts the time to the first token, given how many prompt tokens the target has not
// cached; for a plain service, the time to its answer. The caller must hold b.mu.
func (b *Balancer) expect(p *pool, t *targetState, uncached int, now time.Time) time.Duration {
	loaded := t.load(now)
	requests := loaded.requests
	if p.spec.Engine == nil {
		callTime := t.callTime()
		return callTime + callTime*time.Duration(requests)/time.Duration(2*t.slots)
	}
	prefill := p.prefillTime(t, uncached+loaded.prefillAhead(uncached), now)
	queued := max(float64(requests+1-t.slots)+b.unreportedRequests(t, requests), 0)
	timeToFreeSlot := float64(t.holdTime) / float64(t.slots)
	return firstTokenOverhead + prefill + time.Duration(queued*timeToFreeSlot)
}

// expectHoldTime predicts how long a request would hold its slot on an otherwise idle engine, given
// how many prompt tokens the engine has not cached.
func (p *pool) expectHoldTime(t *targetState, need Need, uncached int, now time.Time) time.Duration {
	prefill := p.prefillTime(t, uncached, now)
	return firstTokenOverhead + prefill + time.Duration(need.OutputTokens)*p.step(t, now)
}

// prefillTime is the time that a target takes to prefill a number of prompt tokens.
func (p *pool) prefillTime(t *targetState, tokens int, now time.Time) time.Duration {
	return time.Duration(float64(tokens) / p.prefillRate(t, now) * float64(time.Millisecond))
}

// uncachedTokens is how many prompt tokens of a request a target would have to prefill. The caller
// must hold b.mu.
func (b *Balancer) uncachedTokens(t *targetState, need Need, now time.Time) int {
	return max(need.PromptTokens-b.prefixes.cachedTokens(now, need.Prompt, t.target.Name), 0)
}

// prefillAhead is how many tokens of other prompts an engine prefills before it has finished a
// prompt of the given size. It prefills prompts in chunks, in turn, so a long prompt delays a short
// one by no more than the short one's own prefill time.
func (l load) prefillAhead(tokens int) int {
	return min(l.prefillTokens, l.prefilling*max(tokens, prefillChunkTokens))
}

// prefillRate returns the observed prefill rate of a target. Without new observations, a rate below
// the default decays towards it, so that a slow target, which may have recovered, is tried again.
func (p *pool) prefillRate(t *targetState, now time.Time) float64 {
	if t.prefillRate == 0 {
		return defaultPrefillRate
	}
	missing := max(defaultPrefillRate-t.prefillRate, 0)
	return t.prefillRate + missing*decayedShare(now.Sub(t.rateAt))
}

// step returns the observed time per output token of a target, with the same decay.
func (p *pool) step(t *targetState, now time.Time) time.Duration {
	if t.step == 0 {
		return defaultStep
	}
	excess := max(t.step-defaultStep, 0)
	return t.step - time.Duration(float64(excess)*decayedShare(now.Sub(t.stepAt)))
}

// decayedShare is the share of an observation's weight that is lost at a given age.
func decayedShare(age time.Duration) float64 {
	return 1 - math.Exp2(-float64(age)/float64(speedHalfLife))
}

// grant takes a slot at a target. The caller must hold b.mu.
func (b *Balancer) grant(p *pool, t *targetState, need Need, now time.Time) *Lease {
	loaded := t.load(now)
	uncached := b.uncachedTokens(t, need, now)
	lease := &Lease{
		Target:        t.target,
		Region:        t.region,
		CachedTokens:  need.PromptTokens - uncached,
		Expected:      b.expect(p, t, uncached, now),
		InFlight:      loaded.requests,
		balancer:      b,
		state:         t,
		need:          need,
		prefillTokens: uncached,
		prefilling:    true,
		tokensAhead:   loaded.prefillAhead(uncached),
		grantedAt:     now,
	}
	t.local = t.local.add(load{requests: 1, prefilling: 1, prefillTokens: uncached})
	t.ownerLoad++
	p.charge(lease)
	if b.Rollouts != nil && need.StreamVersion == nil {
		// Where a stream goes on isn't drawn, so that it is neither a trial nor evidence.
		b.Rollouts.RequestStarted(t.target)
	}
	for _, part := range need.Prompt {
		b.prefixes.add(now, part.ID, t.target.Name)
	}
	return lease
}
