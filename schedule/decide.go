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
	decisions := p.refusals
	p.refusals = nil
	decisions = p.grantAged(now, decisions)
	for tier := range p.line.tiers {
		var open bool
		decisions, open = p.grantTier(now, shelfshelf.Tier(tier), decisions)
		if !open {
			break
		}
	}
	if len(p.refusals) > 0 {
		decisions = append(decisions, p.refusals...)
		p.refusals = nil
	}
	return decisions
}

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
	passed := 0
	for passed < p.tuning.ScanLimit {
		item := p.candidate(tier, passed)
		if item == nil {
			return decisions, true
		}
		decision, result := p.tryGrant(now, item, tier)
		switch result {
		case placed:
			decisions = append(decisions, decision)
			p.sinceAged++
		case parked:
			passed++
		case hopeless:
			p.giveUp(item)
		case full:
			return decisions, false
		}
	}
	return decisions, true
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
	p.prefix.use(engine, ask.Prefix)
}

// choice is the best engine found so far.
type choice struct {
	engine *engineState
	cached int
	score  float64
	// firstToken is the predicted time to the first token, in seconds.
	firstToken float64
}

// choose weighs the engines that hold most of the prompt and the least loaded.
// The score is the predicted time to the first token, with repeated reading
// counted more than once, since it takes the time of others too.
func (p *Pool) choose(now time.Time, item *waiting, as shelfshelf.Tier) (*engineState, int, placing) {
	p.gather(item.ask)
	best := choice{}
	warmest := 0
	inTime := false
	for _, engine := range p.candidates {
		if engine.leaving || avoids(item.ask, engine) {
			continue
		}
		cached := p.cachedOn(engine, item.ask)
		warmest = max(warmest, cached)
		weighed, fits := p.weigh(now, engine, item.ask, cached, as)
		if !fits {
			continue
		}
		if !now.Add(time.Duration(weighed.firstToken * float64(time.Second))).After(item.due) {
			inTime = true
		}
		if best.engine == nil || weighed.score < best.score {
			best = weighed
		}
	}
	if best.engine == nil {
		if p.waitsForWarm(now, item, warmest) {
			return nil, 0, parked
		}
		return nil, 0, full
	}
	if !inTime && p.quiet(best) {
		return nil, 0, hopeless
	}
	if warmest-best.cached >= p.tuning.ParkTokens && p.waitsForWarm(now, item, warmest) {
		return nil, 0, parked
	}
	return best.engine, best.cached, placed
}

// quiet reports that waiting would not help: the engine has no work ahead.
func (p *Pool) quiet(best choice) bool {
	return best.engine.prefillAhead+best.engine.foreignPrefill == 0
}

// gather collects the engines to weigh into p.candidates.
func (p *Pool) gather(ask shelfshelf.Ask) {
	p.candidates = p.candidates[:0]
	for i := len(ask.Prefix) - 1; i >= 0 && len(p.candidates) < p.tuning.Candidates; i-- {
		for _, engine := range p.prefix.holders[ask.Prefix[i].Hash] {
			if len(p.candidates) >= p.tuning.Candidates {
				break
			}
			if !slices.Contains(p.candidates, engine) {
				p.candidates = append(p.candidates, engine)
			}
		}
	}
	limit := len(p.candidates) + p.tuning.Candidates
	if p.truth != nil {
		limit = p.byLoad.Len() + len(p.candidates)
	}
	p.byLoad.Scan(func(engine *engineState) bool {
		if !slices.Contains(p.candidates, engine) {
			p.candidates = append(p.candidates, engine)
		}
		return len(p.candidates) < limit
	})
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
	if engine.room(as, p.lowest, &p.tuning, slow) <= 0 {
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
func (p *Pool) waitsForWarm(now time.Time, item *waiting, warmest int) bool {
	if warmest < p.tuning.ParkTokens {
		return false
	}
	if item.parkedSince.IsZero() {
		item.parkedSince = now
	}
	slack := item.due.Sub(item.ask.Arrived)
	return now.Sub(item.parkedSince) < time.Duration(p.tuning.ParkShare*float64(slack))
}

func avoids(ask shelfshelf.Ask, engine *engineState) bool {
	return slices.Contains(ask.Avoid, engine.target.Name)
}
