package balance

import (
	"context"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// trialWait is how long a request that tries a new version waits for a place there: it is to
// lose nothing by it, and a way to an owner and back takes 0.2 to 6 ms.
const trialWait = 20 * time.Millisecond

// chooseVersion asks which versions of a pool's targets a request may go to; nil means any.
// One that has failed already doesn't try a new version.
func (b *Balancer) chooseVersion(need Need) *shelfshelf.VersionChoice {
	if b.Rollouts == nil {
		return nil
	}
	choice := b.Rollouts.Choose(need.Pool, b.listed(need.Pool))
	if !choice.Ordered {
		return nil
	}
	if choice.Trial && (need.Begun || len(need.Avoid) > 0) {
		choice = choice.Old()
	}
	return &choice
}

// allowed reports that a choice of versions lets a request go to a target.
func allowed(choice *shelfshelf.VersionChoice, t *targetState) bool {
	return choice == nil || choice.Allows(t.target)
}

// listed returns a pool's targets; they are not to be changed.
func (b *Balancer) listed(name shelfshelf.PoolName) []shelfshelf.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		return p.listed
	}
	return nil
}

// tryVersion looks for a place at a new version's targets, for a moment only; nil if there
// is none.
func (b *Balancer) tryVersion(ctx context.Context, need Need) *Lease {
	need.WaitUntil = b.Clock.Now().Add(trialWait)
	acquire := b.acquirePlain
	if b.owned(need.Pool) {
		acquire = b.acquireOwned
	}
	lease, err := acquire(ctx, need)
	if err != nil {
		return nil
	}
	return lease
}

// report tells what a request has shown of its target's version; the lock is held.
func (b *Balancer) report(l *Lease, result Result, unused bool) {
	switch {
	case b.Rollouts == nil:
	case unused || result.Unsent:
		b.Rollouts.Unsent(l.Target)
	case result.NotRun || result.Gone || result.Left:
	default:
		b.Rollouts.Ended(l.Target, l.shown(result, b.Clock.Now()))
	}
}

// shown compares a request's times with those of a usual target: of the first answer by what
// was to be read of the prompt, of the rest by its length.
func (l *Lease) shown(result Result, now time.Time) shelfshelf.AttemptReport {
	report := shelfshelf.AttemptReport{Route: l.need.Route, Failed: result.Failed}
	if l.need.PromptTokens == 0 {
		report.First = float64(now.Sub(l.granted)) / float64(startWork)
		return report
	}
	if l.first.IsZero() {
		return report
	}
	reading := time.Duration(float64(l.prefill+l.ahead) / startPrefillRate * float64(time.Millisecond))
	report.First = float64(l.first.Sub(l.granted)) / float64(firstTokenFixed+reading)
	spec := l.balancer.engine(l.need.Pool)
	if result.Events >= leastPaceEvents && spec != nil {
		tokens := (result.Events - 1) * max(spec.TokensPerEvent, 1)
		report.Pace = float64(now.Sub(l.first)) / float64(tokens) / float64(startStep)
	}
	return report
}

// Running returns how many requests this instance has at targets of a pool that run other
// versions, and how many at those that run this one.
func (b *Balancer) Running(name shelfshelf.PoolName, version shelfshelf.TargetVersion) (others, at int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	if p == nil {
		return 0, 0
	}
	for _, t := range p.targets {
		if t.target.Version == version {
			at += t.own.requests
		} else {
			others += t.own.requests
		}
	}
	return others, at
}
