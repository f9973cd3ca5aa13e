package balance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fairshare"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// The retry delay of a refused caller is retryAfterGoals times the request's goal, multiplied
	// by a random factor between retryAfterMinFactor and retryAfterMinFactor+retryAfterJitter.
	retryAfterGoals     = 1
	retryAfterMinFactor = 0.7
	retryAfterJitter    = 0.6
	// dispatchInterval is how often queued requests are dispatched when no event triggers that.
	dispatchInterval = 10 * time.Millisecond
)

// Need is a request that needs a target.
type Need struct {
	ID   shelfshelf.RequestID
	Pool shelfshelf.PoolName
	// Rank is the priority of the customer and Tier that of the request; lower values go first.
	Rank int
	Tier shelfshelf.Tier
	// Customer is the key of the customer, 0 if there is none, and Weight its limit in tokens per second,
	// 0 if it has none. They order requests of one rank and tier where queues are fair.
	Customer shelfshelf.CustomerKey
	Weight   float64
	// Started says that a target has already worked on the request; such requests go first.
	Started bool
	// Arrived is when the request arrived.
	Arrived time.Time
	// WaitUntil is when a request without a slot is refused.
	WaitUntil time.Time
	// Deadline is when the caller gives up; zero if unknown.
	Deadline time.Time
	// LatencyGoal is the time within which the first token, or a plain answer, is due.
	LatencyGoal time.Duration
	Prompt      []shelfshelf.PromptPart
	// PromptTokens and OutputTokens are the expected sizes, zero for plain services.
	PromptTokens int
	OutputTokens int
	// ExcludedTargets lists the targets that have already failed the request.
	ExcludedTargets []shelfshelf.TargetName
	// AllowedRegions are the allowed regions of the request; nil means any.
	AllowedRegions *shelfshelf.RegionSet
	// Route is the route on which the request arrived.
	Route shelfshelf.RouteName
	// Fingerprint identifies the content of the request to owners; 0 if unknown.
	Fingerprint shelfshelf.Fingerprint
	// StreamVersion is the version that began the stream with which the request goes on: only its targets may
	// serve it. It is nil for a request that begins anew.
	StreamVersion *shelfshelf.TargetVersion

	// choice restricts the target versions that may serve the request; nil allows any. It is a
	// pointer because a Need is copied for each target considered, and most pools have no rollout.
	choice *shelfshelf.VersionChoice
}

// Refusal is the error for a request that got no target.
type Refusal struct {
	Reason     shelfshelf.RefusalReason
	RetryAfter time.Duration
	// SlotRequests is how many owners were asked for a slot, and UnaskedWithRoom how many other targets had
	// room then, as far as this instance knew.
	SlotRequests    int
	UnaskedWithRoom int
	// Admission is the decision to refuse the request, or to hold it until now.
	Admission Admission
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return "no target: " + r.Reason.String()
}

// Balancer assigns requests to the targets of all pools. Set its fields before use. It is safe for
// concurrent use.
type Balancer struct {
	Clock shelfshelf.Clock
	// DataCentre is where this instance runs.
	DataCentre shelfshelf.DataCentre
	// Regions maps data centres to their regions.
	Regions map[shelfshelf.DataCentre]shelfshelf.Region
	// Self is the ID of this instance.
	Self shelfshelf.InstanceID
	// Fleet describes the other instances; nil means that there are none.
	Fleet Fleet
	// SlotOwners requests slots from the owners of engines. If it is nil, this instance decides by its
	// own view of the load: its own requests and the loads that the others report.
	SlotOwners shelfshelf.SlotOwners
	// SharedQueues says that owners have one queue for several engines.
	SharedQueues bool
	// Rollouts chooses the target versions that requests may use; nil allows any.
	Rollouts shelfshelf.Rollouts
	// Announcements returns what targets have announced about themselves; nil means that nothing is
	// known. Slots of targets with a limit are granted by their owners only, so without SlotOwners such
	// targets get no requests.
	Announcements shelfshelf.Announcements
	// DrainTime is for how long targets serve after they have listed themselves as leaving; 0 if unknown.
	DrainTime time.Duration
	// LeavingSince returns a moment after which a target has listed itself as leaving; zero if none is known. If it
	// is nil, such targets get nothing.
	LeavingSince func(name shelfshelf.TargetName) time.Time

	// FairQueues says that of waiting requests of one rank and tier, the one whose customer has used the
	// least slot time for its weight goes first.
	FairQueues bool

	mu           sync.Mutex
	pools        map[shelfshelf.PoolName]*pool
	targets      map[shelfshelf.TargetName]*targetState
	targetsByKey map[shelfshelf.TargetKey]*targetState
	// peerTargets and remoteTargets are the targets in the latest report of each instance and data
	// centre. They allow a new report to replace the previous one without a scan of all targets.
	peerTargets   map[shelfshelf.InstanceID][]*targetState
	remoteTargets map[shelfshelf.DataCentre][]*targetState
	// evacuated lists the data centres whose targets get no new requests.
	evacuated  []shelfshelf.DataCentre
	prefixes   prefixIndex
	fleetState fleetState
	// observations are the speeds observed since the last status message.
	observations []shelfshelf.TargetSpeed
	// wakeups wakes the loop that dispatches queued requests.
	wakeups chan struct{}
	// waitingAtOwners counts the requests in queues of owners.
	waitingAtOwners atomic.Int64
}

// pool holds the targets and the queue of one pool. It is protected by Balancer.mu.
type pool struct {
	spec    *shelfshelf.Pool
	targets []*targetState
	// listed are the targets as specified in the current target list.
	listed       []shelfshelf.Target
	queue        []*waiter
	servedShares servedShares
	// usage holds what customers have used at the plain targets; nil if queues are not fair.
	usage *fairshare.Usage
}

// SetTargets replaces pools and targets; requests in flight stay counted. A target that has
// restarted under the same name gets a new state: no load, no cached prompts and no backoff. Leases
// of its previous incarnation don't affect the new state.
func (b *Balancer) SetTargets(pools []shelfshelf.Pool, targets []shelfshelf.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.dropStaleReports(now)
	old := b.targets
	oldPools := b.pools
	b.targets = make(map[shelfshelf.TargetName]*targetState, len(targets))
	b.targetsByKey = make(map[shelfshelf.TargetKey]*targetState, len(targets))
	b.pools = make(map[shelfshelf.PoolName]*pool, len(pools))
	for i := range pools {
		p := &pool{spec: &pools[i]}
		if before := oldPools[pools[i].Name]; before != nil {
			p.queue = before.queue
			p.servedShares = before.servedShares
			p.usage = before.usage
		}
		b.shareFairly(p)
		b.pools[pools[i].Name] = p
	}
	removed := make(map[shelfshelf.TargetName]bool)
	for _, target := range targets {
		state, created := stateOf(old[target.Name], target)
		if created && old[target.Name] != nil {
			removed[target.Name] = true
		}
		b.addTarget(state, target, created, now)
	}
	for name := range old {
		if b.targets[name] == nil {
			removed[name] = true
		}
	}
	if len(removed) > 0 {
		b.prefixes.forget(removed)
	}
	for _, p := range b.pools {
		slices.SortFunc(p.targets, func(x, y *targetState) int { return compareNames(x.target.Name, y.target.Name) })
		b.dispatch(p, now)
	}
}

// stateOf returns the state of a listed target: a new one if the target is new or has restarted
// since it was last listed.
func stateOf(before *targetState, target shelfshelf.Target) (state *targetState, created bool) {
	if before != nil && before.target.SameIncarnation(target) {
		return before, false
	}
	return &targetState{
		key:         shelfshelf.KeyOfTarget(target.Name),
		peerLoads:   make(map[shelfshelf.InstanceID]reportedLoad),
		remoteLoads: make(map[shelfshelf.DataCentre]reportedLoad),
	}, true
}

// addTarget adds a target to the current lists. The caller must hold b.mu.
func (b *Balancer) addTarget(state *targetState, target shelfshelf.Target, created bool, now time.Time) {
	p := b.pools[target.Pool]
	if p != nil {
		b.updateCold(state, p, target, created, now)
	}
	b.updateDraining(state, target)
	state.target = target
	state.slots = max(target.Slots, 1)
	state.region = b.Regions[target.DataCentre]
	state.evacuated = slices.Contains(b.evacuated, target.DataCentre)
	b.targets[target.Name] = state
	b.loadAnnouncement(state)
	b.targetsByKey[state.key] = state
	if p != nil {
		state.engine = p.spec.Engine != nil
		p.targets = append(p.targets, state)
		p.listed = append(p.listed, state.target)
	}
}

// Acquire waits for a slot for a request. The error is a *Refusal or the context's error.
func (b *Balancer) Acquire(ctx context.Context, need Need) (*Lease, error) {
	need.choice = b.chooseVersion(need)
	if need.choice != nil && need.choice.Trial {
		if lease := b.acquireTrial(ctx, need); lease != nil {
			return lease, nil
		}
		old := need.choice.WithoutTrial()
		need.choice = &old
	}
	if refusal := b.refuseForBackoff(need); refusal != nil {
		return nil, refusal
	}
	if b.assignedByOwners(need.Pool) {
		if b.exceedsTierShare(need) {
			return nil, &Refusal{Reason: shelfshelf.RefusedForHigherTier, RetryAfter: retryAfter(need)}
		}
		lease, err := b.acquireFromOwners(ctx, need)
		if ctx.Err() == nil {
			b.recordServed(need, err == nil)
		}
		return lease, err
	}
	return b.acquireService(ctx, need)
}

// assignedByOwners reports whether owners grant the slots of a pool. They do so for engines, whose
// requests hold a slot for seconds. Calls of plain services end before a report on them would be of
// use.
func (b *Balancer) assignedByOwners(name shelfshelf.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	return b.SlotOwners != nil && p != nil && p.spec.Engine != nil && len(p.targets) > 0
}

// acquireLocally waits for a slot without asking owners: this instance decides by its own view of
// the load.
func (b *Balancer) acquireLocally(ctx context.Context, need Need) (*Lease, error) {
	b.mu.Lock()
	now := b.Clock.Now()
	p := b.pools[need.Pool]
	if p == nil || p.unservable(need, now) {
		b.mu.Unlock()
		return nil, &Refusal{Reason: shelfshelf.RefusedNoTarget, RetryAfter: max(b.RequestedBackoffLeft(need), minRetryAfter)}
	}
	ahead := p.countAhead(need)
	if ahead == 0 {
		if lease := b.tryGrant(p, need, now); lease != nil {
			b.mu.Unlock()
			return lease, nil
		}
	}
	if !now.Before(need.WaitUntil) {
		b.mu.Unlock()
		return nil, &Refusal{Reason: shelfshelf.RefusedShed, RetryAfter: b.refusalRetryAfter(need)}
	}
	w := &waiter{need: need, granted: make(chan *Lease, 1)}
	p.enqueue(w)
	b.wakeDispatcher()
	b.mu.Unlock()
	return b.awaitGrant(ctx, w)
}

// unservable reports whether no target can ever serve a request, however long it waits. Such a
// request is refused at once.
func (p *pool) unservable(need Need, now time.Time) bool {
	for _, t := range p.targets {
		if t.eligible(need, now) {
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
