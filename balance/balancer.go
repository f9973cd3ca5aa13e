package balance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// shortestRetryAfter and longestRetryAfter bound what a refused caller is told.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 5 * time.Second
	// retryGoals is how many goals' time a refused caller should wait, between
	// retryLeast of it and retrySpread more.
	retryGoals  = 1
	retryLeast  = 0.7
	retrySpread = 0.6
	// pumpPeriod is how often waiting requests are tried again without an event.
	pumpPeriod = 10 * time.Millisecond
)

// Need is one request that looks for a target.
type Need struct {
	ID   shelfshelf.RequestID
	Pool shelfshelf.PoolName
	// Rank orders customers and Tier requests; lower goes first.
	Rank int
	Tier shelfshelf.Tier
	// Begun says that a target has already worked on the request; it goes first.
	Begun bool
	// Arrived is when the request came.
	Arrived time.Time
	// WaitUntil is when a request that found no place is refused.
	WaitUntil time.Time
	// Deadline is when the caller gives up; zero if that is not known.
	Deadline time.Time
	// Goal is the time within which the first token, or a plain answer, is due.
	Goal   time.Duration
	Prompt []shelfshelf.PromptPart
	// PromptTokens and OutputTokens are sizes, zero for plain services.
	PromptTokens int
	OutputTokens int
	// Avoid are targets that have failed this request.
	Avoid []shelfshelf.TargetName
	// Homes are the regions that it may be served in; nil means any.
	Homes *shelfshelf.Homes
	// Route is the route that the request came on.
	Route shelfshelf.RouteName

	// choice says which versions of the pool's targets it may go to; nil where it may go to
	// any. A need is copied for each target that is weighed, and mostly there is no order.
	choice *shelfshelf.VersionChoice
}

// Refusal is why a request got no target.
type Refusal struct {
	Reason     shelfshelf.RefusalReason
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return "no target: " + r.Reason.String()
}

// Balancer keeps the targets of all pools. Fields are set before use. It is safe
// for concurrent use.
type Balancer struct {
	Clock shelfshelf.Clock
	// DataCentre is where this instance runs.
	DataCentre shelfshelf.DataCentre
	// Regions are those of the data centres.
	Regions map[shelfshelf.DataCentre]shelfshelf.Region
	// Self is this instance.
	Self shelfshelf.InstanceID
	// Fleet is the other instances; nil means that there are none.
	Fleet Fleet
	// Places asks the owners of engines for places; nil means that this instance decides
	// alone, by what the others tell.
	Places shelfshelf.Places
	// Rollouts says which versions of targets requests go to; nil means any.
	Rollouts shelfshelf.Rollouts
	// Announced knows what targets have said of themselves; nil means nothing. Those with a
	// limit get only what their owners give, so that without Places they get nothing.
	Announced shelfshelf.Announcements

	mu      sync.Mutex
	pools   map[shelfshelf.PoolName]*pool
	targets map[shelfshelf.TargetName]*targetState
	keys    map[shelfshelf.TargetKey]*targetState
	// peersUse and remotesUse are the targets that others told of last: a word replaces
	// the one before it without a look at every target.
	peersUse   map[shelfshelf.InstanceID][]*targetState
	remotesUse map[shelfshelf.DataCentre][]*targetState
	// evacuated are the data centres whose targets get nothing new.
	evacuated  []shelfshelf.DataCentre
	placements placements
	view       view
	// observations are those since the last status.
	observations []shelfshelf.TargetSpeed
	// waking wakes the loop that tries waiting requests again.
	waking chan struct{}
	// waitingOwned counts the requests that stand in lines of owners.
	waitingOwned atomic.Int64
}

// pool is the targets and the line of one pool.
type pool struct {
	spec    *shelfshelf.Pool
	targets []*targetState
	// listed are the targets as the list has them.
	listed []shelfshelf.Target
	line   []*waiter
	shares shares
}

// SetTargets replaces pools and targets; what is in flight stays counted. A target that
// started again under its name begins anew: it runs nothing, holds no prompt and may be
// reached, and leases of its earlier life change nothing of that.
func (b *Balancer) SetTargets(pools []shelfshelf.Pool, targets []shelfshelf.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.forgetSilent(now)
	old := b.targets
	oldPools := b.pools
	b.targets = make(map[shelfshelf.TargetName]*targetState, len(targets))
	b.keys = make(map[shelfshelf.TargetKey]*targetState, len(targets))
	b.pools = make(map[shelfshelf.PoolName]*pool, len(pools))
	for i := range pools {
		p := &pool{spec: &pools[i]}
		if before := oldPools[pools[i].Name]; before != nil {
			p.line = before.line
			p.shares = before.shares
		}
		b.pools[pools[i].Name] = p
	}
	gone := make(map[shelfshelf.TargetName]bool)
	for _, target := range targets {
		state, began := stateOf(old[target.Name], target)
		if began && old[target.Name] != nil {
			gone[target.Name] = true
		}
		b.addTarget(state, target, began, now)
	}
	for name := range old {
		if b.targets[name] == nil {
			gone[name] = true
		}
	}
	if len(gone) > 0 {
		b.placements.forget(gone)
	}
	for _, p := range b.pools {
		slices.SortFunc(p.targets, func(x, y *targetState) int { return compareNames(x.target.Name, y.target.Name) })
		b.pump(p, now)
	}
}

// stateOf returns the state of a listed target, a new one where its life began since it was last
// listed.
func stateOf(before *targetState, target shelfshelf.Target) (state *targetState, began bool) {
	if before != nil && before.target.SameLife(target) {
		return before, false
	}
	return &targetState{
		peers:   make(map[shelfshelf.InstanceID]toldLoad),
		remotes: make(map[shelfshelf.DataCentre]toldLoad),
	}, true
}

// addTarget lists a target as it is now; the lock is held.
func (b *Balancer) addTarget(state *targetState, target shelfshelf.Target, began bool, now time.Time) {
	p := b.pools[target.Pool]
	if p != nil {
		b.setCold(state, p, target, began, now)
	}
	state.target = target
	state.slots = max(target.Slots, 1)
	state.region = b.Regions[target.DataCentre]
	state.evacuated = slices.Contains(b.evacuated, target.DataCentre)
	b.targets[target.Name] = state
	state.key = shelfshelf.KeyOfTarget(target.Name)
	b.recallWord(state)
	b.keys[state.key] = state
	if p != nil {
		state.engine = p.spec.Engine != nil
		p.targets = append(p.targets, state)
		p.listed = append(p.listed, state.target)
	}
}

// Acquire waits for a place for a request. The error is a *Refusal or the
// context's.
func (b *Balancer) Acquire(ctx context.Context, need Need) (*Lease, error) {
	need.choice = b.chooseVersion(need)
	if need.choice != nil && need.choice.Trial {
		if lease := b.tryVersion(ctx, need); lease != nil {
			return lease, nil
		}
		old := need.choice.Old()
		need.choice = &old
	}
	if refusal := b.refuseForRest(need); refusal != nil {
		return nil, refusal
	}
	if b.owned(need.Pool) {
		if b.tooMany(need) {
			return nil, &Refusal{Reason: shelfshelf.RefusedOrder, RetryAfter: retryAfter(need)}
		}
		lease, err := b.acquireOwned(ctx, need)
		if ctx.Err() == nil {
			b.noteShare(need, err == nil)
		}
		return lease, err
	}
	return b.acquirePlain(ctx, need)
}

// owned reports that owners give out the places of a pool: its targets are engines,
// which keep a place for seconds. Calls of plain services are over before a word on
// them would matter.
func (b *Balancer) owned(name shelfshelf.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	return b.Places != nil && p != nil && p.spec.Engine != nil && len(p.targets) > 0
}

// acquireAlone waits for a place by what this instance knows of the others.
func (b *Balancer) acquireAlone(ctx context.Context, need Need) (*Lease, error) {
	b.mu.Lock()
	now := b.Clock.Now()
	p := b.pools[need.Pool]
	if p == nil || p.hopeless(need) {
		b.mu.Unlock()
		return nil, &Refusal{Reason: shelfshelf.RefusedNoTarget, RetryAfter: max(b.RestLeft(need), shortestRetryAfter)}
	}
	ahead := p.ahead(need)
	if ahead == 0 {
		if lease := b.place(p, need, now); lease != nil {
			b.mu.Unlock()
			return lease, nil
		}
	}
	if !now.Before(need.WaitUntil) {
		b.mu.Unlock()
		return nil, &Refusal{Reason: shelfshelf.RefusedShed, RetryAfter: b.comeBack(need)}
	}
	w := &waiter{need: need, lease: make(chan *Lease, 1)}
	p.insert(w)
	b.wake()
	b.mu.Unlock()
	return b.wait(ctx, w)
}

// hopeless reports that there is no target that might take a request, however long it
// waits: to refuse it at once serves its caller best.
func (p *pool) hopeless(need Need) bool {
	for _, t := range p.targets {
		if t.fits(need) {
			return false
		}
	}
	return true
}

func compareNames(a, b shelfshelf.TargetName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
