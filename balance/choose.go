package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// failurePenalty is what a target that fails every request is put back by.
	failurePenalty = 2 * time.Second
	// otherCentreShare is the part of its goal that a request may lose by staying in
	// its data centre: bytes between data centres cost, and an answer is worth no more
	// for coming long before its goal.
	otherCentreShare = 0.15
	// finishShare is the part of the time that a caller waits for the whole answer within
	// which it should end; an engine that would take longer is put back by a goal. How
	// long an answer takes counts for nothing else: a slow engine takes as much longer for
	// a short one. With a weight of 0.2, long answers asked the fastest engines alone,
	// where all others ask too, and of the longest tenth 0.28 were served, of all 0.75.
	finishShare = 0.7
	// safeShare is the part of its goal that a request may be expected to use up
	// without a penalty: predictions are often off by a factor of two.
	safeShare = 0.35
	// biasShare times the staleness of loads is the most that an instance's own
	// preference counts, in steps of one part in biasSteps.
	biasShare = 0.3
	biasSteps = 64
	// pieceTokens is how much of a prompt an engine is taken to read in one step.
	pieceTokens = 2048
	// speedHalfLife is how fast an observed speed becomes worthless without new ones.
	speedHalfLife = 20 * time.Second
	// mostTurns bounds how many times its places a plain service may have in calls: it queues
	// a few, and what it refuses has cost a way there and back.
	mostTurns = 3
	// crowdPenalty is what each request already running counts; it spreads requests
	// whose predictions are equal.
	crowdPenalty = 3 * time.Millisecond
)

// place gives a request the best target that has a place, or nil; the lock is
// held.
func (b *Balancer) place(p *pool, need Need, now time.Time) *Lease {
	b.look(now)
	best := b.cheapest(p, need, now, func(t *targetState) bool { return t.usable(need, now) })
	if best == nil {
		return nil
	}
	return b.grantAlone(p, best, need, now)
}

// cheapest returns the target of the least cost among those that fit, or nil; the lock
// is held.
func (b *Balancer) cheapest(p *pool, need Need, now time.Time, fits func(*targetState) bool) *targetState {
	var best *targetState
	var bestCost time.Duration
	for _, t := range p.targets {
		if !fits(t) {
			continue
		}
		cost := b.cost(p, t, need, now)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// grantAlone takes a place without an owner's word, which hears of it afterwards; the
// lock is held.
func (b *Balancer) grantAlone(p *pool, t *targetState, need Need, now time.Time) *Lease {
	lease := b.grant(p, t, need, now)
	if b.Places != nil && t.engine {
		lease.Alone = true
		lease.place = b.Places.Took(t.key, t.target.DataCentre)
	}
	return lease
}

// open reports that a target may get this request at all: a rest that it has asked for binds
// all requests of this instance, not the one that was turned away.
func (t *targetState) open(need Need, now time.Time) bool {
	return t.fits(need) && !now.Before(t.openAt())
}

// openAt returns when the target takes requests again, as far as is known.
func (t *targetState) openAt() time.Time {
	return shelfshelf.Later(t.restUntil, shelfshelf.Later(t.pacedUntil, t.said.RestUntil))
}

// fits reports that a target may ever get this request.
func (t *targetState) fits(need Need) bool {
	home := need.Homes == nil || need.Homes.Allows(t.region)
	return home && !t.evacuated && !t.target.Leaving && !slices.Contains(need.Avoid, t.target.Name) && allowed(need.choice, t)
}

// usable reports that a target may get this request now without an owner's word, as none that is
// paced may: 85 instances that send one each within 4 s are 85.
func (t *targetState) usable(need Need, now time.Time) bool {
	return !t.paced() && t.open(need, now) && t.load(now).requests < t.places(need)
}

// places is how many requests a target may have with this one. An engine keeps some for
// higher tiers. A plain service queues its calls, which are over before a word on them
// has reached the other instances: one may go there as long as its turn should come
// within a safe part of its goal. With 78 instances before three targets of six places, 6%
// more calls of a day of high load were in time, and 0.3 of the refusals were left (one
// seed, with and without).
func (t *targetState) places(need Need) int {
	if t.engine {
		return t.slots - shelfshelf.ReservedPlaces(t.slots, need.Tier, need.Begun)
	}
	turns := min(safeShare*float64(need.Goal)/float64(t.workTime()), mostTurns)
	return max(t.slots, int(turns*float64(t.slots)))
}

// cost is the expected time to the first token, with what speaks against the
// target in the same unit.
func (b *Balancer) cost(p *pool, t *targetState, need Need, now time.Time) time.Duration {
	requests := t.load(now).requests
	unread := b.unread(t, need, now)
	expected := b.expect(p, t, unread, now)
	cost := expected + lateness(expected, need.Goal)
	cost += time.Duration(t.failureShare(now) * float64(failurePenalty))
	cost += time.Duration(requests) * crowdPenalty
	if t.target.DataCentre != b.DataCentre {
		cost += time.Duration(otherCentreShare * float64(need.Goal))
	}
	if p.spec.Engine == nil {
		return cost
	}
	if p.tooSlow(t, need, unread, now) {
		cost += need.Goal
	}
	return cost + b.ownBias(t)
}

// tooSlow reports that an engine is not expected to end a request's answer in time.
func (p *pool) tooSlow(t *targetState, need Need, unread int, now time.Time) bool {
	if need.Deadline.IsZero() {
		return false
	}
	left := float64(need.Deadline.Sub(now))
	return float64(p.expectStay(t, need, unread, now)) > finishShare*left
}

// lateness is what an expected time beyond a safe part of the goal counts in
// addition: nothing below it, a whole goal at the goal, and more beyond.
func lateness(expected, goal time.Duration) time.Duration {
	safe := time.Duration(safeShare * float64(goal))
	if goal <= 0 || expected <= safe {
		return 0
	}
	over := float64(expected-safe) / float64(goal-safe)
	return time.Duration(over * over * float64(goal))
}

// ownBias makes each instance prefer other targets among near equals, the same ones
// every time. Instances that know each other's load only late would otherwise all
// send to the one that looked best; so each mostly uses targets that it knows well.
func (b *Balancer) ownBias(t *targetState) time.Duration {
	hash := xxhash.Sum64String(string(b.Self) + "/" + string(t.target.Name))
	part := float64(hash%biasSteps) / biasSteps
	return time.Duration(part * float64(b.view.staleness) * biasShare)
}

// unseen estimates how many requests the others have sent to a target since they
// told: as many as they keep there, for the part of a stay that has passed.
func (b *Balancer) unseen(t *targetState, requests int) float64 {
	if t.stay == 0 {
		return 0
	}
	others := float64(requests - t.own.requests)
	return others * float64(b.view.staleness) / 2 / float64(t.stay)
}

// expect predicts the time to the first token of a prompt of which the target has so many
// tokens to read, or to a plain answer.
func (b *Balancer) expect(p *pool, t *targetState, unread int, now time.Time) time.Duration {
	loaded := t.load(now)
	requests := loaded.requests
	if p.spec.Engine == nil {
		work := t.workTime()
		return work + work*time.Duration(requests)/time.Duration(2*t.slots)
	}
	reading := p.readingTime(t, unread+loaded.before(unread), now)
	queued := max(float64(requests+1-t.slots)+b.unseen(t, requests), 0)
	turn := float64(t.stay) / float64(t.slots)
	return firstTokenFixed + reading + time.Duration(queued*turn)
}

// expectStay predicts how long a request alone, of whose prompt an engine has so many tokens
// to read, would keep its place there.
func (p *pool) expectStay(t *targetState, need Need, unread int, now time.Time) time.Duration {
	reading := p.readingTime(t, unread, now)
	return firstTokenFixed + reading + time.Duration(need.OutputTokens)*p.step(t, now)
}

// readingTime is the time that a target takes to read so many prompt tokens.
func (p *pool) readingTime(t *targetState, tokens int, now time.Time) time.Duration {
	return time.Duration(float64(tokens) / p.prefillRate(t, now) * float64(time.Millisecond))
}

// unread is how much of a request's prompt a target would have to read.
func (b *Balancer) unread(t *targetState, need Need, now time.Time) int {
	return max(need.PromptTokens-b.placements.held(now, need.Prompt, t.target.Name), 0)
}

// before is how much of other prompts an engine reads before it has read one of so
// many tokens: it reads them piece by piece in turn, so that a long one holds up a
// short one for no longer than the short one takes itself.
func (l load) before(tokens int) int {
	return min(l.prefill, l.prefilling*max(tokens, pieceTokens))
}

// prefillRate returns a target's observed speed of reading. A slow one drifts back
// to the start's guess without new observations, so that it is tried again: it may
// have recovered.
func (p *pool) prefillRate(t *targetState, now time.Time) float64 {
	if t.prefillRate == 0 {
		return startPrefillRate
	}
	missing := max(startPrefillRate-t.prefillRate, 0)
	return t.prefillRate + missing*forgotten(now.Sub(t.rateAt))
}

// step returns a target's observed time of one token, by the same rule.
func (p *pool) step(t *targetState, now time.Time) time.Duration {
	if t.step == 0 {
		return startStep
	}
	excess := max(t.step-startStep, 0)
	return t.step - time.Duration(float64(excess)*forgotten(now.Sub(t.stepAt)))
}

// forgotten is the part of an observation that time has made worthless.
func forgotten(age time.Duration) float64 {
	return 1 - math.Exp2(-float64(age)/float64(speedHalfLife))
}

// grant takes a place at a target.
func (b *Balancer) grant(p *pool, t *targetState, need Need, now time.Time) *Lease {
	loaded := t.load(now)
	unread := b.unread(t, need, now)
	lease := &Lease{
		Target:       t.target,
		Region:       t.region,
		CachedTokens: need.PromptTokens - unread,
		Expected:     b.expect(p, t, unread, now),
		InFlight:     loaded.requests,
		balancer:     b,
		state:        t,
		need:         need,
		prefill:      unread,
		prefilling:   true,
		ahead:        loaded.before(unread),
		granted:      now,
	}
	t.own = t.own.plus(load{requests: 1, prefilling: 1, prefill: unread})
	t.ownerLoad++
	if b.Rollouts != nil {
		b.Rollouts.Began(t.target)
	}
	for _, part := range need.Prompt {
		b.placements.add(now, part.ID, t.target.Name)
	}
	return lease
}
