package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// leastPaceEvents is how many events a stream must have had to tell the time of a token.
const leastPaceEvents = 5

// Lease is a place at a target; Release or Cancel must be called once.
type Lease struct {
	Target shelfshelf.Target
	// Region is where the target runs; empty if that is not known.
	Region shelfshelf.Region
	// CachedTokens is how much of the prompt the target is thought to hold.
	CachedTokens int
	// Expected is the predicted time to the first token, or to a plain answer.
	Expected time.Duration
	// InFlight is what all instances were thought to have there before this request.
	InFlight int
	// Asked is how many owners were asked for the place, and Alone says that none gave it:
	// this instance took it by what it knew.
	Asked int
	Alone bool

	balancer *Balancer
	state    *targetState
	need     Need
	// prefill is what the target had to read of the prompt, prefilling whether it still
	// counts so, and ahead what of other prompts it had to read meanwhile.
	prefill    int
	prefilling bool
	ahead      int
	granted    time.Time
	first      time.Time
	// place is the owner's, zero where there is none.
	place shelfshelf.PlaceID
}

// Result is what became of a request at its target.
type Result struct {
	// Failed says that the target did not answer as it should.
	Failed bool
	// Unreachable says that it could not be reached or fell silent.
	Unreachable bool
	// Gone says that another instance answers at its address.
	Gone bool
	// Events is how many events a stream had.
	Events int
	// Unsent says that the request did not reach the target, and NotRun that the target said
	// so of it; Left says that the caller went away first.
	Unsent bool
	NotRun bool
	Left   bool
}

// FirstToken notes that the target has read the prompt.
func (l *Lease) FirstToken() {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.first.IsZero() {
		return
	}
	l.first = b.Clock.Now()
	l.state.endPrefill(l)
	l.observeFirst()
}

// endPrefill notes that a request's prompt is no longer to be read.
func (t *targetState) endPrefill(l *Lease) {
	if l.prefilling {
		t.own.prefilling--
		t.own.prefill -= l.prefill
		l.prefilling = false
	}
}

// observeFirst learns the speed of reading from the time to the first token.
func (l *Lease) observeFirst() {
	tokens := l.ahead + l.need.PromptTokens - l.CachedTokens
	if tokens < leastLearnTokens {
		return
	}
	took := l.first.Sub(l.granted) - firstTokenFixed
	took = max(took, time.Millisecond)
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	l.balancer.observeRate(l.state, rate, l.first)
}

// Release gives the place back with what became of the request.
func (l *Lease) Release(result Result) {
	l.end(result, false)
}

// Cancel gives the place back without a request having been sent; nothing is learnt
// from it.
func (l *Lease) Cancel() {
	l.end(Result{}, true)
}

// end gives the place back to the balancer and to its owner.
func (l *Lease) end(result Result, unused bool) {
	b := l.balancer
	b.mu.Lock()
	b.release(l, result, unused)
	b.mu.Unlock()
	if l.place != 0 {
		b.Places.Give(l.place, result.Unreachable)
	}
}

// release frees a place; unused says that the request was never sent.
func (b *Balancer) release(l *Lease, result Result, unused bool) {
	now := b.Clock.Now()
	l.state.own.requests--
	l.state.ownerLoad--
	l.state.endPrefill(l)
	b.report(l, result, unused)
	if !unused {
		l.state.noteResult(now, result.Failed)
		switch {
		case result.Gone:
			l.state.noteGone(now)
		case result.Unreachable:
			l.state.noteUnreachable(now)
			b.suspectAfterRest(l, now)
		case !result.Failed:
			l.state.noteReached()
			l.observeEnd(now, result)
		}
	}
	if p := b.pools[l.need.Pool]; p != nil {
		b.pump(p, now)
	}
}

// observeEnd learns the speed of a whole answer.
func (l *Lease) observeEnd(now time.Time, result Result) {
	if l.need.PromptTokens == 0 {
		l.state.work = time.Duration(learn(float64(l.state.work), float64(now.Sub(l.granted))))
		return
	}
	l.state.stay = time.Duration(learn(float64(l.state.stay), float64(now.Sub(l.granted))))
	spec := l.balancer.engine(l.need.Pool)
	if l.first.IsZero() || result.Events < leastPaceEvents || spec == nil {
		return
	}
	tokens := (result.Events - 1) * max(spec.TokensPerEvent, 1)
	step := float64(now.Sub(l.first)) / float64(tokens)
	l.balancer.observeStep(l.state, time.Duration(step), now)
}

func (b *Balancer) engine(name shelfshelf.PoolName) *shelfshelf.EngineSpec {
	if p := b.pools[name]; p != nil {
		return p.spec.Engine
	}
	return nil
}
