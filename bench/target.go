package bench

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
)

// simTarget is one engine or service.
type simTarget struct {
	sim      *sim
	target   shelfshelf.Target
	core     *fake.EngineCore
	stepping bool
	dead     bool
	leaving  bool
	// calls are a plain service's: running and waiting.
	running int
	waiting []*request
	slow    float64
	entries map[shelfshelf.RequestID]bool
}

func newSimTarget(s *sim, target shelfshelf.Target) *simTarget {
	return &simTarget{
		sim:     s,
		target:  target,
		core:    fake.NewEngineCore(target),
		slow:    1,
		entries: make(map[shelfshelf.RequestID]bool),
	}
}

func (t *simTarget) slowdown() float64 {
	return t.slow
}

func (t *simTarget) setSlowdown(factor float64) {
	t.slow = factor
	t.core.Slowdown = factor
}

func (t *simTarget) pool() *simPool {
	return t.sim.pools[t.target.Pool]
}

// couldRead reports whether the target, with nothing else to do and no prompt
// held, could have given a request's first token in time from an instant on.
func (t *simTarget) couldRead(r *request, from time.Time) bool {
	took := 2 * t.target.StepTime
	if t.target.PrefillRate > 0 {
		took += time.Duration(float64(r.item.PromptTokens()) / t.target.PrefillRate * float64(time.Second))
	}
	due := r.ask.Deadline
	if !r.ask.FirstTokenBy.IsZero() {
		due = r.ask.FirstTokenBy
	}
	return !from.Add(took).After(due)
}

// submit takes a request that was dispatched here.
func (t *simTarget) submit(r *request, priority int) {
	if r.ended {
		return
	}
	if t.dead || t.leaving {
		// A refused connection or the target's own word: provably not run.
		t.done(r, shelfshelf.OutcomeNotRun, 0)
		r.ask.Avoid = append(r.ask.Avoid, t.target.Name)
		t.sim.ask(r)
		return
	}
	if r.dispatched {
		t.sim.result.Doubles++
	}
	r.dispatched = true
	r.target = t.target.Name
	t.entries[r.id] = true
	if t.target.Kind == shelfshelf.KindService {
		t.waiting = append(t.waiting, r)
		t.serve()
		return
	}
	t.core.Submit(&fake.Sequence{
		ID:           r.id,
		Priority:     priority,
		Blocks:       r.blocks,
		PromptTokens: r.item.PromptTokens(),
		OutputTokens: r.item.OutputTokens,
	})
	t.step()
}

// serve runs a plain service's calls while it has slots.
func (t *simTarget) serve() {
	for t.running < t.target.Slots && len(t.waiting) > 0 {
		r := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		took := time.Duration(float64(t.target.StepTime) * t.slow * (0.5 + t.sim.random.Float64()))
		t.sim.after(took, func() {
			t.running--
			if !t.dead {
				t.ended(r, 0)
				t.serve()
			}
		})
	}
}

// step runs the engine's next step if none is under way.
func (t *simTarget) step() {
	if t.stepping || t.dead || t.core.Idle() {
		return
	}
	t.stepping = true
	took, progress := t.core.Step()
	t.noteStarts(progress)
	t.sim.after(took, func() {
		t.stepping = false
		if t.dead {
			return
		}
		for _, one := range progress {
			t.progressed(one)
		}
		t.publishCache()
		t.step()
	})
}

// noteStarts counts what a prompt costs, and what of it another engine held.
func (t *simTarget) noteStarts(progress []fake.Progress) {
	for _, one := range progress {
		if !one.Started {
			continue
		}
		r := t.sim.requests[one.ID]
		total := r.item.PromptTokens()
		r.computed = total - one.CachedTokens
		held := one.CachedTokens
		for _, target := range t.pool().targets {
			other := t.sim.targets[target.Name]
			if other != t && !other.dead && !other.leaving {
				held = max(held, min(other.core.CachedTokens(r.blocks), total-1))
			}
		}
		r.wasted = held - one.CachedTokens
	}
}

func (t *simTarget) progressed(one fake.Progress) {
	if one.Produced == 0 {
		return
	}
	r := t.sim.requests[one.ID]
	if r.ended {
		return
	}
	if r.firstToken.IsZero() {
		r.firstToken = t.sim.now.Add(toTarget)
		t.sim.after(toTarget+t.sim.hop, func() {
			t.pool().policy.FirstToken(t.sim.now, r.id)
			t.pool().decide()
		})
	}
	if one.Finished {
		t.ended(r, one.CachedTokens)
	}
}

// ended counts a whole answer.
func (t *simTarget) ended(r *request, cached int) {
	if r.ended {
		return
	}
	at := t.sim.now.Add(toTarget)
	first := r.firstToken
	if first.IsZero() {
		first = at
	}
	how := classGood
	if at.After(r.ask.Deadline) || (!r.ask.FirstTokenBy.IsZero() && first.After(r.ask.FirstTokenBy)) {
		how = classLate
	}
	delete(t.entries, r.id)
	t.sim.finish(r, how)
	t.done(r, shelfshelf.OutcomeDone, cached)
}

// done tells the owner that a request has left the target.
func (t *simTarget) done(r *request, outcome shelfshelf.Outcome, cached int) {
	completion := shelfshelf.Completion{
		ID:           r.id,
		Target:       t.target.Name,
		Outcome:      outcome,
		Refused:      outcome == shelfshelf.OutcomeNotRun,
		OutputTokens: r.item.OutputTokens,
		CacheKnown:   outcome == shelfshelf.OutcomeDone && t.target.Kind == shelfshelf.KindEngine,
		CachedTokens: cached,
	}
	t.sim.after(toTarget+t.sim.hop, func() {
		t.pool().policy.Done(t.sim.now, completion)
		t.pool().decide()
	})
}

// die loses everything the target has.
func (t *simTarget) die() {
	t.dead = true
	for _, id := range t.sim.sortedIDs() {
		if t.entries[id] {
			r := t.sim.requests[id]
			t.sim.finish(r, classUnknown)
			t.done(r, shelfshelf.OutcomeUnknown, 0)
		}
	}
}

// drop forgets a request whose entry has died.
func (t *simTarget) drop(r *request) {
	t.core.Cancel(r.id)
	delete(t.entries, r.id)
}

// report measures the load now and delivers it later.
func (t *simTarget) report() {
	t.sim.after(reportPeriod, t.report)
	if t.dead {
		return
	}
	report := t.core.Report(t.sim.now)
	if t.target.Kind == shelfshelf.KindService {
		report = shelfshelf.LoadReport{
			Target:           t.target.Name,
			At:               t.sim.now,
			Running:          t.running,
			Waiting:          len(t.waiting),
			StepTime:         time.Duration(float64(t.target.StepTime) * t.slow),
			ExpectedStepTime: t.target.StepTime,
		}
	}
	report.Leaving = t.leaving
	age := reportAge
	if t.sim.run.Faults.Stale {
		age = staleAge
	}
	t.sim.after(age, func() { t.pool().policy.Report(t.sim.now, report) })
}

// publishCache delivers the cache's changes late, and under the fault not all.
func (t *simTarget) publishCache() {
	event, ok := t.core.TakeCacheEvent()
	if !ok {
		return
	}
	age := cacheEventAge
	if t.sim.run.Faults.Gaps {
		age = lateEventAge
		if t.sim.random.Float64() < lostEventShare {
			return
		}
	}
	t.sim.after(age, func() { t.pool().policy.CacheEvent(t.sim.now, event) })
}

// truth tells the oracle the real state.
type truth struct {
	sim *sim
}

// CachedTokens returns how much of a prompt the engine holds.
func (t *truth) CachedTokens(name shelfshelf.TargetName, prefix []shelfshelf.PromptPrefix) int {
	core := t.sim.targets[name].core
	for i := len(prefix) - 1; i >= 0; i-- {
		if core.Holds(prefix[i].Hash) {
			return prefix[i].Tokens
		}
	}
	return 0
}

// Slowdown returns how many times slower than declared an engine runs.
func (t *truth) Slowdown(name shelfshelf.TargetName) float64 {
	return t.sim.targets[name].slowdown()
}
