package balance

import (
	"context"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// trialWait is how long a request that tries a new version waits for a slot there. The trial should
// not delay it, and a round trip to an owner takes 0.2 to 6 ms.
const trialWait = 20 * time.Millisecond

// chooseVersion returns which versions of a pool's targets may serve a request; nil allows any. A
// request that has already failed doesn't try a new version.
func (b *Balancer) chooseVersion(need Need) *shelfshelf.VersionChoice {
	if b.Rollouts == nil {
		return nil
	}
	if need.StreamVersion != nil {
		choice := b.Rollouts.ChooseForStream(need.Pool)
		return &choice
	}
	choice := b.Rollouts.Choose(need.Pool, b.listed(need.Pool))
	if !choice.Active {
		return nil
	}
	if choice.Trial && (need.Started || len(need.ExcludedTargets) > 0) {
		choice = choice.WithoutTrial()
	}
	return &choice
}

// allowed reports whether a request may be served by a target of this version: what two versions write of a
// stream doesn't fit together.
func allowed(need Need, t *targetState) bool {
	if need.StreamVersion != nil && *need.StreamVersion != t.target.Version {
		return false
	}
	return need.choice == nil || need.choice.Allows(t.target)
}

// listed returns the targets of a pool; callers must not modify them.
func (b *Balancer) listed(name shelfshelf.PoolName) []shelfshelf.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		return p.listed
	}
	return nil
}

// acquireTrial looks briefly for a slot at targets of the new version; nil if there is none.
func (b *Balancer) acquireTrial(ctx context.Context, need Need) *Lease {
	need.WaitUntil = b.Clock.Now().Add(trialWait)
	acquire := b.acquireService
	if b.assignedByOwners(need.Pool) {
		acquire = b.acquireFromOwners
	}
	lease, err := acquire(ctx, need)
	if err != nil {
		return nil
	}
	return lease
}

// reportToRollouts reports the outcome of a request at its target's version. The caller must hold
// b.mu.
func (b *Balancer) reportToRollouts(l *Lease, result Result, unused bool) {
	switch {
	case b.Rollouts == nil || l.need.StreamVersion != nil:
	case unused || result.Unsent:
		b.Rollouts.RequestUnsent(l.Target)
	case result.NotRun || result.AddressReused || result.CallerDisconnected:
	default:
		b.Rollouts.RequestEnded(l.Target, l.attemptReport(result, b.Clock.Now()))
	}
}

// attemptReport returns the times of a request in relation to those of a typical target.
// FirstAnswerRatio relates the time to the first token, or to a plain answer, to the time expected for
// its prompt tokens; TokenTimeRatio relates the time per output token. The caller must hold b.mu.
func (l *Lease) attemptReport(result Result, now time.Time) shelfshelf.AttemptReport {
	report := shelfshelf.AttemptReport{Route: l.need.Route, Failed: result.Failed}
	if l.need.PromptTokens == 0 {
		report.FirstAnswerRatio = float64(now.Sub(l.grantedAt)) / float64(defaultCallTime)
		return report
	}
	if l.firstTokenAt.IsZero() {
		return report
	}
	prefill := time.Duration(float64(l.prefillTokens+l.tokensAhead) / defaultPrefillRate * float64(time.Millisecond))
	report.FirstAnswerRatio = float64(l.firstTokenAt.Sub(l.grantedAt)) / float64(firstTokenOverhead+prefill)
	spec := l.balancer.engineSpec(l.need.Pool)
	if result.Events >= minStepSampleEvents && spec != nil {
		tokens := (result.Events - 1) * max(spec.TokensPerEvent, 1)
		report.TokenTimeRatio = float64(now.Sub(l.firstTokenAt)) / float64(tokens) / float64(defaultStep)
	}
	return report
}

// InFlightByVersion returns how many requests this instance has in flight at targets of a pool that run
// other versions, and how many at those that run the given version.
func (b *Balancer) InFlightByVersion(name shelfshelf.PoolName, version shelfshelf.TargetVersion) (others, at int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	if p == nil {
		return 0, 0
	}
	for _, t := range p.targets {
		if t.target.Version == version {
			at += t.local.requests
		} else {
			others += t.local.requests
		}
	}
	return others, at
}
