package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// minStepSampleEvents is how many events a stream needs for a sample of the time per token.
const minStepSampleEvents = 5

// Lease is a slot at a target. Either Release or Cancel must be called once.
type Lease struct {
	Target shelfshelf.Target
	// Region is where the target runs; empty if unknown.
	Region shelfshelf.Region
	// CachedTokens is the estimate of prompt tokens that the target has cached.
	CachedTokens int
	// Expected is the predicted time to the first token, or to a plain answer.
	Expected time.Duration
	// InFlight is the estimate of requests that all instances had in flight at the target before
	// this one.
	InFlight int
	// OwnersAsked is how many owners were asked for a slot. WithoutOwner says that no owner granted the
	// slot: this instance took it by its own view of the load.
	OwnersAsked  int
	WithoutOwner bool
	// Admission is the decision to hold the request until the slot was granted.
	Admission Admission

	balancer *Balancer
	state    *targetState
	need     Need
	// prefillTokens is how many prompt tokens the target had to prefill, prefilling says that they
	// still count as outstanding, and tokensAhead is how many tokens of other prompts the target
	// had to prefill in the meantime.
	prefillTokens int
	prefilling    bool
	tokensAhead   int
	grantedAt     time.Time
	firstTokenAt  time.Time
	// charged is the slot time charged to the customer, an estimate until the release.
	charged time.Duration
	// grantID identifies the slot to the owner; zero if no owner was involved.
	grantID shelfshelf.SlotID
}

// Result is the outcome of a request at its target.
type Result struct {
	// Failed says that the target did not answer as it should.
	Failed bool
	// Unreachable says that the target could not be reached or stopped responding.
	Unreachable bool
	// AddressReused says that another target now answers at its address.
	AddressReused bool
	// Events is how many events a stream had.
	Events int
	// Unsent says that the request did not reach the target, NotRun that the target reported not to
	// have run it, and CallerDisconnected that the caller disconnected first.
	Unsent             bool
	NotRun             bool
	CallerDisconnected bool
}

// FirstToken notes that the first token has arrived, so that the target has prefilled the prompt.
func (l *Lease) FirstToken() {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.firstTokenAt.IsZero() {
		return
	}
	l.firstTokenAt = b.Clock.Now()
	l.state.endPrefill(l)
	l.observePrefillRate()
}

// endPrefill removes the prompt of a request from the outstanding prefill work.
func (t *targetState) endPrefill(l *Lease) {
	if l.prefilling {
		t.local.prefilling--
		t.local.prefillTokens -= l.prefillTokens
		l.prefilling = false
	}
}

// observePrefillRate derives the target's prefill rate from the time to the first token. The caller
// must hold b.mu.
func (l *Lease) observePrefillRate() {
	tokens := l.tokensAhead + l.need.PromptTokens - l.CachedTokens
	if tokens < minRateSampleTokens {
		return
	}
	took := l.firstTokenAt.Sub(l.grantedAt) - firstTokenOverhead
	took = max(took, time.Millisecond)
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	l.balancer.recordPrefillRate(l.state, rate, l.firstTokenAt)
}

// Release returns the slot and records the outcome of the request.
func (l *Lease) Release(result Result) {
	l.end(result, false)
}

// Cancel returns the slot of a request that was never sent; nothing is learnt from it.
func (l *Lease) Cancel() {
	l.end(Result{}, true)
}

// end returns the slot to the balancer and to its owner.
func (l *Lease) end(result Result, unused bool) {
	b := l.balancer
	b.mu.Lock()
	b.release(l, result, unused)
	b.mu.Unlock()
	if l.grantID != 0 {
		b.SlotOwners.Release(l.grantID, result.Unreachable)
	}
}

// release frees a slot; unused says that the request was never sent. The caller must hold b.mu.
func (b *Balancer) release(l *Lease, result Result, unused bool) {
	now := b.Clock.Now()
	l.state.local.requests--
	l.state.ownerLoad--
	l.state.endPrefill(l)
	b.correctCharge(l, unused, now)
	b.reportToRollouts(l, result, unused)
	if !unused {
		l.state.recordResult(now, result.Failed)
		switch {
		case result.AddressReused:
			l.state.backOffReusedAddress(now)
		case result.Unreachable:
			l.state.backOff(now)
			b.markMaybeColdAfterBackoff(l, now)
		case !result.Failed:
			l.state.clearBackoff()
			l.observeCompletion(now, result)
		}
	}
	if p := b.pools[l.need.Pool]; p != nil {
		b.dispatch(p, now)
	}
}

// observeCompletion records the duration of a successful request and the time per token. The caller
// must hold b.mu.
func (l *Lease) observeCompletion(now time.Time, result Result) {
	if l.need.PromptTokens == 0 {
		l.state.observeCallTime(now.Sub(l.grantedAt))
		return
	}
	l.state.holdTime = time.Duration(updateMean(float64(l.state.holdTime), float64(now.Sub(l.grantedAt))))
	spec := l.balancer.engineSpec(l.need.Pool)
	if l.firstTokenAt.IsZero() || result.Events < minStepSampleEvents || spec == nil {
		return
	}
	tokens := (result.Events - 1) * max(spec.TokensPerEvent, 1)
	step := float64(now.Sub(l.firstTokenAt)) / float64(tokens)
	l.balancer.recordStep(l.state, time.Duration(step), now)
}

// engineSpec returns the engine settings of a pool; nil if it has none. The caller must hold b.mu.
func (b *Balancer) engineSpec(name shelfshelf.PoolName) *shelfshelf.EngineSpec {
	if p := b.pools[name]; p != nil {
		return p.spec.Engine
	}
	return nil
}
