package schedule

import (
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/shelfshelf/shelfshelf"
)

const poolUsage = "one owner a pool: strict tiers, token-fair customers, engines by predicted first token"

// Pool is the shelfshelf policy: the owner's line and its view of the engines.
//
//	Ask -> line -> Decide: tier, customer, due time -> choose: engine -> grant
//	                 \-> refusal (shed, deadline, no target)
//	FirstToken, Done, Report, CacheEvent -> the view that choose reads
//
// It is not safe for concurrent use.
type Pool struct {
	tuning  Tuning
	specs   []shelfshelf.TierSpec
	truth   Truth
	engines map[shelfshelf.TargetName]*engineState
	// byLoad orders the engines that may get work, the least loaded first.
	byLoad *btree.BTreeG[*engineState]
	prefix *prefixIndex
	line   *line
	flying map[shelfshelf.RequestID]*inFlight
	// refusals wait for the next Decide.
	refusals []shelfshelf.Decision
	// sinceAged counts grants since an aged request went ahead.
	sinceAged int
	nextIndex int
	capacity  float64
	// fastestRate is the most prompt tokens a second that an engine reads.
	fastestRate float64
	candidates  []candidate
	// stamp marks the engines gathered for the present request.
	stamp  uint64
	lowest shelfshelf.Tier
	// blocked is the highest tier that found no room at blockedAt; until an
	// engine's state changes it would find none again.
	blocked   shelfshelf.Tier
	blockedAt time.Time
	// resting holds targets that have refused, until they may be tried again.
	resting []*engineState
	// changes counts the changes of engines.
	changes uint64
	// parkedAbove counts the parked requests of the tiers decided already.
	parkedAbove int
}

// NewPool returns the shelfshelf policy for one shard.
func NewPool(config Config) *Pool {
	return &Pool{
		tuning:  config.Tuning,
		specs:   config.Tiers,
		truth:   config.Truth,
		engines: make(map[shelfshelf.TargetName]*engineState),
		byLoad:  newTree(loadLess),
		prefix:  newPrefixIndex(),
		line:    newLine(len(config.Tiers)),
		flying:  make(map[shelfshelf.RequestID]*inFlight),
		lowest:  shelfshelf.Tier(max(len(config.Tiers)-1, 0)),
	}
}

func newPoolPolicy(config Config) shelfshelf.Policy {
	config.Truth = nil
	return NewPool(config)
}

func loadLess(a, b *engineState) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	return a.index < b.index
}

// SetTargets replaces the targets; requests on a target that has gone stay
// counted until they are done.
func (p *Pool) SetTargets(now time.Time, targets []shelfshelf.Target) {
	kept := make(map[shelfshelf.TargetName]bool, len(targets))
	for _, target := range targets {
		kept[target.Name] = true
		engine := p.engines[target.Name]
		if engine == nil {
			engine = newEngineState(target, p.nextIndex)
			p.nextIndex++
			p.engines[target.Name] = engine
			p.place(now, engine)
			continue
		}
		p.byLoad.Delete(engine)
		engine.target = target
		engine.leaving = target.Leaving
		engine.removed = false
		p.place(now, engine)
	}
	for name, engine := range p.engines {
		if !kept[name] {
			p.byLoad.Delete(engine)
			engine.leaving = true
			engine.removed = true
			p.prefix.forget(engine)
			p.forgetRemoved(engine)
		}
	}
	p.unblock()
	p.countCapacity(now)
}

// forgetRemoved forgets a target that has gone once nothing of ours is on it: it
// may come back before, with its slots still taken.
func (p *Pool) forgetRemoved(engine *engineState) {
	if engine.removed && engine.occupied == 0 {
		delete(p.engines, engine.target.Name)
	}
}

// place puts an engine into the order of load; it must not be in it.
func (p *Pool) place(now time.Time, engine *engineState) {
	if engine.leaving {
		return
	}
	slow := p.slowdown(now, engine)
	share := float64(engine.occupied+engine.foreign) / float64(max(engine.target.Slots, 1))
	engine.load = slow * (engine.firstTokenSeconds(0) + share*loadShareSeconds)
	if engine.room(now, 0, p.lowest, &p.tuning, slow) <= 0 {
		engine.load += fullLoadSeconds
	}
	p.byLoad.Set(engine)
}

const (
	// loadShareSeconds is what a full batch counts in the order of load.
	loadShareSeconds = 0.1
	// fullLoadSeconds puts engines without room behind all others.
	fullLoadSeconds = 1e6
)

func (p *Pool) slowdown(now time.Time, engine *engineState) float64 {
	if p.truth != nil {
		return max(1, p.truth.Slowdown(engine.target.Name))
	}
	return engine.slowdown(now)
}

// change runs an update of an engine with the engine out of the order of load.
func (p *Pool) change(now time.Time, engine *engineState, update func()) {
	p.byLoad.Delete(engine)
	p.unblock()
	p.changes++
	update()
	p.place(now, engine)
}

// wakeRested puts targets whose rest is over back into the order of load.
func (p *Pool) wakeRested(now time.Time) {
	kept := p.resting[:0]
	for _, engine := range p.resting {
		if now.Before(engine.restUntil) {
			kept = append(kept, engine)
			continue
		}
		p.change(now, engine, func() {})
	}
	p.resting = kept
}

// unblock lets every tier be tried again.
func (p *Pool) unblock() {
	p.blocked = shelfshelf.Tier(len(p.line.tiers))
}

// countCapacity sums the engines in units of one engine at declared speed.
func (p *Pool) countCapacity(now time.Time) {
	p.capacity = 0
	p.fastestRate = 0
	for _, engine := range p.engines {
		if engine.leaving {
			continue
		}
		slow := p.slowdown(now, engine)
		p.capacity += 1 / slow
		p.fastestRate = max(p.fastestRate, engine.target.PrefillRate/slow)
	}
}

// Ask puts a request in line, or notes its refusal for the next Decide.
func (p *Pool) Ask(now time.Time, ask shelfshelf.Ask) {
	if flight := p.flying[ask.ID]; flight != nil {
		// An entry asks again only once its grant was not used; the word of that may
		// come after the new ask, since each has a stream of its own.
		target := flight.engine.target.Name
		p.Done(now, shelfshelf.Completion{
			ID:      ask.ID,
			Target:  target,
			Outcome: shelfshelf.OutcomeNotRun,
			Refused: slices.Contains(ask.Avoid, target),
		})
	}
	if !p.canEverServe(ask) {
		p.refuse(ask.ID, shelfshelf.RefusedNoTarget, noTargetRetry)
		return
	}
	cost := p.cost(ask)
	if wait := p.lineWait(ask.Tier); now.Add(wait).After(dueTime(ask)) {
		p.refuse(ask.ID, shelfshelf.RefusedDeadline, retryAfter(wait))
		return
	}
	if p.line.add(ask, cost) == nil {
		return
	}
	for p.line.len() > p.tuning.MaxWaiting {
		p.shed(p.line.lowest())
	}
}

func (p *Pool) shed(item *waiting) {
	p.line.remove(item)
	p.refuse(item.ask.ID, shelfshelf.RefusedShed, retryAfter(p.lineWait(item.ask.Tier)))
}

// canEverServe reports whether any engine could take the request at all.
func (p *Pool) canEverServe(ask shelfshelf.Ask) bool {
	if p.byLoad.Len() > len(ask.Avoid) {
		return true
	}
	found := false
	p.byLoad.Scan(func(engine *engineState) bool {
		found = !avoids(ask, engine)
		return !found
	})
	return found
}

// cost estimates a request's work in seconds of an average engine.
func (p *Pool) cost(ask shelfshelf.Ask) float64 {
	engine, ok := p.byLoad.Min()
	if !ok {
		return 0
	}
	slots := float64(max(engine.target.Slots, 1))
	decode := float64(ask.OutputTokens) * engine.target.StepTime.Seconds() * (1 + fullBatchStretch) / slots
	return engine.readSeconds(ask.PromptTokens)*uncachedGuess + decode
}

// uncachedGuess is the share of a waiting prompt that no engine will hold.
const uncachedGuess = 0.5

// lineWait estimates how long a new request of the tier waits in line.
func (p *Pool) lineWait(tier shelfshelf.Tier) time.Duration {
	if p.capacity <= 0 {
		return 0
	}
	return time.Duration(p.line.costAhead(tier) / p.capacity * float64(time.Second))
}

func (p *Pool) refuse(id shelfshelf.RequestID, reason shelfshelf.RefusalReason, retry time.Duration) {
	p.refusals = append(p.refusals, shelfshelf.Decision{ID: id, Reason: reason, RetryAfter: retry})
}

const (
	noTargetRetry = 5 * time.Second
	leastRetry    = time.Second
	mostRetry     = time.Minute
)

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, leastRetry), mostRetry)
}

// Hold counts a request that an earlier owner has granted.
func (p *Pool) Hold(now time.Time, ask shelfshelf.Ask, target shelfshelf.TargetName) {
	engine := p.engines[target]
	if engine == nil || p.flying[ask.ID] != nil {
		return
	}
	if item := p.line.byID[ask.ID]; item != nil {
		p.line.remove(item)
	}
	p.fly(now, ask, engine, 0)
}

// Cancel takes a request out of the line; one already granted is unaffected.
func (p *Pool) Cancel(_ time.Time, id shelfshelf.RequestID) {
	if item := p.line.byID[id]; item != nil {
		p.line.remove(item)
	}
}

// FirstToken records that a granted request's prompt has been read.
func (p *Pool) FirstToken(now time.Time, id shelfshelf.RequestID) {
	flight := p.flying[id]
	if flight == nil || flight.pending == nil {
		return
	}
	p.change(now, flight.engine, func() {
		flight.engine.observe(now.Sub(flight.granted), flight.predicted)
		p.settle(flight)
	})
}

// settle takes a request out of its engine's prompt work.
func (p *Pool) settle(flight *inFlight) {
	if flight.pending == nil {
		return
	}
	flight.engine.pending.Remove(flight.pending)
	flight.pending = nil
	flight.engine.prefillAhead -= flight.uncached
}

// Done records that a granted request has left its engine.
func (p *Pool) Done(now time.Time, completion shelfshelf.Completion) {
	flight := p.flying[completion.ID]
	if flight == nil || (completion.Target != "" && completion.Target != flight.engine.target.Name) {
		// The end of an earlier grant, which a new ask has ended already.
		return
	}
	delete(p.flying, completion.ID)
	p.change(now, flight.engine, func() {
		p.settle(flight)
		flight.engine.occupied--
		if completion.Refused {
			flight.engine.refuse(now)
			p.resting = append(p.resting, flight.engine)
		} else if completion.Outcome == shelfshelf.OutcomeDone {
			flight.engine.refusals = 0
		}
	})
	p.forgetRemoved(flight.engine)
	if completion.CacheKnown && !flight.engine.removed {
		cached := flight.ask.PromptTokens - flight.uncached
		if completion.CachedTokens < cached {
			p.prefix.mend(now, flight.engine, flight.ask.Prefix, completion.CachedTokens)
		}
	}
}

// Report takes a target's load report, which is some time old.
func (p *Pool) Report(now time.Time, report shelfshelf.LoadReport) {
	engine := p.engines[report.Target]
	if engine == nil {
		return
	}
	p.change(now, engine, func() {
		engine.report(report, engine.target.Shared)
	})
	p.countCapacity(now)
}

// CacheEvent takes an engine's cache event, which may be late or missing.
func (p *Pool) CacheEvent(now time.Time, event shelfshelf.CacheEvent) {
	engine := p.engines[event.Target]
	if engine == nil {
		return
	}
	p.prefix.event(now, engine, event)
}

// Waiting returns the number of requests in line by tier.
func (p *Pool) Waiting() map[shelfshelf.Tier]int {
	counts := make(map[shelfshelf.Tier]int, len(p.line.tiers))
	for tier, line := range p.line.tiers {
		counts[shelfshelf.Tier(tier)] = line.byAge.Len()
	}
	return counts
}

// InFlight returns the number of granted requests by target.
func (p *Pool) InFlight() map[shelfshelf.TargetName]int {
	counts := make(map[shelfshelf.TargetName]int, len(p.engines))
	for name, engine := range p.engines {
		counts[name] = engine.occupied
	}
	return counts
}
