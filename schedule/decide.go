package schedule

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// placing is what became of an attempt to place one request.
type placing uint8

const (
	// placed means that the request has its grant.
	placed placing = iota
	// parked means that the request had better wait for an engine that holds its
	// prompt; others may pass it.
	parked
	// full means that no engine has room for the request's tier, so none has
	// room for a lower tier either.
	full
	// hopeless means that no engine can answer in time any more.
	hopeless
)

// Decide returns the grants and refusals that are due. Requests go by tier, in
// a tier by customer, the least served first, and there by due time. A tier
// that can't be placed stops those below it.
func (p *Pool) Decide(now time.Time) []shelfshelf.Decision {
	p.expire(now)
	p.wakeRested(now)
	decisions := p.refusals
	p.refusals = nil
	if now.Sub(p.blockedAt) >= blockedFor {
		p.unblock()
	}
	decisions = p.grantAged(now, decisions)
	p.parkedAbove = 0
	for tier := shelfshelf.Tier(0); tier < p.blocked; tier++ {
		var open bool
		decisions, open = p.grantTier(now, tier, decisions)
		if !open {
			p.blocked = tier
			p.blockedAt = now
		}
	}
	if len(p.refusals) > 0 {
		decisions = append(decisions, p.refusals...)
		p.refusals = nil
	}
	return decisions
}

const (
	// blockedFor is how long a tier without room is left alone if nothing changes
	// but the time.
	blockedFor = 10 * time.Millisecond
	// parkedPerSlot is how many parked requests of higher tiers take a further slot
	// of each engine from lower ones.
	parkedPerSlot = 4
	// parkedRetry is how often a parked request is tried again.
	parkedRetry = 20 * time.Millisecond
)

// expire refuses the requests whose time has passed.
func (p *Pool) expire(now time.Time) {
	for {
		item, ok := p.line.byDue.Min()
		if !ok || item.due.After(now) {
			return
		}
		p.giveUp(item)
	}
}

func (p *Pool) giveUp(item *waiting) {
	p.line.remove(item)
	p.refuse(item.ask.ID, shelfshelf.RefusedDeadline, retryAfter(p.lineWait(item.ask.Tier)))
}

// grantAged lets a request that has waited past its tier's bound go ahead of
// higher tiers, one in every AgedEvery grants, so that no tier starves and none
// above it suffers for long. Only the order of dispatch ages, never that of
// shedding.
func (p *Pool) grantAged(now time.Time, decisions []shelfshelf.Decision) []shelfshelf.Decision {
	for tier := len(p.specs) - 1; tier > 0 && p.sinceAged >= p.tuning.AgedEvery; tier-- {
		bound := p.specs[tier].MaxWait
		front := p.line.tiers[tier].byAge.Front()
		if bound <= 0 || front == nil {
			continue
		}
		item := front.Value.(*waiting)
		if now.Sub(item.ask.Arrived) < bound {
			continue
		}
		decision, result := p.tryGrant(now, item, 0)
		if result == placed {
			p.sinceAged = 0
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// grantTier grants what it can of one tier; open is false if the tier is left
// with requests for which there is no room.
func (p *Pool) grantTier(now time.Time, tier shelfshelf.Tier, decisions []shelfshelf.Decision) (_ []shelfshelf.Decision, open bool) {
	for passed := 0; passed < p.tuning.ScanLimit; {
		item := p.candidate(tier, passed)
		if item == nil {
			p.parkedAbove += passed
			return decisions, true
		}
		if now.Before(item.retryAt) && (item.triedAt == p.changes || !p.waitsBelow(tier)) {
			passed++
			continue
		}
		decision, result := p.tryGrant(now, item, tier)
		switch result {
		case placed:
			decisions = append(decisions, decision)
			p.sinceAged++
		case parked:
			item.retryAt = now.Add(parkedRetry)
			item.triedAt = p.changes
			passed++
		case hopeless:
			p.giveUp(item)
		case full:
			return decisions, false
		}
	}
	// Behind so many there may be one that could be placed now, so no lower tier
	// may go before it.
	return decisions, false
}

// waitsBelow reports whether a lower tier has requests that would pass.
func (p *Pool) waitsBelow(tier shelfshelf.Tier) bool {
	for _, lower := range p.line.tiers[tier+1:] {
		if lower.byAge.Len() > 0 {
			return true
		}
	}
	return false
}

// candidate returns the tier's next request after passing over some.
func (p *Pool) candidate(tier shelfshelf.Tier, passed int) *waiting {
	var found *waiting
	p.line.tiers[tier].active.Scan(func(customer *customerLine) bool {
		if passed >= customer.queue.Len() {
			passed -= customer.queue.Len()
			return true
		}
		found, _ = customer.queue.GetAt(passed)
		return false
	})
	return found
}

// tryGrant places one request as if it were of the given tier.
func (p *Pool) tryGrant(now time.Time, item *waiting, as shelfshelf.Tier) (shelfshelf.Decision, placing) {
	engine, cached, result := p.choose(now, item, as)
	if result != placed {
		return shelfshelf.Decision{}, result
	}
	ask := item.ask
	uncached := max(0, ask.PromptTokens-cached)
	p.line.serve(item, float64(uncached+outputTokenWeight*ask.OutputTokens))
	p.fly(now, ask, engine, cached)
	return shelfshelf.Decision{
		ID:           ask.ID,
		Granted:      true,
		Target:       engine.target.Name,
		Priority:     int(ask.Tier),
		CachedTokens: cached,
		ValidUntil:   now.Add(p.tuning.GrantValid),
	}, placed
}

// outputTokenWeight is what a written token counts beside a read one.
const outputTokenWeight = 4

// fly counts a request on its engine.
func (p *Pool) fly(now time.Time, ask shelfshelf.Ask, engine *engineState, cached int) {
	flight := &inFlight{ask: ask, engine: engine, granted: now}
	flight.uncached = max(0, ask.PromptTokens-cached)
	flight.predicted = time.Duration(engine.firstTokenSeconds(flight.uncached) * float64(time.Second))
	p.flying[ask.ID] = flight
	p.change(now, engine, func() {
		engine.occupied++
		engine.prefillAhead += flight.uncached
		flight.pending = engine.pending.PushBack(flight)
	})
	p.prefix.use(now, engine, ask.Prefix)
}

// choice is the best engine found so far.
type choice struct {
	engine *engineState
	cached int
	score  float64
	// firstToken is the predicted time to the first token, in seconds.
	firstToken float64
	// late says that the first token would come after it is due.
	late bool
}

// choose weighs the engines that hold most of the prompt and the least loaded.
// The score is the predicted time to the first token, with repeated reading
// counted more than once, since it takes the time of others too. An engine that
// would be late is not taken while another could still be in time.
func (p *Pool) choose(now time.Time, item *waiting, as shelfshelf.Tier) (*engineState, int, placing) {
	p.gather(item.ask)
	best := choice{}
	warmest := 0
	for _, candidate := range p.candidates {
		engine, cached := candidate.engine, candidate.cached
		if engine.leaving || avoids(item.ask, engine) {
			continue
		}
		warmest = max(warmest, cached)
		weighed, fits := p.weigh(now, engine, item.ask, cached, as)
		if !fits {
			continue
		}
		weighed.late = now.Add(seconds(weighed.firstToken)).After(item.due)
		if best.engine == nil || weighed.before(&best) {
			best = weighed
		}
	}
	if best.engine == nil || best.late {
		return nil, 0, p.whyNot(now, item, best, warmest)
	}
	if warmest-best.cached >= p.tuning.ParkTokens && p.waitsForWarm(now, item) {
		return nil, 0, parked
	}
	return best.engine, best.cached, placed
}

// before reports whether a choice is better than another.
func (c *choice) before(other *choice) bool {
	if c.late != other.late {
		return !c.late
	}
	return c.score < other.score
}

// whyNot tells why a request is not placed: no engine could answer in time even
// if it had nothing else to do; or those with room are too slow for it, and
// others may pass it on to them; or there is no room.
func (p *Pool) whyNot(now time.Time, item *waiting, best choice, warmest int) placing {
	uncached := max(0, item.ask.PromptTokens-warmest)
	if now.Add(p.quickest(uncached)).After(item.due) {
		return hopeless
	}
	if best.engine != nil {
		return parked
	}
	return full
}

// quickest returns the time in which the quickest engine without any other work
// would read a prompt.
func (p *Pool) quickest(uncached int) time.Duration {
	if p.fastestRate <= 0 {
		return 0
	}
	return seconds(float64(uncached) / p.fastestRate)
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// candidate is an engine to weigh and how much of the prompt it holds.
type candidate struct {
	engine *engineState
	cached int
}

// gather collects the engines to weigh into p.candidates: those that hold most
// of the prompt, found by its marks from the longest, and the least loaded.
func (p *Pool) gather(ask shelfshelf.Ask) {
	p.stamp++
	p.candidates = p.candidates[:0]
	if p.truth == nil {
		p.gatherHolders(ask)
	}
	limit := len(p.candidates) + p.tuning.Candidates
	if p.truth != nil {
		limit = p.byLoad.Len()
	}
	if limit == 0 {
		return
	}
	p.byLoad.Scan(func(engine *engineState) bool {
		if engine.stamp != p.stamp {
			engine.stamp = p.stamp
			p.candidates = append(p.candidates, candidate{engine: engine, cached: p.cachedOn(engine, ask)})
		}
		return len(p.candidates) < limit
	})
}

func (p *Pool) gatherHolders(ask shelfshelf.Ask) {
	for i := len(ask.Prefix) - 1; i >= 0; i-- {
		for _, engine := range p.prefix.holders[ask.Prefix[i].Hash] {
			if engine.stamp == p.stamp {
				continue
			}
			engine.stamp = p.stamp
			cached := min(ask.Prefix[i].Tokens, ask.PromptTokens)
			p.candidates = append(p.candidates, candidate{engine: engine, cached: cached})
			if len(p.candidates) >= p.tuning.Candidates {
				return
			}
		}
	}
}

func (p *Pool) cachedOn(engine *engineState, ask shelfshelf.Ask) int {
	if p.truth != nil {
		return min(p.truth.CachedTokens(engine.target.Name, ask.Prefix), ask.PromptTokens)
	}
	return min(engine.view.cachedTokens(ask.Prefix), ask.PromptTokens)
}

// weigh scores one engine for a request; fits is false if it has no room now.
func (p *Pool) weigh(now time.Time, engine *engineState, ask shelfshelf.Ask, cached int, as shelfshelf.Tier) (_ choice, fits bool) {
	slow := p.slowdown(now, engine)
	room := engine.room(now, as, p.lowest, &p.tuning, slow)
	if p.parkedAbove > 0 {
		// Higher requests wait for an engine of their choice: a lower one leaves them
		// a slot on each, and more if many wait.
		room -= 1 + p.parkedAbove/parkedPerSlot
	}
	if room <= 0 {
		return choice{}, false
	}
	ahead := slow * engine.readSeconds(engine.prefillAhead+engine.foreignPrefill)
	if ahead > p.prefillBound(as).Seconds() {
		return choice{}, false
	}
	uncached := max(0, ask.PromptTokens-cached)
	firstToken := slow * engine.firstTokenSeconds(uncached)
	decode := slow * engine.stepSeconds() * float64(ask.OutputTokens)
	score := firstToken + decodeWeight*decode
	score += p.tuning.RecomputeWeight * slow * engine.readSeconds(uncached)
	return choice{engine: engine, cached: cached, score: score, firstToken: firstToken}, true
}

// decodeWeight is how much the time to write the answer counts in the choice.
const decodeWeight = 0.1

// prefillBound returns how much prompt work may stand before a request.
func (p *Pool) prefillBound(tier shelfshelf.Tier) time.Duration {
	if p.lowest > 0 && tier >= p.lowest {
		return p.tuning.PrefillAheadLowest
	}
	return p.tuning.PrefillAhead
}

// waitsForWarm reports whether a request may wait on for an engine that holds
// its prompt, and notes since when it does.
func (p *Pool) waitsForWarm(now time.Time, item *waiting) bool {
	if item.parkedSince.IsZero() {
		item.parkedSince = now
	}
	slack := item.due.Sub(item.ask.Arrived)
	bound := min(time.Duration(p.tuning.ParkShare*float64(slack)), p.tuning.ParkMost)
	return now.Sub(item.parkedSince) < bound
}

func avoids(ask shelfshelf.Ask, engine *engineState) bool {
	return slices.Contains(ask.Avoid, engine.target.Name)
}
